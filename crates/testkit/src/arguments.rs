//! Command-line options of the test programs: each is `--name value`.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use lexopt::{Arg, Parser};

/// Why the command line is not accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ArgumentError {
    /// A required option is absent.
    Missing(String),
    /// An option is unknown or has no value.
    Syntax(String),
    /// A value can't be read.
    Value(String),
}

impl fmt::Display for ArgumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(name) => write!(f, "option --{name} is missing"),
            Self::Syntax(what) => f.write_str(what),
            Self::Value(name) => write!(f, "the value of --{name} can't be read"),
        }
    }
}

impl std::error::Error for ArgumentError {}

/// The options of one program.
#[derive(Clone, Debug, Default)]
pub struct Arguments {
    values: BTreeMap<String, String>,
}

impl Arguments {
    /// Reads the process's command line; only the options in `known` are accepted.
    ///
    /// # Errors
    ///
    /// An option is unknown or has no value.
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

    /// The value of an option, `None` if it is absent.
    ///
    /// # Errors
    ///
    /// The value can't be read.
    pub fn optional<T: FromStr>(&self, name: &str) -> Result<Option<T>, ArgumentError> {
        let value = self.values.get(name).map(|text| text.parse());
        value
            .transpose()
            .map_err(|_| ArgumentError::Value(name.to_owned()))
    }

    /// The value of an option.
    ///
    /// # Errors
    ///
    /// The option is absent or its value can't be read.
    pub fn required<T: FromStr>(&self, name: &str) -> Result<T, ArgumentError> {
        let value = self.optional(name)?;
        value.ok_or_else(|| ArgumentError::Missing(name.to_owned()))
    }
}
