//! What this run remembers of requests that must not run twice, and of their answers.
//!
//! Invariant: an answer is stored only for a request that the ledger or the recent ids know, and is
//! dropped with that record.

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

/// Bytes of answers kept for repeats after a lost connection.
const RECENT_ANSWERS: usize = 4 << 20;

/// Under what a request is remembered.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Memo {
    /// The serial of its idempotency key.
    Key(u64),
    /// Its request id.
    Once(RequestId),
}

/// The memory of one run.
#[derive(Debug)]
pub(super) struct Memory {
    instance: InstanceId,
    key_answers: Answers,
    ledger: Option<Ledger>,
    limits: KeyLimits,
    recent: RecentRequests,
    recent_answers: Answers,
}

impl Memory {
    pub fn new(instance: InstanceId, settings: &KeySettings) -> Self {
        Self {
            instance,
            key_answers: Answers::new(settings.answer_bytes),
            ledger: None,
            limits: KeyLimits {
                max_age: settings.keep,
                max_records: settings.records,
            },
            recent: RecentRequests::new(instance),
            recent_answers: Answers::new(RECENT_ANSWERS),
        }
    }

    /// Starts a new ledger unless the target has one. A ledger belongs to one target id; keys of an
    /// earlier one must not match, and none may be forgotten while its target stays.
    pub fn serve_target(&mut self, target: TargetId) {
        if self
            .ledger
            .as_ref()
            .is_none_or(|ledger| ledger.target() != target)
        {
            self.ledger = Some(Ledger::new(self.instance, target, self.limits));
        }
    }

    /// Issues a key.
    pub fn issue(&mut self, service: ServiceId, now: Time) -> RunResult {
        let Some(ledger) = &mut self.ledger else {
            return RunResult::Refused(Refusal::NotReady);
        };
        let issued = ledger.issue(service, rand::rng().random(), now);
        issued.map_or_else(RunResult::Refused, RunResult::KeyIssued)
    }

    /// Decides about a request and says under what it is remembered.
    pub fn decide(
        &mut self,
        id: RequestId,
        run: &RunRequest,
        now: Time,
    ) -> (Decision, Option<Memo>) {
        match (&run.key, &mut self.ledger) {
            (Some(key), Some(ledger)) => {
                let decision = ledger.begin(key, fingerprint(&run.http), now);
                (decision, Some(Memo::Key(key.serial)))
            }
            (Some(_), None) => (Decision::Lost(Loss::KeyForgotten), None),
            (None, _) if run.run_once => {
                let deadline = now + run.time_left;
                let decision =
                    self.recent
                        .begin(id, fingerprint(&run.http), run.first_instance, deadline);
                (decision, Some(Memo::Once(id)))
            }
            (None, _) => (Decision::Run, None),
        }
    }

    /// The stored answer; a request that ran, but whose answer found no room, is lost.
    pub fn replay(&self, memo: Memo) -> RunResult {
        let answer = match memo {
            Memo::Key(serial) => self.key_answers.get(serial),
            Memo::Once(id) => self.recent_answers.get(id.0),
        };
        answer.map_or(RunResult::Lost(Loss::KeyForgotten), |a| {
            RunResult::Answered(a.clone())
        })
    }

    /// Notes how a remembered request ended.
    pub fn end(&mut self, memo: Memo, end: &RunResult, now: Time) {
        match memo {
            Memo::Key(serial) => {
                if let Some(ledger) = &mut self.ledger {
                    ledger.end(serial, key_result(end), now);
                }
                self.key_answers.store_end(serial, end);
            }
            Memo::Once(id) => {
                self.recent.end(id, recent_result(end));
                self.recent_answers.store_end(id.0, end);
            }
        }
    }

    /// Drops what has been kept long enough.
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

    /// Records of keys held.
    pub fn keys(&self) -> usize {
        self.ledger.as_ref().map_or(0, Ledger::len)
    }
}

fn key_result(end: &RunResult) -> KeyResult {
    match end {
        RunResult::Answered(_) | RunResult::KeyIssued(_) => KeyResult::Answered,
        RunResult::Lost(loss) => KeyResult::Lost(*loss),
        RunResult::Refused(_) => KeyResult::NotRun,
    }
}

fn recent_result(end: &RunResult) -> RecentResult {
    match end {
        RunResult::Answered(_) | RunResult::KeyIssued(_) => RecentResult::Answered,
        RunResult::Lost(loss) => RecentResult::Lost(*loss),
        RunResult::Refused(refusal) => RecentResult::Refused(*refusal),
    }
}

impl Answers {
    fn store_end(&mut self, id: u64, end: &RunResult) {
        match end {
            RunResult::Answered(answer) => self.store(id, answer),
            RunResult::KeyIssued(_) | RunResult::Lost(_) | RunResult::Refused(_) => {}
        }
    }
}

/// Time between two looks at what has been kept long enough.
pub(super) const EXPIRE_PERIOD: Duration = Duration::from_secs(1);
