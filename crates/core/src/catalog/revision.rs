//! Points in the history of the store.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A point in the history of the store. The store begins a new era when it returns from an older copy of its
/// contents; it then assigns the numbers that follow those of the copy again. A point of a later era is newer,
/// whatever its number.
///
/// ```
/// use hawthornwall_core::catalog::Revision;
///
/// assert!(Revision::new(2, 30) > Revision::new(1, 41));
/// assert_eq!("2:30".parse(), Ok(Revision::new(2, 30)));
/// assert_eq!("41".parse(), Ok(Revision::new(0, 41)));
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Revision {
    /// Number of times that the store has returned from an older copy.
    pub era: u64,
    /// Number of the last change within the era.
    pub number: u64,
}

impl Revision {
    /// The point after change `number` of an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.number)
    }
}

impl FromStr for Revision {
    type Err = std::num::ParseIntError;

    /// Parses an era and a number separated by a colon; without the era it is 0.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, number) = text.split_once(':').unwrap_or(("0", text));
        Ok(Self::new(era.parse()?, number.parse()?))
    }
}
