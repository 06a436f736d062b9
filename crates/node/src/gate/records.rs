//! Records of requests that must not run twice, with their answers.
//!
//! Invariant: an answer is stored only for a request that has a record in the ledger or among the
//! recent requests, and is removed together with that record.

use std::time::Duration;

use hawthornwall_core::keys::{
    Decision, KeyLimits, KeyResult, Ledger, RecentRequests, RecentResult,
};
use hawthornwall_core::prelude::*;
use hawthornwall_settings::KeySettings;
use hawthornwall_wire::peer::{RunRequest, RunResult};
use rand::Rng;

use super::answers::Answers;
use super::work::fingerprint;

/// Maximum total size, in bytes, of the answers kept for requests that are repeated after a lost
/// connection.
const RECENT_ANSWER_BYTES: usize = 4 << 20;

/// Identifies the record of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum RecordId {
    /// Serial of the request's idempotency key.
    Key(u64),
    /// Id of a request without a key.
    Request(RequestId),
}

/// Records of one instance; a restart loses them.
#[derive(Debug)]
pub(super) struct RequestRecords {
    instance: InstanceId,
    key_answers: Answers,
    ledger: Option<Ledger>,
    key_limits: KeyLimits,
    recent: RecentRequests,
    recent_answers: Answers,
}

impl RequestRecords {
    pub fn new(instance: InstanceId, settings: &KeySettings) -> Self {
        Self {
            instance,
            key_answers: Answers::new(settings.answer_bytes),
            ledger: None,
            key_limits: KeyLimits {
                max_age: settings.keep,
                max_records: settings.records,
            },
            recent: RecentRequests::new(instance),
            recent_answers: Answers::new(RECENT_ANSWER_BYTES),
        }
    }

    /// Creates a new ledger if the target id has changed. Keys that were issued under an earlier id
    /// must not match, and no key may be lost while the target id stays the same.
    pub fn set_target(&mut self, target: TargetId) {
        if self
            .ledger
            .as_ref()
            .is_none_or(|ledger| ledger.target() != target)
        {
            self.ledger = Some(Ledger::new(self.instance, target, self.key_limits));
        }
    }

    /// Issues an idempotency key; refused with [`Refusal::NotReady`] until a target is set.
    pub fn issue(&mut self, service: ServiceId, now: Time) -> RunResult {
        let Some(ledger) = &mut self.ledger else {
            return RunResult::Refused(Refusal::NotReady);
        };
        let issued = ledger.issue(service, rand::rng().random(), now);
        issued.map_or_else(RunResult::Refused, RunResult::KeyIssued)
    }

    /// Decides whether a request runs, and returns the decision and the id of the record; the id is
    /// `None` for a request that may run more than once or whose key has no ledger.
    pub fn begin_request(
        &mut self,
        id: RequestId,
        run: &RunRequest,
        now: Time,
    ) -> (Decision, Option<RecordId>) {
        match (&run.key, &mut self.ledger) {
            (Some(key), Some(ledger)) => {
                let decision = ledger.begin(key, fingerprint(&run.http), now);
                (decision, Some(RecordId::Key(key.serial)))
            }
            (Some(_), None) => (Decision::Lost(Loss::KeyForgotten), None),
            (None, _) if run.run_once => {
                let deadline = now + run.time_left;
                let decision =
                    self.recent
                        .begin(id, fingerprint(&run.http), run.first_instance, deadline);
                (decision, Some(RecordId::Request(id)))
            }
            (None, _) => (Decision::Run, None),
        }
    }

    /// Returns the stored answer. If the request ran but its answer exceeded the size limit of the stored
    /// answers, the result is [`Loss::KeyForgotten`].
    pub fn replay(&self, record_id: RecordId) -> RunResult {
        let answer = match record_id {
            RecordId::Key(serial) => self.key_answers.get(serial),
            RecordId::Request(id) => self.recent_answers.get(id.0),
        };
        answer.map_or(RunResult::Lost(Loss::KeyForgotten), |a| {
            RunResult::Answered(a.clone())
        })
    }

    /// Records how a request ended and stores its answer.
    pub fn record_end(&mut self, record_id: RecordId, result: &RunResult, now: Time) {
        match record_id {
            RecordId::Key(serial) => {
                if let Some(ledger) = &mut self.ledger {
                    ledger.end(serial, key_result(result), now);
                }
                self.key_answers.store_answer(serial, result);
            }
            RecordId::Request(id) => {
                self.recent.end(id, recent_result(result));
                self.recent_answers.store_answer(id.0, result);
            }
        }
    }

    /// Removes the records that have reached their maximum age, and the answers stored for them.
    pub fn expire(&mut self, now: Time) {
        let serials = self
            .ledger
            .as_mut()
            .map(|l| l.expire(now))
            .unwrap_or_default();
        for serial in serials {
            self.key_answers.remove(serial);
        }
        for id in self.recent.expire(now) {
            self.recent_answers.remove(id.0);
        }
    }

    /// Number of key records.
    pub fn key_count(&self) -> usize {
        self.ledger.as_ref().map_or(0, Ledger::len)
    }
}

fn key_result(result: &RunResult) -> KeyResult {
    match result {
        RunResult::Answered(_) | RunResult::KeyIssued(_) => KeyResult::Answered,
        RunResult::Lost(loss) => KeyResult::Lost(*loss),
        RunResult::Refused(_) => KeyResult::NotRun,
    }
}

fn recent_result(result: &RunResult) -> RecentResult {
    match result {
        RunResult::Answered(_) | RunResult::KeyIssued(_) => RecentResult::Answered,
        RunResult::Lost(loss) => RecentResult::Lost(*loss),
        RunResult::Refused(refusal) => RecentResult::Refused(*refusal),
    }
}

impl Answers {
    fn store_answer(&mut self, id: u64, result: &RunResult) {
        match result {
            RunResult::Answered(answer) => self.store(id, answer),
            RunResult::KeyIssued(_) | RunResult::Lost(_) | RunResult::Refused(_) => {}
        }
    }
}

/// Interval between two removals of expired records.
pub(super) const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
