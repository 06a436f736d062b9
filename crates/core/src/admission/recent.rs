//! The last few service times of requests that are alike.

use std::collections::VecDeque;
use std::time::Duration;

/// Service times kept. More than a target has slots, so that a stall, which lengthens all running
/// requests at once, doesn't move the median.
const KEPT: usize = 32;

/// The last service times and their median, which neither a stall nor requests that are answered
/// without work move, as they would an average.
#[derive(Clone, Debug, Default)]
pub(super) struct Recent {
    median: Duration,
    samples: VecDeque<Duration>,
}

impl Recent {
    /// Takes in a service time; the oldest one is forgotten.
    pub fn push(&mut self, sample: Duration) {
        if self.samples.len() == KEPT {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
        let mut sorted: Vec<Duration> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        self.median = sorted[sorted.len() / 2];
    }

    /// How many service times are known.
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// The median, zero while none is known.
    pub fn median(&self) -> Duration {
        self.median
    }
}
