//! Requests that the gate holds, and who waits for them.
//!
//! Invariant: a remembered request is held once; repeats only add to those who wait for it.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use futures::channel::oneshot;
use hawthornwall_core::admission::WorkId;
use hawthornwall_core::time::Time;
use hawthornwall_wire::peer::{HttpRequest, RequestId, RunReply, RunRequest};

use super::memory::Memo;

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
    /// Under what it is remembered.
    pub memo: Option<Memo>,
    /// Taken when the request goes to the target.
    pub run: Option<Box<RunRequest>>,
    /// Covers the time from the arrival to the reply.
    pub span: HopSpan,
    pub waiters: Vec<Waiter>,
}

/// All requests held.
#[derive(Debug, Default)]
pub(super) struct WorkTable {
    by_memo: HashMap<Memo, WorkId>,
    held: HashMap<WorkId, Held>,
    /// The work that each repeat waits for.
    joined: HashMap<WorkId, WorkId>,
}

impl WorkTable {
    pub fn insert(&mut self, work: WorkId, held: Held) {
        if let Some(memo) = held.memo {
            self.by_memo.insert(memo, work);
        }
        self.held.insert(work, held);
    }

    pub fn get_mut(&mut self, work: WorkId) -> Option<&mut Held> {
        self.held.get_mut(&work)
    }

    pub fn remove(&mut self, work: WorkId) -> Option<Held> {
        let held = self.held.remove(&work)?;
        if let Some(memo) = held.memo {
            self.by_memo.remove(&memo);
        }
        for waiter in &held.waiters {
            self.joined.remove(&waiter.work);
        }
        Some(held)
    }

    /// Adds a repeat to those who wait for the request.
    pub fn join(&mut self, memo: Memo, waiter: Waiter) {
        let Some(work) = self.by_memo.get(&memo) else {
            return;
        };
        if let Some(held) = self.held.get_mut(work) {
            self.joined.insert(waiter.work, *work);
            held.waiters.push(waiter);
        }
    }

    /// Removes one who waits; the work itself if nobody else waits for it and it may be cancelled.
    ///
    /// A remembered execution that has gone to the target goes on, since a repeat may ask for its
    /// answer.
    pub fn leave(&mut self, work: WorkId) -> Option<WorkId> {
        let main = self.joined.remove(&work).unwrap_or(work);
        let held = self.held.get_mut(&main)?;
        held.waiters.retain(|w| w.work != work);
        let remembered = held.memo.is_some() && held.run.is_none();
        (held.waiters.is_empty() && !remembered).then_some(main)
    }
}

/// Identifies a request's content: the same key or id with another fingerprint is another request.
pub(super) fn fingerprint(request: &HttpRequest) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&request.method, &request.path, &request.body).hash(&mut hasher);
    hasher.finish()
}
