//! From gathered arguments to a command.

use super::UsageFault;
use super::change::changes;
use super::gather::{Gathered, Token};
use crate::command::{Authorship, CheckCommand, Command, Input, PatchCommand, Source};
use crate::help::Topic;
use hawthornwall_core::ids::Version;

/// The command of `topic`.
pub(super) fn command(topic: Topic, gathered: Gathered) -> Result<Command, UsageFault> {
    let mut args = Args { gathered, topic };
    Ok(match topic {
        Topic::Check => Command::Check(args.check()?),
        Topic::Compact => Command::Compact(args.document_only()?),
        Topic::Diff => {
            let [from, to] = args.words(["BEFORE", "AFTER"])?;
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
            changes: changes(std::mem::take(&mut args.gathered.tokens))?,
            source: args.source()?,
        }),
        Topic::Show => {
            let source = args.source()?;
            let [] = args.words([])?;
            Command::Show(source)
        }
        Topic::Status => {
            let [] = args.words([])?;
            if args.gathered.daemons.is_empty() {
                return Err(args.fault("--daemon ADDRESS is missing"));
            }
            Command::Status(args.gathered.daemons)
        }
        Topic::Undo => {
            let [version] = args.words(["VERSION"])?;
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
    gathered: Gathered,
    topic: Topic,
}

impl Args {
    fn fault(&self, text: impl Into<String>) -> UsageFault {
        UsageFault::new(self.topic, text)
    }

    fn check(&mut self) -> Result<CheckCommand, UsageFault> {
        let [] = self.words([])?;
        let gathered = &mut self.gathered;
        let found = (
            gathered.settings.take(),
            gathered.config.take(),
            gathered.print_defaults,
        );
        match found {
            (Some(file), None, false) => Ok(CheckCommand::Settings(file)),
            (None, Some(file), false) => Ok(CheckCommand::Config(file)),
            (None, None, true) => Ok(CheckCommand::PrintDefaults),
            _ => Err(self.fault("one of --settings, --config and --print-defaults is needed")),
        }
    }

    /// Takes exactly the named words.
    fn words<const N: usize>(&mut self, names: [&str; N]) -> Result<[String; N], UsageFault> {
        let mut found = Vec::new();
        for token in std::mem::take(&mut self.gathered.tokens) {
            match token {
                Token::Word(word) => found.push(word),
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
        let [patch] = self.words(["PATCH"])?;
        Ok(Input(patch.into()))
    }

    fn document(&mut self) -> Result<Input, UsageFault> {
        let config = self.gathered.config.take();
        config.ok_or_else(|| self.fault("--config FILE is missing"))
    }

    fn document_only(&mut self) -> Result<Input, UsageFault> {
        let [] = self.words([])?;
        self.document()
    }

    fn source(&mut self) -> Result<Source, UsageFault> {
        match (self.gathered.config.take(), &self.gathered.daemons[..]) {
            (Some(file), []) => Ok(Source::File(file)),
            (None, [address]) => Ok(Source::Daemon(*address)),
            _ => Err(self.fault("one of --config FILE and --daemon ADDRESS is needed")),
        }
    }

    fn authorship(&mut self, note: String) -> Result<Authorship, UsageFault> {
        let author = self.gathered.author.take().filter(|a| !a.is_empty());
        let author = author.ok_or_else(|| self.fault("--author NAME is missing"))?;
        let note = self.gathered.note.take().unwrap_or(note);
        Ok(Authorship { author, note })
    }

    fn version(&self, text: &str) -> Result<Version, UsageFault> {
        let digits = text.strip_prefix('v').unwrap_or(text);
        let fault = |_| self.fault(format!("VERSION: found {text}, accepted: v12 or 12"));
        digits.parse().map(Version).map_err(fault)
    }
}
