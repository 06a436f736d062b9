//! Dense typed ids with a text form that parses back to the same value.
//!
//! Service and target ids are allocated when a patch is folded and never reused, so an id names the
//! same thing at every daemon, whatever configuration version that daemon has.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A text that is not the text form of the expected id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParseIdError {
    /// The prefix that the id's text form starts with.
    pub prefix: &'static str,
    /// The text that was found.
    pub found: String,
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "expected `{}` and a number, found `{}`",
            self.prefix, self.found
        )
    }
}

impl std::error::Error for ParseIdError {}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $int:ty, $prefix:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                let number = text.strip_prefix($prefix).and_then(|n| n.parse().ok());
                number.map(Self).ok_or_else(|| ParseIdError {
                    prefix: $prefix,
                    found: text.to_owned(),
                })
            }
        }
    };
}

id!(
    /// A service, numbered in the order of creation.
    ServiceId, u16, "service"
);
id!(
    /// A target, numbered in the order of creation.
    TargetId, u32, "target"
);
id!(
    /// A version of the configuration. Version 0 is the empty configuration.
    Version, u64, "v"
);

impl Version {
    /// The version that an accepted patch on `self` creates.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A request between two daemons. Repeats of one request share it.
///
/// The first one of a daemon's run is drawn at random, so that ids of different daemons differ.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "request{:016x}", self.0)
    }
}

/// One run of a daemon process, drawn at random at its start.
///
/// A restart yields another id, which is how peers and idempotency keys tell that memory was lost.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct InstanceId(pub u64);

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "instance{:016x}", self.0)
    }
}

impl FromStr for InstanceId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let digits = text.strip_prefix("instance").filter(|d| d.len() == 16);
        let number = digits.and_then(|d| u64::from_str_radix(d, 16).ok());
        number.map(Self).ok_or_else(|| ParseIdError {
            prefix: "instance",
            found: text.to_owned(),
        })
    }
}
