//! How long requests hold a slot, overall and by urgency.
//!
//! A target runs requests of several kinds, whose times differ by a factor of ten; an average over all
//! of them says neither how long a queue takes nor whether a request can still be done in time.
//! Requests of one kind share their urgency.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Urgency;
use super::recent::Recent;

/// Weight of a new service time in the moving average.
const SERVICE_WEIGHT: f64 = 0.05;
/// A sample counts as at most this many times the average. A stall lengthens all running requests at
/// once, which says nothing about later ones; a target that stays slow raises the average steadily.
const SAMPLE_LIMIT: u32 = 2;
/// Kinds that are told apart.
const KIND_LIMIT: usize = 32;

/// Usual service times.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimes {
    by_urgency: BTreeMap<Urgency, Recent>,
    /// A moving average.
    overall: Duration,
}

impl ServiceTimes {
    /// Learns from a request that held its slot for `sample`.
    pub fn learn(&mut self, urgency: Urgency, sample: Duration) {
        self.overall = average(self.overall, sample);
        let known = self.by_urgency.contains_key(&urgency);
        if known || self.by_urgency.len() < KIND_LIMIT {
            self.by_urgency.entry(urgency).or_default().push(sample);
        }
    }

    /// The average over all requests, zero while none is known.
    pub fn overall(&self) -> Duration {
        self.overall
    }

    /// The median of one kind, or the average over all where that kind is not known.
    pub fn usual(&self, urgency: Urgency) -> Duration {
        let known = self.by_urgency.get(&urgency);
        known.map_or(self.overall, Recent::median)
    }
}

fn average(old: Duration, sample: Duration) -> Duration {
    if old.is_zero() {
        return sample;
    }
    let sample = sample.min(old * SAMPLE_LIMIT).as_secs_f64();
    let old = old.as_secs_f64();
    Duration::from_secs_f64(old + SERVICE_WEIGHT * (sample - old))
}
