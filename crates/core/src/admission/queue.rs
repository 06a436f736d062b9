//! Queue of the requests that wait for a slot, in start order.
//!
//! The order handles a target with a backlog, for example after a restart. In order of arrival each
//! request would start only after its latency objective has passed, and the target, although fully
//! busy, would answer none in time until the backlog is gone. Requests of one kind have equal
//! priority.
//!
//! Invariants:
//! - a lower rank starts first, then the kind with the shorter latency objective;
//! - within a kind, requests that can still meet their objective start before those that can't; in
//!   both groups the earliest objective deadline starts first.

use std::time::Duration;

use super::{Arrival, Priority, WorkId};
use crate::time::Time;

/// Share of the usual service time of its kind that a request needs at least to have a good chance
/// of an answer. A request with less time left counts as late.
const TIMELY_SHARE: f64 = 0.8;

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub arrival: Arrival,
    pub arrived: Time,
}

/// Sort key of a request in the queue; the lowest starts first. The fields are compared in
/// declaration order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SortKey {
    priority: Priority,
    late: bool,
    objective_deadline: Option<Time>,
    arrived: Time,
    id: WorkId,
}

/// The waiting requests, in start order as of the last sort.
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

    /// Inserts a request at its position in start order. `usual` returns the usual service time of
    /// a kind.
    pub fn push(&mut self, arrival: Arrival, usual: impl Fn(Priority) -> Duration, now: Time) {
        let waiting = Waiting {
            arrival,
            arrived: now,
        };
        let at = self.ahead_of(&arrival, usual, now).len();
        self.0.insert(at, waiting);
    }

    /// Removes and returns the request that starts next.
    pub fn pop(&mut self) -> Option<Waiting> {
        (!self.0.is_empty()).then(|| self.0.remove(0))
    }

    /// Restores the start order, which changes as requests become too late for their objective.
    pub fn sort(&mut self, usual: impl Fn(Priority) -> Duration, now: Time) {
        self.0.sort_by_key(|waiting| sort_key(waiting, &usual, now));
    }

    /// The requests that would start before one that arrives now.
    pub fn ahead_of(
        &self,
        arrival: &Arrival,
        usual: impl Fn(Priority) -> Duration,
        now: Time,
    ) -> &[Waiting] {
        let own = Waiting {
            arrival: *arrival,
            arrived: now,
        };
        let own = sort_key(&own, &usual, now);
        let ahead = self.0.partition_point(|w| sort_key(w, &usual, now) <= own);
        &self.0[..ahead]
    }

    /// Removes each request for which `reason_for`, called with its position from 0, returns a
    /// reason, and returns the removed requests with their reasons.
    pub fn remove_if<T>(
        &mut self,
        reason_for: impl Fn(usize, &Waiting) -> Option<T>,
    ) -> Vec<(WorkId, T)> {
        let mut removed = Vec::new();
        let mut at = 0;
        self.0.retain(|waiting| {
            let reason = reason_for(at, waiting);
            at += 1;
            let kept = reason.is_none();
            removed.extend(reason.map(|reason| (waiting.arrival.id, reason)));
            kept
        });
        removed
    }
}

fn sort_key(waiting: &Waiting, usual: impl Fn(Priority) -> Duration, now: Time) -> SortKey {
    let Waiting { arrival, arrived } = *waiting;
    let expected_end = now + usual(arrival.priority).mul_f64(TIMELY_SHARE);
    SortKey {
        arrived,
        id: arrival.id,
        late: arrival
            .objective_deadline
            .is_some_and(|objective_deadline| expected_end > objective_deadline),
        priority: arrival.priority,
        objective_deadline: arrival.objective_deadline,
    }
}
