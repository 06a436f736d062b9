//! Parses the command line. No file is read and no daemon is queried.

mod change;
mod commands;
mod raw;

use std::ffi::OsString;
use std::fmt;

use lexopt::{Arg, Parser};

use crate::command::Command;
use crate::help::Topic;

/// The action that the arguments request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Request {
    /// Print a help text.
    Help(Topic),
    /// Run a command.
    Run {
        /// The command to run.
        command: Command,
        /// Whether the result is printed as JSON.
        json: bool,
    },
    /// Print the program's version.
    Version,
}

/// Error in the command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageFault {
    /// Description of the error.
    pub text: String,
    /// The help text to which the message refers.
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
        let command_name = self.topic.command_name();
        let space = if command_name.is_empty() { "" } else { " " };
        write!(
            f,
            "{}\nSee hawthornwall{space}{command_name} --help",
            self.text
        )
    }
}

impl std::error::Error for UsageFault {}

/// Parses the arguments, which don't include the program's name.
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
/// Returns the first invalid argument or the first missing one.
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
    let Some(raw) = raw::gather(&mut parser, topic)? else {
        return Ok(Request::Help(topic));
    };
    let json = json || raw.json;
    let command = commands::command(topic, raw)?;
    Ok(Request::Run { command, json })
}

/// Parses the command after `patch`. Returns `None` if the help text of `patch` is requested.
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
    let found = topics.find(|t| *t != Topic::Tool && t.command_name() == name);
    // `patch new` given as a single argument is invalid.
    let found = found.filter(|_| !word.contains(' '));
    found.ok_or_else(|| UsageFault::new(parent, format!("unknown command `{word}`")))
}

/// One element of the command line: an option without its value, or a positional argument.
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

/// Reads the value of the option that the parser returned last.
fn value(parser: &mut Parser, topic: Topic) -> Result<String, UsageFault> {
    let value = parser.value();
    text(
        topic,
        value.map_err(|e| UsageFault::new(topic, e.to_string()))?,
    )
}

fn text(topic: Topic, value: OsString) -> Result<String, UsageFault> {
    let fault =
        |value: OsString| UsageFault::new(topic, format!("{} isn't valid UTF-8", value.display()));
    value.into_string().map_err(fault)
}

fn unknown_option(topic: Topic, name: &str) -> UsageFault {
    let dashes = if name.chars().count() == 1 { "-" } else { "--" };
    UsageFault::new(topic, format!("unknown option {dashes}{name}"))
}
