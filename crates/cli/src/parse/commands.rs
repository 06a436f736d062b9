//! Builds a command from its unvalidated arguments.

use super::UsageFault;
use super::change::changes;
use super::raw::{RawArgs, Token};
use crate::command::{Authorship, CheckCommand, Command, Input, PatchCommand, Source};
use crate::help::Topic;
use hawthornwall_core::ids::Version;

/// Builds the command that `topic` names.
pub(super) fn command(topic: Topic, raw: RawArgs) -> Result<Command, UsageFault> {
    let mut args = Args { raw, topic };
    Ok(match topic {
        Topic::Check => Command::Check(args.check()?),
        Topic::Compact => Command::Compact(args.document_only()?),
        Topic::Diff => {
            let [from, to] = args.positionals(["BEFORE", "AFTER"])?;
            let (from, to) = (Input(from.into()), Input(to.into()));
            Command::Diff { from, to }
        }
        Topic::Log => Command::Log(args.document_only()?),
        Topic::Patch | Topic::Tool => return Err(args.fault("a command is missing")),
        Topic::PatchAdd => {
            let (document, patch) = (args.document()?, args.patch()?);
            Command::Patch(PatchCommand::Add { document, patch })
        }
        Topic::PatchCheck => {
            let (source, patch) = (args.source()?, args.patch()?);
            Command::Patch(PatchCommand::Check { source, patch })
        }
        Topic::PatchDiff => {
            let (source, patch) = (args.source()?, args.patch()?);
            Command::Patch(PatchCommand::Diff { source, patch })
        }
        Topic::PatchNew => Command::Patch(PatchCommand::New {
            authorship: args.authorship(String::new())?,
            changes: changes(std::mem::take(&mut args.raw.tokens))?,
            source: args.source()?,
        }),
        Topic::Show => {
            let source = args.source()?;
            let [] = args.positionals([])?;
            Command::Show(source)
        }
        Topic::Status => {
            let [] = args.positionals([])?;
            if args.raw.daemons.is_empty() {
                return Err(args.fault("--daemon ADDRESS is missing"));
            }
            Command::Status(args.raw.daemons)
        }
        Topic::Undo => {
            let [version] = args.positionals(["VERSION"])?;
            let version = args.version(&version)?;
            Command::Undo {
                authorship: args.authorship(format!("takes back {version}"))?,
                document: args.document()?,
                version,
            }
        }
    })
}

struct Args {
    raw: RawArgs,
    topic: Topic,
}

impl Args {
    fn fault(&self, text: impl Into<String>) -> UsageFault {
        UsageFault::new(self.topic, text)
    }

    fn check(&mut self) -> Result<CheckCommand, UsageFault> {
        let [] = self.positionals([])?;
        let raw = &mut self.raw;
        let found = (raw.settings.take(), raw.config.take(), raw.print_defaults);
        match (found, raw.against.take()) {
            ((Some(file), None, false), None) => Ok(CheckCommand::Settings(file)),
            ((None, Some(file), false), against) => Ok(CheckCommand::Config { file, against }),
            ((None, None, true), None) => Ok(CheckCommand::PrintDefaults),
            (_, Some(_)) => Err(self.fault("--against requires --config")),
            _ => Err(self.fault("one of --settings, --config and --print-defaults is required")),
        }
    }

    /// Removes the positional arguments, of which there must be exactly one per name.
    fn positionals<const N: usize>(&mut self, names: [&str; N]) -> Result<[String; N], UsageFault> {
        let mut found = Vec::new();
        for token in std::mem::take(&mut self.raw.tokens) {
            match token {
                Token::Positional(positional) => found.push(positional),
                Token::Option(option, _) => {
                    return Err(self.fault(format!("unknown option --{}", option.name())));
                }
            }
        }
        if let Some(missing) = names.get(found.len()) {
            return Err(self.fault(format!("{missing} is missing")));
        }
        found.try_into().map_err(|found: Vec<String>| {
            let unexpected = found.get(N).map_or("", String::as_str);
            self.fault(format!("unexpected argument `{unexpected}`"))
        })
    }

    fn patch(&mut self) -> Result<Input, UsageFault> {
        let [patch] = self.positionals(["PATCH"])?;
        Ok(Input(patch.into()))
    }

    fn document(&mut self) -> Result<Input, UsageFault> {
        let config = self.raw.config.take();
        config.ok_or_else(|| self.fault("--config FILE is missing"))
    }

    fn document_only(&mut self) -> Result<Input, UsageFault> {
        let [] = self.positionals([])?;
        self.document()
    }

    fn source(&mut self) -> Result<Source, UsageFault> {
        match (self.raw.config.take(), &self.raw.daemons[..]) {
            (Some(file), []) => Ok(Source::File(file)),
            (None, [address]) => Ok(Source::Daemon(*address)),
            _ => Err(self.fault("one of --config FILE and --daemon ADDRESS is required")),
        }
    }

    fn authorship(&mut self, note: String) -> Result<Authorship, UsageFault> {
        let author = self.raw.author.take().filter(|a| !a.is_empty());
        let author = author.ok_or_else(|| self.fault("--author NAME is missing"))?;
        let note = self.raw.note.take().unwrap_or(note);
        Ok(Authorship { author, note })
    }

    fn version(&self, text: &str) -> Result<Version, UsageFault> {
        let digits = text.strip_prefix('v').unwrap_or(text);
        let fault = |_| self.fault(format!("VERSION: found {text}, accepted: v12 or 12"));
        digits.parse().map(Version).map_err(fault)
    }
}
