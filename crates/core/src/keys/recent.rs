//! Deduplication of requests without an idempotency key, by request id.
//!
//! A peer sends such a request again when the connection that carried it was lost. The repeat has
//! the same id, so the receiving daemon run either has a record of the id or never received the
//! request.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Decision;
use crate::ids::{InstanceId, RequestId};
use crate::outcome::{Loss, Refusal};
use crate::time::Time;

/// Time after the deadline of a request for which its id is kept.
///
/// It exceeds the time after which a peer connection without traffic is closed, so no copy of the
/// request can arrive later.
const ID_RETENTION: Duration = Duration::from_secs(10);

/// The result of an execution of a request without a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecentResult {
    /// A complete answer was received. The owner of the [`RecentRequests`] stores it.
    Answered,
    /// The request may have run, but no complete answer was received.
    Lost(Loss),
    /// The request was definitely not run and never will be under this id.
    Refused(Refusal),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Ended(RecentResult),
    Running,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    expires: Time,
    fingerprint: u64,
    state: State,
}

/// Records of the requests without a key that this daemon run has recently received.
///
/// ```
/// use hawthornwall_core::keys::{Decision, RecentRequests, RecentResult};
/// use hawthornwall_core::prelude::*;
///
/// let mut recent = RecentRequests::new(InstanceId(1));
/// let (id, fingerprint, deadline) = (RequestId(5), 42, Time::from_micros(1_000));
/// assert_eq!(recent.begin(id, fingerprint, None, deadline), Decision::Run);
/// assert_eq!(recent.begin(id, fingerprint, Some(InstanceId(1)), deadline), Decision::Join);
/// recent.end(id, RecentResult::Answered);
/// assert_eq!(recent.begin(id, fingerprint, Some(InstanceId(1)), deadline), Decision::Replay);
/// ```
#[derive(Debug)]
pub struct RecentRequests {
    instance: InstanceId,
    records: BTreeMap<RequestId, Record>,
}

impl RecentRequests {
    /// Creates an empty set of records for the daemon run `instance`.
    pub fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            records: BTreeMap::new(),
        }
    }

    /// Begins an execution if the request is new, and decides how to handle it.
    ///
    /// `fingerprint` is a hash of the request's method, path and body. `repeat` is the daemon run
    /// that an earlier attempt to send the request may have reached, `None` for the first attempt.
    pub fn begin(
        &mut self,
        id: RequestId,
        fingerprint: u64,
        repeat: Option<InstanceId>,
        deadline: Time,
    ) -> Decision {
        if repeat.is_some_and(|run| run != self.instance) {
            return Decision::Lost(Loss::KeyForgotten);
        }
        let Some(record) = self.records.get(&id) else {
            let record = Record {
                expires: deadline + ID_RETENTION,
                fingerprint,
                state: State::Running,
            };
            self.records.insert(id, record);
            return Decision::Run;
        };
        if record.fingerprint != fingerprint {
            // Two daemons generated the same random id.
            return Decision::Refuse(Refusal::KeyMismatch);
        }
        match record.state {
            State::Ended(RecentResult::Answered) => Decision::Replay,
            State::Ended(RecentResult::Lost(loss)) => Decision::Lost(loss),
            State::Ended(RecentResult::Refused(refusal)) => Decision::Refuse(refusal),
            State::Running => Decision::Join,
        }
    }

    /// Records the result of an execution. Later results for the same id are ignored.
    pub fn end(&mut self, id: RequestId, end: RecentResult) {
        if let Some(record) = self.records.get_mut(&id)
            && record.state == State::Running
        {
            record.state = State::Ended(end);
        }
    }

    /// Drops the records that expired by `now`, except running ones, and returns their ids.
    pub fn expire(&mut self, now: Time) -> Vec<RequestId> {
        let expired = |r: &Record| r.state != State::Running && r.expires <= now;
        let ids: Vec<_> = self
            .records
            .iter()
            .filter(|(_, r)| expired(r))
            .map(|(id, _)| *id)
            .collect();
        for id in &ids {
            self.records.remove(id);
        }
        ids
    }

    /// The number of records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no records are held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
