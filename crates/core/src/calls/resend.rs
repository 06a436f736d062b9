//! Repeated sends of a request to the target that may have received it.
//!
//! Invariants:
//! - a keyed request is sent only to the target that its key names; a request without a key only to
//!   the instance that an earlier attempt may have reached, under the same request id;
//! - either runs the request at most once, so repeats are safe for non-idempotent requests.

use std::time::Duration;

use super::call::{Attempt, Call, MAX_ATTEMPTS, MAX_SENDS};
use super::refusal::is_definite;
use super::{AttemptId, Effect};
use crate::ids::TargetId;
use crate::outcome::{AttemptResult, Loss, Outcome};
use crate::time::Time;

/// Backoff before the first repeated send to the same target; doubles with each further one.
const RESEND_BACKOFF: Duration = Duration::from_millis(20);

/// A send that is due after a backoff.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Resend {
    /// A keyed request, to the target that its key names.
    Keyed(TargetId),
    /// A request without a key, repeated under the request id of this attempt.
    Repeat(AttemptId),
}

impl Call {
    /// Schedules another send of a keyed request to the target that its key names. The ledger there
    /// records the result of the earlier attempt. If another send is useless or not allowed,
    /// finishes the call.
    pub(super) fn schedule_keyed(&mut self, loss: Loss, now: Time, effects: &mut Vec<Effect>) {
        let target = self.spec.pinned.filter(|_| match loss {
            Loss::Closed | Loss::KeyUnreachable => true,
            Loss::Cancelled
            | Loss::Expired
            | Loss::KeyForgotten
            | Loss::Malformed
            | Loss::Stopped => false,
        });
        match target {
            Some(target) if self.may_resend(target, now) => {
                self.resend = Some((self.resend_time(target, now), Resend::Keyed(target)));
            }
            Some(_) | None => self.finish(Outcome::Unknown(loss), None, effects),
        }
    }

    /// Schedules a repeat of a non-idempotent request whose connection was lost, under the same
    /// request id to the instance that may have received it. That instance keeps recent request ids
    /// and runs the request only if it has not received it before. Finishes the call if no repeat
    /// is possible.
    pub(super) fn schedule_repeat(
        &mut self,
        id: AttemptId,
        loss: Loss,
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        let Attempt {
            instance, target, ..
        } = self.attempts[usize::from(id.0)];
        if loss == Loss::Closed && instance.is_some() && self.may_resend(target, now) {
            self.resend = Some((self.resend_time(target, now), Resend::Repeat(id)));
        } else {
            self.finish(Outcome::Unknown(loss), None, effects);
        }
    }

    /// Number of sends to a target so far. A target is picked at most once, so all but the first
    /// are repeats.
    fn sends_to(&self, target: TargetId) -> usize {
        self.attempts.iter().filter(|a| a.target == target).count()
    }

    fn may_resend(&self, target: TargetId, now: Time) -> bool {
        let below_limits = self.attempts.len() < MAX_ATTEMPTS && self.sends_to(target) < MAX_SENDS;
        below_limits && now < self.answer_end()
    }

    /// The backoff doubles with each send: a peer that has just started is unreachable for some
    /// milliseconds, in which all sends would fail without a backoff.
    fn resend_time(&self, target: TargetId, now: Time) -> Time {
        now + RESEND_BACKOFF * (1 << (self.sends_to(target) - 1).min(8))
    }

    pub(super) fn resend(&mut self, resend: Resend, effects: &mut Vec<Effect>) {
        let id = match resend {
            Resend::Keyed(target) => return self.send(target, None, Duration::MAX, effects),
            Resend::Repeat(id) => id,
        };
        let Attempt {
            instance,
            repeats,
            target,
            ..
        } = self.attempts[usize::from(id.0)];
        let Some(run) = instance else { return };
        let attempt = AttemptId(self.attempts.len() as u8);
        let original = repeats.unwrap_or(id);
        self.attempts.push(Attempt {
            instance,
            repeats: Some(original),
            result: None,
            target,
        });
        effects.push(Effect::Repeat {
            attempt,
            instance: run,
            original,
            target,
        });
    }

    /// Applies a definite refusal of a repeat to all attempts under the same request id, since the
    /// instance keeps that id and so none of them has run.
    pub(super) fn apply_refusal(&mut self, first: AttemptId, result: AttemptResult) {
        let definite = match result {
            AttemptResult::Refused(refusal) => is_definite(refusal),
            AttemptResult::Answered | AttemptResult::Failed | AttemptResult::Lost(_) => false,
        };
        if definite {
            self.attempts[usize::from(first.0)].result = Some(result);
            let repeats = self
                .attempts
                .iter_mut()
                .filter(|a| a.repeats == Some(first));
            repeats.for_each(|a| a.result = Some(result));
        }
    }
}
