//! The requests that wait for a slot, in the order in which they start.
//!
//! It answers the load pattern of a target that has fallen behind, as after its restart: were waiting
//! requests to start as they came, each would start when its answer is no longer wanted, and the target,
//! although busy all the time, would answer nobody in time until it has caught up.
//!
//! Rules kept here:
//! - the lower rank goes first, then the kind whose answers are wanted sooner;
//! - within a kind, those that can still be answered in time go before those that can't, and of each the
//!   one whose answer is wanted first.

use std::time::Duration;

use super::{Arrival, Urgency, WorkId};
use crate::time::Time;

/// Share of the usual service time of its kind within which a request may well be answered.
const TIMELY_SHARE: f64 = 0.8;

/// One request that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub arrival: Arrival,
    pub arrived: Time,
}

/// Place of a request among those that wait; a lower one starts first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    urgency: Urgency,
    late: bool,
    wanted: Option<Time>,
    arrived: Time,
    id: WorkId,
}

/// All requests that wait.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue(Vec<Waiting>);

impl Queue {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.0.iter()
    }

    /// The request that starts next.
    pub fn first(&self) -> Option<&Waiting> {
        self.0.first()
    }

    /// Adds a request at its place.
    pub fn push(&mut self, arrival: Arrival, usual: impl Fn(Urgency) -> Duration, now: Time) {
        let waiting = Waiting {
            arrival,
            arrived: now,
        };
        let at = self.ahead_of(&arrival, usual, now).len();
        self.0.insert(at, waiting);
    }

    /// Removes the request that starts next.
    pub fn pop(&mut self) -> Option<Waiting> {
        (!self.0.is_empty()).then(|| self.0.remove(0))
    }

    /// Puts all requests at their places, since some that could be answered in time before no longer can.
    pub fn sort(&mut self, usual: impl Fn(Urgency) -> Duration, now: Time) {
        self.0.sort_by_key(|waiting| place(waiting, &usual, now));
    }

    /// The requests that would start before one that arrives now.
    pub fn ahead_of(
        &self,
        arrival: &Arrival,
        usual: impl Fn(Urgency) -> Duration,
        now: Time,
    ) -> &[Waiting] {
        let own = Waiting {
            arrival: *arrival,
            arrived: now,
        };
        let own = place(&own, &usual, now);
        let ahead = self.0.partition_point(|w| place(w, &usual, now) <= own);
        &self.0[..ahead]
    }

    /// Removes all requests for which `gone` tells a reason, given their places from 0, and returns them
    /// with it.
    pub fn remove<T>(&mut self, gone: impl Fn(usize, &Waiting) -> Option<T>) -> Vec<(WorkId, T)> {
        let mut removed = Vec::new();
        let mut at = 0;
        self.0.retain(|waiting| {
            let reason = gone(at, waiting);
            at += 1;
            let kept = reason.is_none();
            removed.extend(reason.map(|reason| (waiting.arrival.id, reason)));
            kept
        });
        removed
    }
}

fn place(waiting: &Waiting, usual: impl Fn(Urgency) -> Duration, now: Time) -> Place {
    let Waiting { arrival, arrived } = *waiting;
    let ready = now + usual(arrival.urgency).mul_f64(TIMELY_SHARE);
    Place {
        arrived,
        id: arrival.id,
        late: arrival.wanted.is_some_and(|wanted| ready > wanted),
        urgency: arrival.urgency,
        wanted: arrival.wanted,
    }
}
