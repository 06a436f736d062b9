//! Typed ids whose text forms, such as `target7`, parse back to the same value.
//!
//! Service and target ids are allocated consecutively when a patch is applied to the configuration,
//! and are never reused. An id therefore refers to the same service or target at every daemon,
//! regardless of the configuration version that the daemon has.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The error for a string that is not the text form of the expected id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParseIdError {
    /// The prefix that the text form of the expected id starts with.
    pub prefix: &'static str,
    /// The string that failed to parse.
    pub found: String,
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "expected `{}` followed by a number, found `{}`",
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
    /// The id of a service, assigned in order of creation.
    ServiceId, u16, "service"
);
id!(
    /// The id of a target, assigned in order of creation.
    TargetId, u32, "target"
);
id!(
    /// A version of the configuration. Version 0 is the empty configuration.
    Version, u64, "v"
);

impl Version {
    /// The version of the configuration after a patch to version `self` is accepted.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The id of a request between two daemons. Repeats of a request have the same id.
///
/// Each daemon run starts at a random id, so that ids of different daemons are unlikely to collide.
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

/// The id of one run of a daemon process, generated at random when it starts.
///
/// A restart changes the id, which shows peers and holders of idempotency keys that the state held
/// in memory was lost.
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
