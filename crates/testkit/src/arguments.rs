//! Parses the command-line options of the test programs, all of the form `--name value`.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use lexopt::{Arg, Parser};

/// Error in the command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ArgumentError {
    /// A required option is absent.
    Missing(String),
    /// An option is unknown or has no value.
    Syntax(String),
    /// The value of an option can't be parsed.
    Value(String),
}

impl fmt::Display for ArgumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(name) => write!(f, "option --{name} is missing"),
            Self::Syntax(what) => f.write_str(what),
            Self::Value(name) => write!(f, "the value of --{name} can't be parsed"),
        }
    }
}

impl std::error::Error for ArgumentError {}

/// Command-line options of a program. The last value of a repeated option is used.
#[derive(Clone, Debug, Default)]
pub struct Arguments {
    values: BTreeMap<String, String>,
}

impl Arguments {
    /// Parses the command line of the process. Only options in `known` are accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if an option is unknown or has no value.
    pub fn from_env(known: &[&str]) -> Result<Self, ArgumentError> {
        Self::read(Parser::from_env(), known)
    }

    fn read(mut parser: Parser, known: &[&str]) -> Result<Self, ArgumentError> {
        let syntax = |e: lexopt::Error| ArgumentError::Syntax(e.to_string());
        let mut values = BTreeMap::new();
        while let Some(arg) = parser.next().map_err(syntax)? {
            let name = match arg {
                Arg::Long(name) if known.contains(&name) => name.to_owned(),
                Arg::Long(_) | Arg::Short(_) | Arg::Value(_) => {
                    return Err(ArgumentError::Syntax(format!(
                        "{}; accepted are --{}",
                        arg.unexpected(),
                        known.join(", --")
                    )));
                }
            };
            let value = parser.value().map_err(syntax)?;
            values.insert(name, value.to_string_lossy().into_owned());
        }
        Ok(Self { values })
    }

    /// Parses the value of an option; `None` if the option is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the value can't be parsed.
    pub fn optional<T: FromStr>(&self, name: &str) -> Result<Option<T>, ArgumentError> {
        let value = self.values.get(name).map(|text| text.parse());
        value
            .transpose()
            .map_err(|_| ArgumentError::Value(name.to_owned()))
    }

    /// Parses the value of a required option.
    ///
    /// # Errors
    ///
    /// Returns an error if the option is absent or its value can't be parsed.
    pub fn required<T: FromStr>(&self, name: &str) -> Result<T, ArgumentError> {
        let value = self.optional(name)?;
        value.ok_or_else(|| ArgumentError::Missing(name.to_owned()))
    }
}
