//! The state machine of a call.

use std::time::Duration;

use super::refusal::{is_definite, keyed_outcome, may_reroute, reroute_kind};
use super::resend::Resend;
use super::{AttemptId, Effect, Event, Hedge, PickKind, Spec};
use crate::ids::{InstanceId, TargetId};
use crate::outcome::{AttemptResult, Loss, Outcome, Refusal};
use crate::routing::Choice;
use crate::stop::StopLimits;
use crate::time::Time;

/// Maximum number of attempts of a call, including the first. Each further attempt takes some
/// milliseconds, and in a strained service it is accepted with a probability of about one half.
pub const MAX_ATTEMPTS: usize = 7;
/// Maximum number of targets that may receive a request if no route sets a limit, and of sends of a
/// request to the same target.
pub const MAX_SENDS: usize = 4;
/// Time after the deadline in which the refusal of an expired request is still accepted, since a
/// definite refusal is more useful to the caller than an unknown outcome.
const REPLY_GRACE: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Attempt {
    /// The instance that the attempt was sent to; `None` if unknown or not recorded.
    pub instance: Option<InstanceId>,
    /// The first attempt under the same request id; `None` if this attempt is the first one.
    pub repeats: Option<AttemptId>,
    /// `None` while the attempt is open.
    pub result: Option<AttemptResult>,
    pub target: TargetId,
}

impl Attempt {
    /// Whether the request may have reached the target, rather than only its daemon.
    fn may_have_reached(&self) -> bool {
        match self.result {
            None
            | Some(AttemptResult::Answered | AttemptResult::Failed | AttemptResult::Lost(_)) => {
                true
            }
            Some(AttemptResult::Refused(refusal)) => refusal.is_by_target(),
        }
    }
}

/// A request of a caller, with its attempts.
#[derive(Clone, Debug)]
pub struct Call {
    pub(super) attempts: Vec<Attempt>,
    pub(super) finished: bool,
    /// When a hedge is due.
    pub(super) hedge: Option<Time>,
    /// The pick that has been requested and not answered.
    pub(super) picking: Option<PickKind>,
    /// A repeated send to the same target and the time when it is due.
    pub(super) resend: Option<(Time, Resend)>,
    pub(super) spec: Spec,
    /// Set once the daemon stops.
    stop: Option<StopLimits>,
}

impl Call {
    /// Creates a call and returns it with its first effects.
    pub fn start(spec: Spec, now: Time) -> (Self, Vec<Effect>) {
        let mut call = Self {
            attempts: Vec::new(),
            finished: false,
            hedge: None,
            picking: None,
            resend: None,
            spec,
            stop: None,
        };
        let mut effects = Vec::new();
        if spec.deadline <= now {
            call.abort(Loss::Expired, Refusal::Expired, &mut effects);
        } else if let Some(target) = spec.pinned {
            call.send(target, None, Duration::MAX, &mut effects);
        } else {
            call.pick(PickKind::First, &mut effects);
        }
        (call, effects)
    }

    /// Handles an event and returns the resulting effects in order.
    pub fn on(&mut self, event: &Event, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.finished {
            return effects;
        }
        match *event {
            Event::CallerClosed => self.abort(Loss::Cancelled, Refusal::Cancelled, &mut effects),
            Event::Ended(attempt, result) => self.on_ended(attempt, result, now, &mut effects),
            Event::HedgeSuppressed => self.on_hedge_suppressed(now, &mut effects),
            Event::NotPicked(refusal) => self.on_not_picked(refusal, now, &mut effects),
            Event::Picked(choice) => self.on_picked(&choice, now, &mut effects),
            Event::Stop(limits) => self.stop = Some(limits),
            Event::Timer => self.on_timer(now, &mut effects),
        }
        effects
    }

    /// When the owner must pass the next [`Event::Timer`].
    pub fn next_timer(&self) -> Time {
        let resend = self.resend.map(|(due, _)| due);
        let due = [self.hedge, resend].into_iter().flatten();
        due.fold(self.deadline_timer(), Time::min)
    }

    /// The deadline of the request, as given in [`Spec::deadline`].
    pub fn deadline(&self) -> Time {
        self.spec.deadline
    }

    /// The target of each attempt, in order; a repeated send lists its target again.
    pub fn tried(&self) -> Vec<TargetId> {
        self.attempts.iter().map(|a| a.target).collect()
    }

    /// Whether [`Effect::Finish`] has been returned.
    pub fn finished(&self) -> bool {
        self.finished
    }

    /// Describes each violated invariant; empty if there is none.
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self.attempts.len() > MAX_ATTEMPTS {
            faults.push(format!(
                "{} attempts exceed the limit of {MAX_ATTEMPTS}",
                self.attempts.len()
            ));
        }
        let refused = |a: &Attempt| matches!(a.result, Some(AttemptResult::Refused(_)));
        // A repeat under the same request id runs only if the first attempt has not run.
        let may_run = |a: &&Attempt| !refused(a) && a.repeats.is_none();
        let may_have_run = self.attempts.iter().filter(may_run).count();
        // The ledger of the target that the key names prevents a second run.
        let repeatable = self.spec.idempotent || self.spec.pinned.is_some();
        if !repeatable && may_have_run > 1 {
            faults.push(format!(
                "{may_have_run} attempts of a non-idempotent call may have run"
            ));
        }
        if let Some(pinned) = self.spec.pinned {
            let others = self.attempts.iter().filter(|a| a.target != pinned);
            faults.extend(
                others.map(|a| format!("sent to {}, but the key names {pinned}", a.target)),
            );
        }
        faults
    }

    /// Whether the request may be sent to another target.
    fn may_send(&self, now: Time) -> bool {
        self.sends_left() > 0 && now < self.send_end()
    }

    /// Until when the request may be sent to a target.
    fn send_end(&self) -> Time {
        let deadline = self.spec.deadline;
        self.stop.map_or(deadline, |stop| stop.send.min(deadline))
    }

    /// Until when the call can get an answer from a target.
    pub(super) fn answer_end(&self) -> Time {
        let deadline = self.spec.deadline;
        self.stop.map_or(deadline, |stop| stop.answer.min(deadline))
    }

    /// Whether the stop of the daemon ends the call, rather than its deadline.
    fn is_stopped(&self, now: Time) -> bool {
        self.stop.is_some_and(|stop| stop.answer <= now) && now < self.spec.deadline
    }

    /// Why the request isn't sent any more at `now`.
    fn send_refusal(&self, now: Time) -> Refusal {
        if now < self.spec.deadline {
            Refusal::Stopping
        } else {
            Refusal::Expired
        }
    }

    fn sends_left(&self) -> usize {
        let reached = self.attempts.iter().filter(|a| a.may_have_reached());
        let allowed = self.spec.attempts.saturating_sub(reached.count());
        allowed.min(MAX_ATTEMPTS.saturating_sub(self.attempts.len()))
    }

    fn deadline_timer(&self) -> Time {
        let deadline = if self.open_attempts().next().is_some() {
            self.spec.deadline + REPLY_GRACE
        } else {
            self.spec.deadline
        };
        self.stop.map_or(deadline, |stop| stop.answer.min(deadline))
    }

    fn open_attempts(&self) -> impl Iterator<Item = AttemptId> + '_ {
        let open_attempts = self
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, a)| a.result.is_none());
        open_attempts.map(|(index, _)| AttemptId(index as u8))
    }

    fn pick(&mut self, kind: PickKind, effects: &mut Vec<Effect>) {
        self.picking = Some(kind);
        effects.push(Effect::Pick(kind));
    }

    pub(super) fn send(
        &mut self,
        target: TargetId,
        instance: Option<InstanceId>,
        max_wait: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let attempt = AttemptId(self.attempts.len() as u8);
        self.attempts.push(Attempt {
            instance,
            repeats: None,
            result: None,
            target,
        });
        effects.push(Effect::Send {
            attempt,
            max_wait,
            target,
        });
    }

    fn on_picked(&mut self, choice: &Choice, now: Time, effects: &mut Vec<Effect>) {
        let copy =
            self.picking == Some(PickKind::Hedge) && matches!(self.spec.hedge, Hedge::After(_));
        self.picking = None;
        // After the process was paused, the pick may be handled before the deadline timer.
        if now >= self.send_end() {
            return self.finish_unless_open(self.send_refusal(now), effects);
        }
        let can_reroute = self.sends_left() > 1 && choice.alternatives > 0;
        let max_wait = if can_reroute || copy {
            choice.max_wait
        } else {
            Duration::MAX
        };
        let first = self.attempts.is_empty();
        self.send(choice.target, choice.instance, max_wait, effects);
        if first && self.spec.idempotent && choice.alternatives > 0 {
            self.hedge = match self.spec.hedge {
                Hedge::After(delay) => Some(now + delay),
                Hedge::AfterChoice => Some(now + choice.hedge),
                Hedge::Never => None,
            };
        }
    }

    /// Continues without the hedge. If the last attempt ended while the hedge was being picked, the call
    /// goes on as it would have without a hedge.
    fn on_hedge_suppressed(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.picking != Some(PickKind::Hedge) {
            return;
        }
        self.picking = None;
        match self.attempts.last().and_then(|a| a.result) {
            Some(AttemptResult::Failed | AttemptResult::Lost(_)) => {
                self.pick_again(PickKind::Retry, Refusal::Budget, now, effects);
            }
            Some(AttemptResult::Refused(refusal)) if may_reroute(refusal) => {
                self.pick_again(reroute_kind(refusal), refusal, now, effects);
            }
            Some(AttemptResult::Refused(refusal)) => self.finish_unless_open(refusal, effects),
            Some(AttemptResult::Answered) | None => {}
        }
    }

    /// If the first attempt was refused while a hedge was being picked, and the hedge is denied,
    /// the call goes on with a reroute, which may need no retry budget.
    fn on_not_picked(&mut self, refusal: Refusal, now: Time, effects: &mut Vec<Effect>) {
        let denied_hedge = self.picking == Some(PickKind::Hedge) && refusal == Refusal::Budget;
        let last = self.attempts.last().and_then(|a| a.result);
        match last {
            Some(AttemptResult::Refused(last)) if denied_hedge && may_reroute(last) => {
                self.picking = None;
                self.pick_again(reroute_kind(last), last, now, effects);
            }
            Some(
                AttemptResult::Answered
                | AttemptResult::Failed
                | AttemptResult::Lost(_)
                | AttemptResult::Refused(_),
            )
            | None => self.finish_unless_open(refusal, effects),
        }
    }

    /// Ends the call if no attempt is open. The refusal of the last target replaces
    /// [`Refusal::NoTarget`], since it is more specific.
    fn finish_unless_open(&mut self, refusal: Refusal, effects: &mut Vec<Effect>) {
        self.picking = None;
        if self.open_attempts().next().is_none() {
            let last = self.attempts.last().and_then(|a| a.result);
            let refusal = match last {
                Some(AttemptResult::Refused(last)) if refusal == Refusal::NoTarget => last,
                Some(
                    AttemptResult::Answered
                    | AttemptResult::Failed
                    | AttemptResult::Lost(_)
                    | AttemptResult::Refused(_),
                )
                | None => refusal,
            };
            let outcome = self.outcome_without_answer(refusal);
            self.finish(outcome, None, effects);
        }
    }

    fn on_ended(
        &mut self,
        id: AttemptId,
        result: AttemptResult,
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        // Only the first end of an attempt counts; later ends are ignored.
        let repeats = match self.attempts.get_mut(usize::from(id.0)) {
            Some(attempt) if attempt.result.is_none() => {
                attempt.result = Some(result);
                attempt.repeats
            }
            Some(_) | None => return,
        };
        if let Some(first) = repeats {
            self.apply_refusal(first, result);
        }
        match result {
            AttemptResult::Answered => self.finish(Outcome::Answered, Some(id), effects),
            AttemptResult::Failed if !self.spec.idempotent || self.spec.pinned.is_some() => {
                self.finish(Outcome::Answered, Some(id), effects);
            }
            AttemptResult::Lost(loss) if self.spec.pinned.is_some() => {
                self.schedule_keyed(loss, now, effects);
            }
            AttemptResult::Refused(Refusal::Unreachable) if self.spec.pinned.is_some() => {
                self.schedule_keyed(Loss::KeyUnreachable, now, effects);
            }
            AttemptResult::Lost(loss) if !self.spec.idempotent => {
                self.schedule_repeat(id, loss, now, effects);
            }
            AttemptResult::Refused(refusal) if repeats.is_some() && !is_definite(refusal) => {
                self.schedule_repeat(id, Loss::Closed, now, effects);
            }
            AttemptResult::Failed | AttemptResult::Lost(_) => {
                self.pick_again(PickKind::Retry, Refusal::Budget, now, effects);
            }
            AttemptResult::Refused(refusal) if may_reroute(refusal) => {
                self.pick_again(reroute_kind(refusal), refusal, now, effects);
            }
            AttemptResult::Refused(refusal) => self.finish_unless_open(refusal, effects),
        }
    }

    fn pick_again(
        &mut self,
        kind: PickKind,
        refusal: Refusal,
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        let in_progress = self.picking.is_some() || self.open_attempts().next().is_some();
        let exhausted = !self.may_send(now);
        if !in_progress && (exhausted || self.spec.pinned.is_some()) {
            let outcome = self.outcome_without_answer(refusal);
            self.finish(outcome, None, effects);
        } else if !in_progress {
            self.pick(kind, effects);
        }
    }

    fn on_timer(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.is_stopped(now) {
            self.abort(Loss::Stopped, Refusal::Stopping, effects);
        } else if now >= self.deadline_timer() {
            self.abort(Loss::Expired, Refusal::Expired, effects);
        } else if let Some((_, resend)) = self.resend.filter(|(due, _)| *due <= now) {
            self.resend = None;
            self.resend(resend, effects);
        } else if self.hedge.is_some_and(|due| due <= now) {
            self.hedge = None;
            if self.picking.is_none() && self.may_send(now) {
                self.pick(PickKind::Hedge, effects);
            }
        }
    }

    /// Ends the call without an answer. Open attempts may have run, so they determine the outcome.
    fn abort(&mut self, loss: Loss, refusal: Refusal, effects: &mut Vec<Effect>) {
        let outcome = match (self.open_attempts().next().is_some(), self.spec.idempotent) {
            (true, true) => Outcome::Failed(loss),
            (true, false) => Outcome::Unknown(loss),
            (false, _) if self.spec.pinned.is_some() => Outcome::Unknown(Loss::KeyUnreachable),
            (false, _) => self.outcome_without_answer(refusal),
        };
        self.finish(outcome, None, effects);
    }

    /// The outcome if no attempt is open. A loss takes precedence over refusals, since the lost
    /// attempt may have run.
    fn outcome_without_answer(&self, refusal: Refusal) -> Outcome {
        let loss = self.attempts.iter().find_map(|a| match a.result {
            Some(AttemptResult::Lost(loss)) => Some(loss),
            Some(AttemptResult::Answered | AttemptResult::Failed | AttemptResult::Refused(_))
            | None => None,
        });
        match loss {
            Some(loss) if self.spec.idempotent => Outcome::Failed(loss),
            Some(loss) => Outcome::Unknown(loss),
            None => Outcome::Refused(refusal),
        }
    }

    /// The last attempt that ended with a failed answer.
    fn last_failed(&self) -> Option<AttemptId> {
        let failed = |a: &Attempt| a.result == Some(AttemptResult::Failed);
        let position = self.attempts.iter().rposition(failed);
        position.map(|index| AttemptId(index as u8))
    }

    pub(super) fn finish(
        &mut self,
        outcome: Outcome,
        answer: Option<AttemptId>,
        effects: &mut Vec<Effect>,
    ) {
        // A failed answer is more useful to the caller than the reason why no retry was answered.
        let failed = self.last_failed().filter(|_| answer.is_none());
        if let Some(id) = failed {
            return self.finish(Outcome::Answered, Some(id), effects);
        }
        let outcome = match outcome {
            Outcome::Refused(refusal) if self.spec.pinned.is_some() => keyed_outcome(refusal),
            Outcome::Answered | Outcome::Failed(_) | Outcome::Refused(_) | Outcome::Unknown(_) => {
                outcome
            }
        };
        self.finished = true;
        effects.extend(self.open_attempts().map(Effect::Cancel));
        effects.push(Effect::Finish(outcome, answer));
    }
}
