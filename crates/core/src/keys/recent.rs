//! Requests without a key that must not run twice, remembered by their request id.
//!
//! A peer repeats such a request when the connection that carried it was lost. The repeat has the
//! same id, and this run either knows the id or has never received the request.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Decision;
use crate::ids::{InstanceId, RequestId};
use crate::outcome::{Loss, Refusal};
use crate::time::Time;

/// How long an id is kept past the deadline of its request. A sending that is still under way then
/// has been delayed longer than any connection of a peer lives without a sign of life.
const KEEP: Duration = Duration::from_secs(10);

/// How an execution of a remembered request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecentEnd {
    /// A whole answer arrived and is stored by the owner.
    Answered,
    /// It may have run and has no answer.
    Lost(Loss),
    /// It was definitely not run and never will be under this id.
    Refused(Refusal),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Ended(RecentEnd),
    Running,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    forget: Time,
    print: u64,
    state: State,
}

/// The ids that this run has seen lately.
///
/// ```
/// use hawthornwall_core::keys::{Decision, RecentEnd, RecentRuns};
/// use hawthornwall_core::prelude::*;
///
/// let mut recent = RecentRuns::new(InstanceId(1));
/// let (id, print, deadline) = (RequestId(5), 42, Time::from_micros(1_000));
/// assert_eq!(recent.request(id, print, None, deadline), Decision::Run);
/// assert_eq!(recent.request(id, print, Some(InstanceId(1)), deadline), Decision::Join);
/// recent.end(id, RecentEnd::Answered);
/// assert_eq!(recent.request(id, print, Some(InstanceId(1)), deadline), Decision::Replay);
/// ```
#[derive(Debug)]
pub struct RecentRuns {
    instance: InstanceId,
    records: BTreeMap<RequestId, Record>,
}

impl RecentRuns {
    /// No ids.
    pub fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            records: BTreeMap::new(),
        }
    }

    /// Decides about a sending of a request. `repeat` names the run that an earlier sending may have
    /// reached; `print` identifies the request's content.
    pub fn request(
        &mut self,
        id: RequestId,
        print: u64,
        repeat: Option<InstanceId>,
        deadline: Time,
    ) -> Decision {
        if repeat.is_some_and(|run| run != self.instance) {
            return Decision::Lost(Loss::KeyForgotten);
        }
        let Some(record) = self.records.get(&id) else {
            let record = Record {
                forget: deadline + KEEP,
                print,
                state: State::Running,
            };
            self.records.insert(id, record);
            return Decision::Run;
        };
        if record.print != print {
            // Two daemons have drawn the same id.
            return Decision::Refuse(Refusal::KeyMismatch);
        }
        match record.state {
            State::Ended(RecentEnd::Answered) => Decision::Replay,
            State::Ended(RecentEnd::Lost(loss)) => Decision::Lost(loss),
            State::Ended(RecentEnd::Refused(refusal)) => Decision::Refuse(refusal),
            State::Running => Decision::Join,
        }
    }

    /// Notes the end of an execution. Only the first end counts.
    pub fn end(&mut self, id: RequestId, end: RecentEnd) {
        if let Some(record) = self.records.get_mut(&id)
            && record.state == State::Running
        {
            record.state = State::Ended(end);
        }
    }

    /// Drops ids whose time has passed and returns them. A running request keeps its id.
    pub fn expire(&mut self, now: Time) -> Vec<RequestId> {
        let old = |r: &Record| r.state != State::Running && r.forget <= now;
        let ids: Vec<_> = self
            .records
            .iter()
            .filter(|(_, r)| old(r))
            .map(|(id, _)| *id)
            .collect();
        for id in &ids {
            self.records.remove(id);
        }
        ids
    }

    /// Ids held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no id is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
