//! Service times (how long a request holds its slot), overall and by kind.
//!
//! A target runs requests of several kinds whose service times differ by a factor of ten. An
//! average over all of them predicts neither the delay of a queue nor whether a request can still
//! meet its deadline. Requests of one kind have equal priority.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Priority;
use super::recent::RecentTimes;

/// Weight of the newest sample in the moving average.
const SERVICE_WEIGHT: f64 = 0.05;
/// A sample is capped at this multiple of the average. A stall delays all running requests at once,
/// which predicts nothing about later ones; a target that stays slow still raises the average
/// steadily.
const MAX_SAMPLE_FACTOR: u32 = 2;
/// Maximum number of kinds with their own statistics; the overall average stands in for further
/// kinds.
const MAX_KINDS: usize = 32;

/// Usual service times, overall and by kind.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimes {
    by_priority: BTreeMap<Priority, RecentTimes>,
    /// Moving average over all requests.
    overall: Duration,
}

impl ServiceTimes {
    /// Records a request that held its slot for `sample`.
    pub fn record(&mut self, priority: Priority, sample: Duration) {
        self.overall = average(self.overall, sample);
        let known = self.by_priority.contains_key(&priority);
        if known || self.by_priority.len() < MAX_KINDS {
            self.by_priority.entry(priority).or_default().push(sample);
        }
    }

    /// Average over all requests; zero without samples.
    pub fn overall(&self) -> Duration {
        self.overall
    }

    /// Median of one kind, or the overall average if the kind has no samples.
    pub fn usual(&self, priority: Priority) -> Duration {
        let known = self.by_priority.get(&priority);
        known.map_or(self.overall, RecentTimes::median)
    }
}

fn average(old: Duration, sample: Duration) -> Duration {
    if old.is_zero() {
        return sample;
    }
    let sample = sample.min(old * MAX_SAMPLE_FACTOR).as_secs_f64();
    let old = old.as_secs_f64();
    Duration::from_secs_f64(old + SERVICE_WEIGHT * (sample - old))
}
