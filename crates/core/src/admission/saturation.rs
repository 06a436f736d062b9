//! Number of slots with which a target completes the most work.
//!
//! Some targets slow down when nearly all of their slots are taken. During a burst such a target
//! completes less work with all slots than with most of them: nine requests that each take 1.7
//! times as long finish at the rate of five. A request that waits for a slot is then answered
//! sooner than one that takes the last slot.
//!
//! Invariants:
//! - only requests of one kind, that is of equal priority, are compared, and only those that started
//!   while the machine ran at its usual speed;
//! - a slot is left free only after enough requests have been measured to take longer with it;
//! - samples expire, so that a target that no longer slows down uses all slots again.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Priority;
use super::recent::RecentTimes;
use crate::time::Time;

/// Share of the configured slots that is always usable.
const MIN_USABLE_SHARE: f64 = 0.75;
/// Samples kept per occupancy.
const MAX_SAMPLES: usize = 16;
/// Minimum number of samples for an estimate of a kind or an occupancy.
const MIN_SAMPLES: usize = 8;
/// Age from which a sample is ignored.
const SAMPLE_MAX_AGE: Duration = Duration::from_secs(10);
/// Maximum number of kinds with their own statistics; further kinds are ignored.
const MAX_KINDS: usize = 32;
/// Minimum factor by which fewer slots must raise the completion rate for slots to be left free, so
/// that random variation doesn't reduce the number of usable slots.
const MIN_GAIN: f64 = 1.1;

/// Slots of a target at the time when a request starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Occupancy {
    /// All configured slots of the target.
    pub slots: u32,
    /// Slots taken, including that of the starting request.
    pub taken: u32,
}

impl Occupancy {
    /// Slots taken beyond those that are always usable.
    fn excess(self) -> usize {
        self.taken.saturating_sub(min_usable(self.slots)) as usize
    }
}

/// Service times by the number of slots taken when the request starts.
#[derive(Clone, Debug, Default)]
pub(super) struct Saturation {
    /// Samples by the number of slots taken beyond those that are always usable, minus one. A
    /// sample is the time at which a request ended, and the ratio of its service time to the usual
    /// service time of its kind.
    by_excess: Vec<VecDeque<(Time, f64)>>,
    /// Service times of requests that started while only slots that are always usable were taken.
    usual: BTreeMap<Priority, RecentTimes>,
}

impl Saturation {
    /// Records a request that ended now after a service time of `sample`.
    pub fn record(
        &mut self,
        occupancy: Occupancy,
        priority: Priority,
        sample: Duration,
        now: Time,
    ) {
        match occupancy.excess().checked_sub(1) {
            None => self.record_usual(priority, sample),
            Some(at) => self.record_factor(at, priority, sample, now),
        }
    }

    fn record_usual(&mut self, priority: Priority, sample: Duration) {
        let known = self.usual.contains_key(&priority);
        if known || self.usual.len() < MAX_KINDS {
            self.usual.entry(priority).or_default().push(sample);
        }
    }

    fn record_factor(&mut self, at: usize, priority: Priority, sample: Duration, now: Time) {
        let known = self.usual.get(&priority);
        let known = known.filter(|recent| recent.len() >= MIN_SAMPLES);
        let usual_time = known.map_or(Duration::ZERO, RecentTimes::median);
        if usual_time.is_zero() {
            return;
        }
        let len = self.by_excess.len().max(at + 1);
        self.by_excess.resize_with(len, VecDeque::new);
        let samples = &mut self.by_excess[at];
        if samples.len() == MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back((now, sample.div_duration_f64(usual_time)));
    }

    /// The number of slots, at most `slots`, with the highest completion rate.
    pub fn best_slots(&self, slots: u32, now: Time) -> u32 {
        let rate = |used: u32| f64::from(used) / self.factor(used, slots, now);
        let mut best = slots;
        for used in (min_usable(slots)..slots).rev() {
            if rate(used) > rate(best) * MIN_GAIN {
                best = used;
            }
        }
        best
    }

    /// Median ratio of the service time of a request that takes slot number `used` to the usual
    /// service time; at least 1, and 1 without enough samples.
    fn factor(&self, used: u32, slots: u32, now: Time) -> f64 {
        let taken = Occupancy { slots, taken: used };
        let at = taken.excess().checked_sub(1);
        let samples = at.and_then(|at| self.by_excess.get(at));
        let fresh = samples
            .into_iter()
            .flatten()
            .filter(|(at, _)| now - *at < SAMPLE_MAX_AGE);
        let mut factors: Vec<f64> = fresh.map(|(_, factor)| *factor).collect();
        if factors.len() < MIN_SAMPLES {
            return 1.0;
        }
        factors.sort_by(f64::total_cmp);
        factors[factors.len() / 2].max(1.0)
    }
}

/// Number of slots that are usable regardless of the samples.
fn min_usable(slots: u32) -> u32 {
    (f64::from(slots) * MIN_USABLE_SHARE).ceil() as u32
}
