//! Sliding window over the service times of requests of one kind, that is of equal priority.

use std::collections::VecDeque;
use std::time::Duration;

/// Window size. It exceeds the slots of a target, so that a stall, which delays all running
/// requests at once, doesn't shift the median.
const MAX_SAMPLES: usize = 32;

/// The last service times and their median. Unlike an average, the median isn't shifted by a stall
/// or by requests that are answered without work.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentTimes {
    median: Duration,
    samples: VecDeque<Duration>,
}

impl RecentTimes {
    /// Adds a service time and drops the oldest one from a full window.
    pub fn push(&mut self, sample: Duration) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
        let mut sorted: Vec<Duration> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        self.median = sorted[sorted.len() / 2];
    }

    /// Number of service times in the window.
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Median of the window; zero while it is empty.
    pub fn median(&self) -> Duration {
        self.median
    }
}
