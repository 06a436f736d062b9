//! Time as the aggregates see it: microseconds on one process's monotonic clock.
//!
//! Values of different processes are never compared; what crosses a process boundary is a duration.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// A point on the process's monotonic clock, in microseconds since its start.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::time::Time;
///
/// let later = Time::from_micros(100) + Duration::from_micros(50);
/// assert_eq!(later - Time::from_micros(100), Duration::from_micros(50));
/// assert_eq!(Time::from_micros(100) - later, Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time(u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// The point `us` microseconds after the start.
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

impl Sub for Time {
    type Output = Duration;

    /// The time from `earlier` to `self`, zero if `earlier` is later.
    fn sub(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    /// The point `span` earlier, but no earlier than the start of the clock.
    fn sub(self, span: Duration) -> Self {
        Self(
            self.0
                .saturating_sub(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}
