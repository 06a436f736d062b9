//! The rate of a network link.

use std::time::Duration;

/// The rate of a link in one direction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    bytes_per_second: f64,
}

impl Rate {
    /// The rate of a link with this many megabits per second.
    pub fn from_mbps(mbps: f64) -> Self {
        Self {
            bytes_per_second: (mbps * 1e6 / 8.0).max(1.0),
        }
    }

    /// Time in which the link transports this many bytes.
    pub fn time(self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_second)
    }

    /// Bytes that the link transports in this time.
    pub fn bytes_in(self, time: Duration) -> u64 {
        (self.bytes_per_second * time.as_secs_f64()) as u64
    }
}
