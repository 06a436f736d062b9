//! The text form of an idempotency key.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, ServiceId, TargetId};

/// An idempotency key: the daemon run and target that may execute the request, and a random tag.
///
/// ```
/// use hawthornwall_core::keys::Key;
///
/// let text = "service1.target4.instance00000000000000ff.12.9f86d081884c7d65";
/// let key: Key = text.parse()?;
/// assert_eq!(key.serial, 12);
/// assert_eq!(key.to_string(), text);
/// # Ok::<(), hawthornwall_core::keys::ParseKeyError>(())
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Key {
    /// The daemon run that issued the key.
    pub instance: InstanceId,
    /// Position among the keys issued by that run, starting at 0.
    pub serial: u64,
    /// The service that the keyed request must be addressed to.
    pub service: ServiceId,
    /// Random value that keeps a caller from guessing another caller's key.
    pub tag: u64,
    /// The only target that may execute the request.
    pub target: TargetId,
}

/// The error for a string that is not the exact text form of a [`Key`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseKeyError;

impl fmt::Display for ParseKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not an idempotency key issued by hawthornwall")
    }
}

impl std::error::Error for ParseKeyError {}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            instance,
            serial,
            service,
            tag,
            target,
        } = self;
        write!(f, "{service}.{target}.{instance}.{serial}.{tag:016x}")
    }
}

impl FromStr for Key {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, ParseKeyError> {
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or(ParseKeyError);
        let service = part()?.parse().map_err(|_| ParseKeyError)?;
        let target = part()?.parse().map_err(|_| ParseKeyError)?;
        let instance = part()?.parse().map_err(|_| ParseKeyError)?;
        let serial = part()?.parse().map_err(|_| ParseKeyError)?;
        let tag = u64::from_str_radix(part()?, 16).map_err(|_| ParseKeyError)?;
        let key = Self {
            instance,
            serial,
            service,
            tag,
            target,
        };
        // Rejects other spellings of the same key, such as leading zeros or upper case digits.
        if parts.next().is_none() && key.to_string() == text {
            Ok(key)
        } else {
            Err(ParseKeyError)
        }
    }
}
