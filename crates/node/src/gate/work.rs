//! Requests that are queued or running at the gate, and the senders that await their results.
//!
//! Invariant: a request with a record has at most one entry; a repeat only adds a waiter to it.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use futures::channel::oneshot;
use hawthornwall_core::admission::WorkId;
use hawthornwall_core::time::Time;
use hawthornwall_wire::peer::{HttpRequest, RequestId, RunReply, RunRequest};

use super::records::RecordId;

use crate::telemetry::trace::HopSpan;

/// A sender that awaits the result of a request.
#[derive(Debug)]
pub(super) struct Waiter {
    pub arrived: Time,
    pub id: RequestId,
    pub reply: oneshot::Sender<RunReply>,
    pub work: WorkId,
}

/// A request that is queued or running.
#[derive(Debug)]
pub(super) struct InFlight {
    /// Set once the request has started. Dropping the sender cancels the request at the target.
    pub cancel: Option<oneshot::Sender<()>>,
    pub deadline: Time,
    /// The record of the request; `None` for a request that may run more than once.
    pub record_id: Option<RecordId>,
    /// `None` once the request has started.
    pub run: Option<Box<RunRequest>>,
    /// Trace span from the arrival to the reply.
    pub span: HopSpan,
    pub waiters: Vec<Waiter>,
}

/// All requests that are queued or running at the gate.
#[derive(Debug, Default)]
pub(super) struct WorkTable {
    work_by_record: HashMap<RecordId, WorkId>,
    inflight: HashMap<WorkId, InFlight>,
    /// Id of the original request, by the id of each repeat that waits for the same result.
    joined: HashMap<WorkId, WorkId>,
}

impl WorkTable {
    pub fn insert(&mut self, work: WorkId, inflight: InFlight) {
        if let Some(record_id) = inflight.record_id {
            self.work_by_record.insert(record_id, work);
        }
        self.inflight.insert(work, inflight);
    }

    pub fn get(&self, work: WorkId) -> Option<&InFlight> {
        self.inflight.get(&work)
    }

    pub fn get_mut(&mut self, work: WorkId) -> Option<&mut InFlight> {
        self.inflight.get_mut(&work)
    }

    pub fn remove(&mut self, work: WorkId) -> Option<InFlight> {
        let inflight = self.inflight.remove(&work)?;
        if let Some(record_id) = inflight.record_id {
            self.work_by_record.remove(&record_id);
        }
        for waiter in &inflight.waiters {
            self.joined.remove(&waiter.work);
        }
        Some(inflight)
    }

    /// Adds the sender of a repeat to the waiters of the original request.
    pub fn join(&mut self, record_id: RecordId, waiter: Waiter) {
        let Some(work) = self.work_by_record.get(&record_id) else {
            return;
        };
        if let Some(inflight) = self.inflight.get_mut(work) {
            self.joined.insert(waiter.work, *work);
            inflight.waiters.push(waiter);
        }
    }

    /// Removes a waiter. Returns the request if it has no waiter left and may be cancelled.
    ///
    /// A request that has a record is not cancelled once it has started, since a repeat may request
    /// the same answer.
    pub fn leave(&mut self, work: WorkId) -> Option<WorkId> {
        let original = self.joined.remove(&work).unwrap_or(work);
        let inflight = self.inflight.get_mut(&original)?;
        inflight.waiters.retain(|w| w.work != work);
        let must_finish = inflight.record_id.is_some() && inflight.run.is_none();
        (inflight.waiters.is_empty() && !must_finish).then_some(original)
    }
}

/// Hash of method, path and body, which detects different requests under the same key or id.
pub(super) fn fingerprint(request: &HttpRequest) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&request.method, &request.path, &request.body).hash(&mut hasher);
    hasher.finish()
}
