//! The one place where the process reads its monotonic clock.

use std::time::{Duration, Instant};

use hawthornwall_core::time::Time;

/// The process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The present.
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// Time from the present until `time`, zero if it has passed.
    pub fn until(&self, time: Time) -> Duration {
        time - self.now()
    }
}
