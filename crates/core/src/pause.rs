//! Pauses of this process, found by its own clock.
//!
//! A process that was stopped and wakes up finds old messages in its socket buffers. They look fresh,
//! but may have waited for the whole pause, so their time left is shorter than they say.
//!
//! Invariant: [`PauseDetector::staleness`] is zero unless a pause ended within the last
//! [`SETTLE`].

use std::time::Duration;

use crate::time::Time;

/// Time between two turns that counts as a pause beyond the owner's own period.
const TOLERANCE: Duration = Duration::from_millis(100);
/// Time after a pause within which messages may still come from before its end.
pub const SETTLE: Duration = Duration::from_millis(100);

/// Watches the turns of one task.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::pause::PauseDetector;
/// use hawthornwall_core::time::Time;
///
/// let at = |ms: u64| Time::from_micros(ms * 1_000);
/// let mut pauses = PauseDetector::new(Duration::from_millis(100), at(0));
/// pauses.turn(at(100));
/// assert_eq!(pauses.staleness(at(100)), Duration::ZERO);
/// pauses.turn(at(3_100));
/// assert_eq!(pauses.staleness(at(3_100)), Duration::from_millis(3_000));
/// assert_eq!(pauses.staleness(at(3_300)), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    ended: Time,
    last: Time,
    length: Duration,
    period: Duration,
}

impl PauseDetector {
    /// A detector for a task that takes a turn at least once per `period`.
    pub fn new(period: Duration, now: Time) -> Self {
        Self {
            ended: Time::ZERO,
            last: now,
            length: Duration::ZERO,
            period,
        }
    }

    /// Notes a turn; returns the length of the pause that it ends, if there was one.
    pub fn turn(&mut self, now: Time) -> Option<Duration> {
        let length = now - self.last;
        self.last = now;
        if length <= self.period + TOLERANCE {
            return None;
        }
        (self.ended, self.length) = (now, length);
        Some(length)
    }

    /// How much older than it seems a message may be that is handled now.
    pub fn staleness(&self, now: Time) -> Duration {
        let settling = !self.length.is_zero() && now - self.ended <= SETTLE;
        if settling {
            self.length
        } else {
            Duration::ZERO
        }
    }
}
