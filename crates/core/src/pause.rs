//! Detection of process pauses by the monotonic clock.
//!
//! A process that resumes after being stopped reads old messages from its socket buffers. They may
//! have been buffered for the whole pause, so less time is left to their deadlines than they state.
//!
//! Invariant: [`PauseDetector::staleness`] is zero unless a pause ended within the last
//! [`STALENESS_WINDOW`].

use std::time::Duration;

use crate::time::Time;

/// Delay of a loop iteration beyond the task's period above which the process was paused.
const TOLERANCE: Duration = Duration::from_millis(100);
/// Time after the end of a pause during which messages read may have been sent before its end.
pub const STALENESS_WINDOW: Duration = Duration::from_millis(100);

/// Detects pauses from the times at which one task's loop iterates.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::pause::PauseDetector;
/// use hawthornwall_core::time::Time;
///
/// let at = |ms: u64| Time::from_micros(ms * 1_000);
/// let mut pauses = PauseDetector::new(Duration::from_millis(100), at(0));
/// pauses.observe(at(100));
/// assert_eq!(pauses.staleness(at(100)), Duration::ZERO);
/// pauses.observe(at(3_100));
/// assert_eq!(pauses.staleness(at(3_100)), Duration::from_millis(3_000));
/// assert_eq!(pauses.staleness(at(3_300)), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    ended: Time,
    last_observed: Time,
    length: Duration,
    period: Duration,
}

impl PauseDetector {
    /// Creates a detector for a task whose loop iterates at least once per `period`.
    pub fn new(period: Duration, now: Time) -> Self {
        Self {
            ended: Time::ZERO,
            last_observed: now,
            length: Duration::ZERO,
            period,
        }
    }

    /// Records a loop iteration. Returns the time since the previous one if it was a pause.
    pub fn observe(&mut self, now: Time) -> Option<Duration> {
        let length = now - self.last_observed;
        self.last_observed = now;
        if length <= self.period + TOLERANCE {
            return None;
        }
        (self.ended, self.length) = (now, length);
        Some(length)
    }

    /// An upper bound on the time that a message handled at `now` spent in a buffer during a pause.
    pub fn staleness(&self, now: Time) -> Duration {
        let recent = !self.length.is_zero() && now - self.ended <= STALENESS_WINDOW;
        if recent { self.length } else { Duration::ZERO }
    }
}
