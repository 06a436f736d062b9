//! Time for the aggregates: microseconds on the monotonic clock of the process.
//!
//! Time points of different processes are never compared; messages between processes carry
//! durations.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time on the monotonic clock, in microseconds since the clock's start.
///
/// Addition and subtraction saturate.
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

    /// The point in time `us` microseconds after [`Time::ZERO`].
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Microseconds since [`Time::ZERO`].
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

    /// The duration from `earlier` to `self`, or zero if `earlier` is the later one.
    fn sub(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    /// The point in time `span` before `self`, or [`Time::ZERO`] if that is before the clock's
    /// start.
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
