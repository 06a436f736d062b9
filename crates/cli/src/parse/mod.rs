//! From arguments to commands. Nothing is read but the arguments.

mod change;
mod commands;
mod gather;

use std::ffi::OsString;
use std::fmt;

use lexopt::{Arg, Parser};

use crate::command::Command;
use crate::help::Topic;

/// What the arguments ask for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Request {
    /// A help text.
    Help(Topic),
    /// A command.
    Run {
        /// The command.
        command: Command,
        /// Whether JSON is printed.
        json: bool,
    },
    /// The program's version.
    Version,
}

/// Arguments that aren't understood.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageFault {
    /// What is wrong.
    pub text: String,
    /// Where to read more.
    pub topic: Topic,
}

impl UsageFault {
    fn new(topic: Topic, text: impl Into<String>) -> Self {
        let text = text.into();
        Self { text, topic }
    }
}

impl fmt::Display for UsageFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let words = self.topic.words();
        let space = if words.is_empty() { "" } else { " " };
        write!(f, "{}\nSee hawthornwall{space}{words} --help", self.text)
    }
}

impl std::error::Error for UsageFault {}

/// Parses the arguments without the program's name.
///
/// ```
/// use hawthornwall_cli::help::Topic;
/// use hawthornwall_cli::parse::{Request, parse};
///
/// let request = parse(["status", "--help"].map(Into::into));
/// assert_eq!(request, Ok(Request::Help(Topic::Status)));
/// ```
///
/// # Errors
///
/// The first argument that isn't understood, or what is missing.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Request, UsageFault> {
    let mut parser = Parser::from_args(args);
    let mut json = false;
    let topic = loop {
        match next(&mut parser, Topic::Tool)? {
            None => return Err(UsageFault::new(Topic::Tool, "a command is missing")),
            Some(Word::Option(name)) => match name.as_str() {
                "help" | "h" => return Ok(Request::Help(Topic::Tool)),
                "json" => json = true,
                "version" | "V" => return Ok(Request::Version),
                _ => return Err(unknown_option(Topic::Tool, &name)),
            },
            Some(Word::Value(word)) => break topic_of(Topic::Tool, "", &word)?,
        }
    };
    let topic = match topic {
        Topic::Patch => match patch_topic(&mut parser, &mut json)? {
            Some(topic) => topic,
            None => return Ok(Request::Help(Topic::Patch)),
        },
        topic => topic,
    };
    let Some(gathered) = gather::gather(&mut parser, topic)? else {
        return Ok(Request::Help(topic));
    };
    let json = json || gathered.json;
    let command = commands::command(topic, gathered)?;
    Ok(Request::Run { command, json })
}

/// The command after `patch`, `None` for its help.
fn patch_topic(parser: &mut Parser, json: &mut bool) -> Result<Option<Topic>, UsageFault> {
    loop {
        match next(parser, Topic::Patch)? {
            None => {
                let text = "a command is missing after patch";
                return Err(UsageFault::new(Topic::Patch, text));
            }
            Some(Word::Option(name)) => match name.as_str() {
                "help" | "h" => return Ok(None),
                "json" => *json = true,
                _ => return Err(unknown_option(Topic::Patch, &name)),
            },
            Some(Word::Value(word)) => return topic_of(Topic::Patch, "patch ", &word).map(Some),
        }
    }
}

fn topic_of(parent: Topic, prefix: &str, word: &str) -> Result<Topic, UsageFault> {
    let name = format!("{prefix}{word}");
    let mut topics = Topic::ALL.into_iter();
    let found = topics.find(|t| *t != Topic::Tool && t.words() == name);
    // `patch new` as one argument isn't a command.
    let found = found.filter(|_| !word.contains(' '));
    found.ok_or_else(|| UsageFault::new(parent, format!("`{word}` isn't a command")))
}

/// An argument as owned text.
enum Word {
    Option(String),
    Value(String),
}

fn next(parser: &mut Parser, topic: Topic) -> Result<Option<Word>, UsageFault> {
    let fault = |e: lexopt::Error| UsageFault::new(topic, e.to_string());
    Ok(match parser.next().map_err(fault)? {
        None => None,
        Some(Arg::Long(name)) => Some(Word::Option(name.to_owned())),
        Some(Arg::Short(name)) => Some(Word::Option(name.to_string())),
        Some(Arg::Value(value)) => Some(Word::Value(text(topic, value)?)),
    })
}

/// The value of the option that was read last.
fn value(parser: &mut Parser, topic: Topic) -> Result<String, UsageFault> {
    let value = parser.value();
    text(
        topic,
        value.map_err(|e| UsageFault::new(topic, e.to_string()))?,
    )
}

fn text(topic: Topic, value: OsString) -> Result<String, UsageFault> {
    let fault =
        |value: OsString| UsageFault::new(topic, format!("{} is not UTF-8", value.display()));
    value.into_string().map_err(fault)
}

fn unknown_option(topic: Topic, name: &str) -> UsageFault {
    let dashes = if name.chars().count() == 1 { "-" } else { "--" };
    UsageFault::new(topic, format!("unknown option {dashes}{name}"))
}
