//! Sending a request again to the target that may have received it.
//!
//! Rules kept here:
//! - a keyed request goes to the target that its key names, a request without a key only to the run
//!   that its first sending may have reached, under the same request id;
//! - both run it at most once, so these repeats are safe although the request is not idempotent.

use std::time::Duration;

use super::call::{Attempt, Call, MAX_ATTEMPTS, MAX_SENDS};
use super::{AttemptId, Effect};
use crate::ids::TargetId;
use crate::outcome::{AttemptResult, Loss, Outcome, Refusal};
use crate::time::Time;

/// Pause before a request is sent again to the same target; doubles with each attempt.
const RESEND_BACKOFF: Duration = Duration::from_millis(20);

/// What is sent again after a pause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Resend {
    /// A keyed request.
    Keyed(TargetId),
    /// The repeat of an attempt under its request id.
    Repeat(AttemptId),
}

impl Call {
    /// Sends a keyed request again to the target that its key names, since the ledger there can tell
    /// what became of the earlier attempt.
    pub(super) fn schedule_keyed(&mut self, loss: Loss, now: Time, effects: &mut Vec<Effect>) {
        let target = self.spec.pinned.filter(|_| match loss {
            Loss::Closed | Loss::KeyUnreachable => true,
            Loss::Cancelled | Loss::Expired | Loss::KeyForgotten | Loss::Malformed => false,
        });
        match target {
            Some(target) if self.may_resend(target, now) => {
                self.resend = Some((self.resend_time(target, now), Resend::Keyed(target)));
            }
            Some(_) | None => self.finish(Outcome::Unknown(loss), None, effects),
        }
    }

    /// Repeats a non-idempotent request whose connection was lost, under its request id, at the run
    /// that may have received it. That run remembers the id and runs it only if it never saw it.
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

    /// Sendings to one target so far; a target is picked once at most.
    fn sends_to(&self, target: TargetId) -> usize {
        self.attempts.iter().filter(|a| a.target == target).count()
    }

    fn may_resend(&self, target: TargetId, now: Time) -> bool {
        let below_limits = self.attempts.len() < MAX_ATTEMPTS && self.sends_to(target) < MAX_SENDS;
        below_limits && now < self.spec.deadline
    }

    /// The pause doubles with each sending, since a peer that has just started can't be reached for
    /// some milliseconds and all sendings at once would fail.
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

    /// A refusal of a repeat by the run that knows the request id holds for every sending of it.
    pub(super) fn apply_refusal(&mut self, first: AttemptId, result: AttemptResult) {
        let definite = match result {
            AttemptResult::Refused(refusal) => refusal != Refusal::Unreachable,
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
