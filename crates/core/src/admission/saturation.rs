//! How many of its slots a target uses well.
//!
//! It answers the load pattern of a burst at targets that slow down when nearly all of their slots are
//! taken. Such a target does less with all slots than with most of them: nine requests that each take
//! 1.7 times as long finish at the rate of five. A request that waits for a slot is then answered sooner
//! than one that takes the last slot.
//!
//! Rules kept here:
//! - only work that is alike is compared: requests of one kind, started while the machine worked as usual;
//! - a slot is left free only after enough work was seen to take longer because of it;
//! - what was seen is forgotten after a while, so that a target that no longer slows down uses all slots
//!   again.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Urgency;
use super::recent::Recent;
use crate::time::Time;

/// Share of the slots that is always used.
const LEAST_USED: f64 = 0.75;
/// Last comparisons kept of one occupancy.
const SAMPLES_KEPT: usize = 16;
/// Samples without which nothing is said of a kind or an occupancy.
const SAMPLES_NEEDED: usize = 8;
/// Age at which a comparison is forgotten.
const SAMPLE_LIFE: Duration = Duration::from_secs(10);
/// Kinds that are told apart.
const KIND_LIMIT: usize = 32;
/// Times as much work that fewer slots must do, so that chance alone rarely takes a slot out of use.
const GAIN_NEEDED: f64 = 1.1;

/// Slots of a target at the moment when work starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Occupancy {
    /// All slots of the target.
    pub slots: u32,
    /// Slots taken, that of the started work among them.
    pub taken: u32,
}

impl Occupancy {
    /// Slots taken beyond those that are always used.
    fn excess(self) -> usize {
        self.taken.saturating_sub(least_used(self.slots)) as usize
    }
}

/// How long work takes by the number of slots that are taken when it starts.
#[derive(Clone, Debug, Default)]
pub(super) struct Saturation {
    /// Times relative to the usual of the kind, by the slots taken beyond those always used.
    by_excess: Vec<VecDeque<(Time, f64)>>,
    /// Times of work that started while no more slots were taken than are always used.
    usual: BTreeMap<Urgency, Recent>,
}

impl Saturation {
    /// Learns from work that took `sample` and has ended now.
    pub fn learn(&mut self, start: Occupancy, urgency: Urgency, sample: Duration, now: Time) {
        match start.excess().checked_sub(1) {
            None => self.learn_usual(urgency, sample),
            Some(at) => self.compare(at, urgency, sample, now),
        }
    }

    fn learn_usual(&mut self, urgency: Urgency, sample: Duration) {
        let known = self.usual.contains_key(&urgency);
        if known || self.usual.len() < KIND_LIMIT {
            self.usual.entry(urgency).or_default().push(sample);
        }
    }

    fn compare(&mut self, at: usize, urgency: Urgency, sample: Duration, now: Time) {
        let known = self.usual.get(&urgency);
        let known = known.filter(|recent| recent.len() >= SAMPLES_NEEDED);
        let usual = known.map_or(Duration::ZERO, Recent::median);
        if usual.is_zero() {
            return;
        }
        let len = self.by_excess.len().max(at + 1);
        self.by_excess.resize_with(len, VecDeque::new);
        let seen = &mut self.by_excess[at];
        if seen.len() == SAMPLES_KEPT {
            seen.pop_front();
        }
        seen.push_back((now, sample.div_duration_f64(usual)));
    }

    /// The number of slots, out of `slots`, with which the target does most work.
    pub fn useful_slots(&self, slots: u32, now: Time) -> u32 {
        let rate = |used: u32| f64::from(used) / self.factor(used, slots, now);
        let mut best = slots;
        for used in (least_used(slots)..slots).rev() {
            if rate(used) > rate(best) * GAIN_NEEDED {
                best = used;
            }
        }
        best
    }

    /// How many times as long as usual work takes that starts as the last of `used`; 1 while unknown.
    fn factor(&self, used: u32, slots: u32, now: Time) -> f64 {
        let taken = Occupancy { slots, taken: used };
        let at = taken.excess().checked_sub(1);
        let seen = at.and_then(|at| self.by_excess.get(at));
        let fresh = seen
            .into_iter()
            .flatten()
            .filter(|(at, _)| now - *at < SAMPLE_LIFE);
        let mut factors: Vec<f64> = fresh.map(|(_, factor)| *factor).collect();
        if factors.len() < SAMPLES_NEEDED {
            return 1.0;
        }
        factors.sort_by(f64::total_cmp);
        factors[factors.len() / 2].max(1.0)
    }
}

/// Slots that are used whatever was seen.
fn least_used(slots: u32) -> u32 {
    (f64::from(slots) * LEAST_USED).ceil() as u32
}
