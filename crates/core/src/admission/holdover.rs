//! Work at the target that is not in the gate's own count.
//!
//! A request that was cancelled or that ran past its deadline may still hold a slot, and a daemon that has
//! restarted doesn't know what its predecessor sent. Some targets never answer a request that they can't
//! queue, so such work counts as running while the target reports more than the gate knows of.

use std::time::Duration;

use crate::load::TargetLoad;
use crate::time::Time;

/// Time after the start for which the target may hold requests of an earlier run of the daemon. A longer
/// time would keep a target that reports too much load without work for longer.
const PREDECESSOR_TIME: Duration = Duration::from_secs(10);
/// Age from which a reported excess is ignored, so that the load is checked again.
const EXCESS_MAX_AGE: Duration = Duration::from_millis(20);

/// Requests that the target may hold beyond those that the gate counts as running.
#[derive(Clone, Debug, Default)]
pub(super) struct Holdover {
    /// Deadlines of requests that ended here while the target may still run them.
    abandoned: Vec<Time>,
    /// Number of requests at the target beyond those known when it reported its load, and when that was.
    excess: Option<(u32, Time)>,
    /// Whether such requests hold all slots that the gate counts as free.
    pub holding: bool,
}

impl Holdover {
    /// Records a request that may hold a slot until its deadline.
    pub fn abandon(&mut self, deadline: Time, now: Time) {
        self.abandoned.retain(|at| *at > now);
        self.abandoned.push(deadline);
    }

    /// Records a reported load, while `running` requests were known.
    pub fn observe(&mut self, load: TargetLoad, running: usize, now: Time) {
        let running = u32::try_from(running).unwrap_or(u32::MAX);
        let reported = load.running.saturating_add(load.waiting);
        let excess = reported.saturating_sub(running);
        self.excess = Some((excess, now));
    }

    /// Forgets all requests, since another run of the target serves the address.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Number of slots that such requests may hold now.
    pub fn slots(&self, now: Time) -> usize {
        let excess = self.excess.filter(|(_, at)| now - *at < EXCESS_MAX_AGE);
        let excess = excess.map_or(0, |(excess, _)| excess as usize);
        if now < Time::ZERO + PREDECESSOR_TIME {
            return excess;
        }
        excess.min(self.abandoned.iter().filter(|at| **at > now).count())
    }
}
