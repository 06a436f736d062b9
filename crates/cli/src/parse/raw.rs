//! Collects the options and positional arguments of one command, which may come in any order.

use std::net::SocketAddr;

use lexopt::Parser;

use super::{UsageFault, Word, next, unknown_option, value};
use crate::command::Input;
use crate::help::Topic;

/// A positional argument, or an option of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Token {
    Option(ChangeOption, String),
    Positional(String),
}

/// An option of a change in `patch new`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ChangeOption {
    Deadline,
    Domain,
    Hedge,
    Hosts,
    QueueWait,
    RetryPercent,
    Service,
    Slots,
}

impl ChangeOption {
    const ALL: [Self; 8] = [
        Self::Deadline,
        Self::Domain,
        Self::Hedge,
        Self::Hosts,
        Self::QueueWait,
        Self::RetryPercent,
        Self::Service,
        Self::Slots,
    ];

    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Deadline => "deadline-ms",
            Self::Domain => "domain",
            Self::Hedge => "hedge",
            Self::Hosts => "hosts",
            Self::QueueWait => "queue-wait-ms",
            Self::RetryPercent => "retry-percent",
            Self::Service => "service",
            Self::Slots => "slots",
        }
    }
}

/// An option of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CommandOption {
    Against,
    Author,
    Config,
    Daemon,
    Note,
    PrintDefaults,
    Settings,
}

impl CommandOption {
    fn from_name(name: &str) -> Option<Self> {
        match name {
            "against" => Some(Self::Against),
            "author" => Some(Self::Author),
            "config" => Some(Self::Config),
            "daemon" => Some(Self::Daemon),
            "note" => Some(Self::Note),
            "print-defaults" => Some(Self::PrintDefaults),
            "settings" => Some(Self::Settings),
            _ => None,
        }
    }

    fn allowed(topic: Topic) -> &'static [Self] {
        match topic {
            Topic::Check => &[
                Self::Against,
                Self::Config,
                Self::PrintDefaults,
                Self::Settings,
            ],
            Topic::Compact | Topic::Log | Topic::PatchAdd => &[Self::Config],
            Topic::Diff | Topic::Patch | Topic::Tool => &[],
            Topic::PatchCheck | Topic::PatchDiff | Topic::Show => &[Self::Config, Self::Daemon],
            Topic::PatchNew => &[Self::Author, Self::Config, Self::Daemon, Self::Note],
            Topic::Status => &[Self::Daemon],
            Topic::Undo => &[Self::Author, Self::Config, Self::Note],
        }
    }
}

/// The arguments of one command before it is known whether they are complete.
#[derive(Debug, Default)]
pub(super) struct RawArgs {
    pub(super) against: Option<Input>,
    pub(super) author: Option<String>,
    pub(super) config: Option<Input>,
    pub(super) daemons: Vec<SocketAddr>,
    pub(super) json: bool,
    pub(super) note: Option<String>,
    pub(super) print_defaults: bool,
    pub(super) settings: Option<Input>,
    /// Positional arguments and options of changes, in the order of the command line.
    pub(super) tokens: Vec<Token>,
}

/// Reads the remaining arguments. Returns `None` if the help text of the command is requested.
pub(super) fn gather(parser: &mut Parser, topic: Topic) -> Result<Option<RawArgs>, UsageFault> {
    let mut raw = RawArgs::default();
    while let Some(word) = next(parser, topic)? {
        let name = match word {
            Word::Value(word) => {
                raw.tokens.push(Token::Positional(word));
                continue;
            }
            Word::Option(name) => name,
        };
        match name.as_str() {
            "help" | "h" => return Ok(None),
            "json" => {
                raw.json = true;
                continue;
            }
            _ => {}
        }
        let allowed = CommandOption::allowed(topic);
        let option = CommandOption::from_name(&name).filter(|option| allowed.contains(option));
        let mut change = ChangeOption::ALL.into_iter();
        let change = change.find(|o| topic == Topic::PatchNew && o.name() == name);
        match (option, change) {
            (Some(CommandOption::PrintDefaults), _) => raw.print_defaults = true,
            (Some(option), _) => {
                let value = value(parser, topic)?;
                raw.set(topic, option, (&name, value))?;
            }
            (None, Some(option)) => {
                let value = value(parser, topic)?;
                raw.tokens.push(Token::Option(option, value));
            }
            (None, None) => return Err(unknown_option(topic, &name)),
        }
    }
    Ok(Some(raw))
}

impl RawArgs {
    fn set(
        &mut self,
        topic: Topic,
        option: CommandOption,
        (name, value): (&str, String),
    ) -> Result<(), UsageFault> {
        let old = match option {
            CommandOption::Against => self.against.replace(Input(value.into())).is_some(),
            CommandOption::Author => self.author.replace(value).is_some(),
            CommandOption::Config => self.config.replace(Input(value.into())).is_some(),
            CommandOption::Daemon => {
                self.daemons.push(address(topic, &value)?);
                false
            }
            CommandOption::Note => self.note.replace(value).is_some(),
            CommandOption::PrintDefaults => false,
            CommandOption::Settings => self.settings.replace(Input(value.into())).is_some(),
        };
        if old {
            return Err(UsageFault::new(topic, format!("--{name} is given twice")));
        }
        Ok(())
    }
}

fn address(topic: Topic, text: &str) -> Result<SocketAddr, UsageFault> {
    let fault = |_| {
        let accepted = "an IP address with a port, such as 127.0.0.1:8005";
        UsageFault::new(
            topic,
            format!("--daemon: found {text}, accepted: {accepted}"),
        )
    };
    text.parse().map_err(fault)
}
