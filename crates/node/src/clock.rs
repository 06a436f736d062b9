//! The clocks of the process. No other module reads the system's monotonic clock to obtain a [`Time`].

use std::time::{Duration, Instant};

use hawthornwall_core::time::Time;

/// A monotonic clock that counts from its start.
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

    /// Time since the clock was started.
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// The time of an instant; that of the start if the instant is earlier.
    pub fn at(&self, instant: Instant) -> Time {
        Time::ZERO + instant.saturating_duration_since(self.start)
    }

    /// Time since the start of the machine, which also counts while the machine is suspended.
    pub fn since_boot(self) -> Duration {
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
        Duration::new(seconds, nanos)
    }

    /// Time that remains until `time`; zero if it has passed.
    pub fn until(&self, time: Time) -> Duration {
        time - self.now()
    }
}
