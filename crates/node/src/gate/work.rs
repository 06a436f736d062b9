//! Requests that the gate holds, and who waits for them.
//!
//! Invariant: a request under a key is held once; repeats only add to those who wait for it.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use futures::channel::oneshot;
use hawthornwall_core::admission::WorkId;
use hawthornwall_core::time::Time;
use hawthornwall_wire::peer::{HttpRequest, RequestId, Run, RunReply};

use crate::telemetry::trace::HopSpan;

/// Somebody who waits for the end of a request.
#[derive(Debug)]
pub(super) struct Waiter {
    pub arrived: Time,
    pub id: RequestId,
    pub reply: oneshot::Sender<RunReply>,
    pub work: WorkId,
}

/// A request that waits for a slot or runs.
#[derive(Debug)]
pub(super) struct Held {
    /// Dropping it cancels the work at the target.
    pub cancel: Option<oneshot::Sender<()>>,
    pub deadline: Time,
    /// Serial of its idempotency key.
    pub key: Option<u64>,
    /// Taken when the request goes to the target.
    pub run: Option<Box<Run>>,
    /// Covers the time from the arrival to the reply.
    pub span: HopSpan,
    pub waiters: Vec<Waiter>,
}

/// All requests held.
#[derive(Debug, Default)]
pub(super) struct WorkTable {
    by_key: HashMap<u64, WorkId>,
    held: HashMap<WorkId, Held>,
    /// Repeats under a key, by the work that they wait for.
    joined: HashMap<WorkId, WorkId>,
}

impl WorkTable {
    pub fn insert(&mut self, work: WorkId, held: Held) {
        if let Some(key) = held.key {
            self.by_key.insert(key, work);
        }
        self.held.insert(work, held);
    }

    pub fn get_mut(&mut self, work: WorkId) -> Option<&mut Held> {
        self.held.get_mut(&work)
    }

    pub fn remove(&mut self, work: WorkId) -> Option<Held> {
        let held = self.held.remove(&work)?;
        if let Some(key) = held.key {
            self.by_key.remove(&key);
        }
        for waiter in &held.waiters {
            self.joined.remove(&waiter.work);
        }
        Some(held)
    }

    /// Adds a repeat to those who wait for the request under its key.
    pub fn join(&mut self, key: u64, waiter: Waiter) {
        let Some(work) = self.by_key.get(&key) else {
            return;
        };
        if let Some(held) = self.held.get_mut(work) {
            self.joined.insert(waiter.work, *work);
            held.waiters.push(waiter);
        }
    }

    /// Removes one who waits; the work itself if nobody else waits for it and it may be cancelled.
    ///
    /// An execution under a key that has gone to the target goes on, since a repeat may ask for its
    /// answer.
    pub fn leave(&mut self, work: WorkId) -> Option<WorkId> {
        let main = self.joined.remove(&work).unwrap_or(work);
        let held = self.held.get_mut(&main)?;
        held.waiters.retain(|w| w.work != work);
        let started_under_key = held.key.is_some() && held.run.is_none();
        (held.waiters.is_empty() && !started_under_key).then_some(main)
    }
}

/// Identifies a request under a key: the same key with another print is another request.
pub(super) fn print(request: &HttpRequest) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&request.method, &request.path, &request.body).hash(&mut hasher);
    hasher.finish()
}
