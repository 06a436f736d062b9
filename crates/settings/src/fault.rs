//! Faults of a settings file.

use std::fmt;

use serde::Serialize;

use crate::place::Place;

/// What is wrong with a key or its value.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The text is no IP address with a port.
    Address,
    /// Two listeners have the same address.
    Listen,
    /// A required key has no value.
    Missing,
    /// The number is out of range.
    Range,
    /// The key stands twice in its object.
    Repeated,
    /// The text is not 64 hexadecimal digits.
    Secret,
    /// The text isn't JSON with comments.
    Syntax,
    /// The text doesn't have the accepted form.
    Text,
    /// The value has another type.
    Type,
    /// The value or the key's name carries another unit.
    Unit,
    /// No setting has this name.
    Unknown,
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Address => "bad address",
            Self::Listen => "duplicate listen address",
            Self::Missing => "missing key",
            Self::Range => "out of range",
            Self::Repeated => "repeated key",
            Self::Secret => "bad secret",
            Self::Syntax => "syntax",
            Self::Text => "bad value",
            Self::Type => "wrong type",
            Self::Unit => "wrong unit",
            Self::Unknown => "unknown key",
        })
    }
}

/// One fault, with what was found and what is accepted instead.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// What is accepted.
    pub accepted: String,
    /// What was found. Never the text of a secret.
    pub found: String,
    /// Dotted name of the key, empty for the whole file.
    pub key: String,
    /// What is wrong.
    pub kind: FaultKind,
    /// Where it is.
    pub place: Place,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.kind)?;
        if !self.key.is_empty() {
            write!(f, " `{}`", self.key)?;
        }
        write!(f, ": found {}, accepted: {}", self.found, self.accepted)
    }
}

/// All faults of a settings file, in the order of their places. Never empty.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct SettingsFaults(pub Vec<Fault>);

impl fmt::Display for SettingsFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let plural = if self.0.len() == 1 { "" } else { "s" };
        write!(f, "the settings have {} fault{plural}", self.0.len())?;
        self.0.iter().try_for_each(|fault| write!(f, "\n  {fault}"))
    }
}

impl std::error::Error for SettingsFaults {}
