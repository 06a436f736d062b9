//! Faults in a settings file.

use std::fmt;

use serde::Serialize;

use crate::position::Position;

/// Kind of a fault, as written to JSON reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The value is not an IP address with a port.
    Address,
    /// Two addresses that must differ are the same.
    Listen,
    /// A key that is required, always or together with another key, has no value.
    Missing,
    /// The number is outside of the accepted range.
    Range,
    /// The key occurs twice in its object, or excludes another key that is also present.
    Repeated,
    /// The secret is not 64 hexadecimal digits, or is present although plain TCP is used.
    Secret,
    /// The file is not JSON with comments.
    Syntax,
    /// The value is not an accepted choice, name or path.
    Text,
    /// The value is not of the accepted JSON type.
    Type,
    /// The value or the name of the key has a unit that is not the accepted one.
    Unit,
    /// No setting has this name.
    Unknown,
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Address => "invalid address",
            Self::Listen => "duplicate address",
            Self::Missing => "missing key",
            Self::Range => "out of range",
            Self::Repeated => "duplicate key",
            Self::Secret => "invalid secret",
            Self::Syntax => "syntax error",
            Self::Text => "invalid value",
            Self::Type => "wrong type",
            Self::Unit => "wrong unit",
            Self::Unknown => "unknown key",
        })
    }
}

/// One fault in a settings file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// Description of the values or keys that are accepted.
    pub accepted: String,
    /// Description of what the file contains. It never includes the text of a secret.
    pub found: String,
    /// Section and key, separated by a dot; empty for a fault of the whole file.
    pub key: String,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Position of the fault in the file.
    #[serde(rename = "place")]
    pub position: Position,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.position, self.kind)?;
        if !self.key.is_empty() {
            write!(f, " `{}`", self.key)?;
        }
        write!(f, ": found {}, accepted: {}", self.found, self.accepted)
    }
}

/// All faults in a settings file, ordered by position. Never empty.
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
