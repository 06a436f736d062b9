//! Properties of a call under random sequences of events.

use std::time::Duration;

use hawthornwall_core::calls::{
    AttemptId, Call, Effect, Event, Hedge, MAX_ATTEMPTS, PickKind, Spec,
};
use hawthornwall_core::prelude::*;
use hawthornwall_core::routing::{Choice, Estimate, Ticket};
use hawthornwall_core::stop::StopLimits;
use proptest::prelude::*;

fn result() -> impl Strategy<Value = AttemptResult> {
    use AttemptResult::{Answered, Failed, Lost, Refused};
    prop::sample::select(vec![
        Answered,
        Failed,
        Lost(Loss::Closed),
        Lost(Loss::KeyForgotten),
        Lost(Loss::Malformed),
        Refused(Refusal::Unreachable),
        Refused(Refusal::Full),
        Refused(Refusal::Shed),
        Refused(Refusal::Expired),
        Refused(Refusal::KeyInvalid),
    ])
}

fn event() -> impl Strategy<Value = Event> {
    let run = prop::option::of((1..3u64).prop_map(InstanceId));
    let picked =
        (0..6u32, 0..3usize, 1..30u64, run).prop_map(|(target, alternatives, hedge, instance)| {
            Event::Picked(Choice {
                alternatives,
                estimate: Estimate::default(),
                hedge: Duration::from_millis(hedge),
                instance,
                max_wait: Duration::ZERO,
                target: TargetId(target),
                ticket: Ticket(0),
            })
        });
    prop_oneof![
        1 => Just(Event::CallerClosed),
        10 => (0..MAX_ATTEMPTS as u8, result()).prop_map(|(a, r)| Event::Ended(AttemptId(a), r)),
        2 => prop::sample::select(vec![Refusal::Budget, Refusal::NoTarget])
            .prop_map(Event::NotPicked),
        10 => picked,
        1 => (1..200_000u64, 0..200_000u64).prop_map(|(answer, send)| Event::Stop(StopLimits {
            answer: Time::from_micros(answer),
            send: Time::from_micros(send.min(answer)),
        })),
        1 => Just(Event::HedgeSuppressed),
        4 => Just(Event::Timer),
    ]
}

fn spec() -> impl Strategy<Value = Spec> {
    let pinned = prop::option::of((0..6u32).prop_map(TargetId));
    let hedge = prop::sample::select(vec![
        Hedge::After(Duration::from_millis(5)),
        Hedge::AfterChoice,
        Hedge::Never,
    ]);
    let flags = (hedge, any::<bool>());
    (1..5usize, flags, pinned).prop_map(|(attempts, (hedge, idempotent), pinned)| Spec {
        attempts,
        deadline: Time::from_micros(100_000),
        hedge,
        idempotent,
        pinned,
    })
}

/// The owner of a call: pending picks, and the requests and results of all attempts.
#[derive(Default)]
struct Owner {
    attempts: Vec<Option<AttemptResult>>,
    /// For each attempt, the first attempt with the same request id and the target.
    requests: Vec<(AttemptId, TargetId)>,
    cancelled: Vec<AttemptId>,
    finishes: Vec<Outcome>,
    /// The kind of the last requested pick.
    picked: Option<PickKind>,
    picks: usize,
    /// What the last stop allows, if there was one.
    stop: Option<StopLimits>,
}

impl Owner {
    /// Whether the event can happen, and records it: only a requested pick is answered, and only a
    /// sent attempt ends.
    fn accepts(&mut self, event: &Event) -> bool {
        match event {
            Event::CallerClosed | Event::Timer => true,
            Event::Stop(limits) => {
                self.stop = Some(*limits);
                true
            }
            Event::Ended(id, result) => {
                let sent = self.attempts.get_mut(usize::from(id.0));
                sent.map(|ended| *ended = ended.or(Some(*result))).is_some()
            }
            Event::HedgeSuppressed => {
                let expected = self.picks > 0 && self.picked == Some(PickKind::Hedge);
                self.picks -= usize::from(expected);
                expected
            }
            Event::NotPicked(_) | Event::Picked(_) => {
                let expected = self.picks > 0;
                self.picks -= usize::from(expected);
                expected
            }
        }
    }

    fn apply(&mut self, effects: &[Effect], spec: Spec, now: Time) {
        for effect in effects {
            assert!(
                self.finishes.is_empty(),
                "{effect:?} after the call finished"
            );
            match effect {
                Effect::Cancel(id) => self.cancelled.push(*id),
                Effect::Finish(outcome, _) => self.finishes.push(*outcome),
                Effect::Pick(kind) => {
                    let hedge = *kind == PickKind::Hedge;
                    let allowed = spec.idempotent && spec.hedge != Hedge::Never;
                    assert!(!hedge || allowed, "a hedge that the call doesn't allow");
                    self.picked = Some(*kind);
                    self.picks += 1;
                }
                Effect::Send { target, .. } => {
                    let allowed = spec.pinned.is_none_or(|p| p == *target);
                    assert!(
                        allowed,
                        "sent to {target}, but the key names another target"
                    );
                    assert!(now < spec.deadline, "sent past the deadline");
                    let stopped = self.stop.is_some_and(|stop| stop.send <= now);
                    let keyed = spec.pinned.is_some();
                    assert!(!stopped || keyed, "sent too late for a stop");
                    let id = AttemptId(self.attempts.len() as u8);
                    self.requests.push((id, *target));
                    self.attempts.push(None);
                }
                Effect::Repeat {
                    original, target, ..
                } => {
                    assert!(
                        !spec.idempotent && spec.pinned.is_none(),
                        "repeated an idempotent or keyed request"
                    );
                    assert!(now < spec.deadline, "repeated past the deadline");
                    assert_eq!(self.requests[usize::from(original.0)], (*original, *target));
                    self.requests.push((*original, *target));
                    self.attempts.push(None);
                }
            }
        }
        assert!(self.picks <= 1, "two picks are pending");
    }

    /// Number of request ids whose request may have run.
    fn may_have_run(&self) -> usize {
        let first = |index: &usize| usize::from(self.requests[*index].0.0) == *index;
        let requests = (0..self.attempts.len()).filter(first);
        requests.filter(|index| !self.refused(*index)).count()
    }

    /// Whether a request was refused at its first attempt, or at a repeat that reached the
    /// instance.
    fn refused(&self, first: usize) -> bool {
        let sends = self.requests.iter().zip(&self.attempts).enumerate();
        let mut of_request = sends.filter(|(_, ((id, _), _))| usize::from(id.0) == first);
        of_request.any(|(index, (_, result))| match result {
            Some(AttemptResult::Refused(Refusal::Unreachable)) => index == first,
            Some(AttemptResult::Refused(_)) => true,
            Some(AttemptResult::Answered | AttemptResult::Failed | AttemptResult::Lost(_))
            | None => false,
        })
    }
}

proptest! {
    /// Guards against calls without an outcome, with more than one, or with one that contradicts
    /// the results of the attempts.
    #[test]
    fn call_finishes_once(
        spec in spec(),
        events in prop::collection::vec((0..8_000u64, event()), 0..40),
    ) {
        let mut now = Time::ZERO;
        let (mut call, effects) = Call::start(spec, now);
        let mut owner = Owner::default();
        owner.apply(&effects, spec, now);
        for (gap, event) in events {
            now = now + Duration::from_micros(gap);
            let open = owner.finishes.is_empty();
            if owner.accepts(&event) {
                owner.apply(&call.on(&event, now), spec, now);
            }
            prop_assert_eq!(call.verify(), Vec::<String>::new());
            let may_have_run = owner.may_have_run();
            let repeatable = spec.idempotent || spec.pinned.is_some();
            prop_assert!(repeatable || !open || may_have_run <= 1);
            if open && !owner.finishes.is_empty() {
                check_outcome(&owner, spec);
            }
        }
        if !call.finished() {
            now = call.next_timer().max(spec.deadline + Duration::from_secs(1));
            owner.apply(&call.on(&Event::Timer, now), spec, now);
        }
        prop_assert_eq!(owner.finishes.len(), 1);
        prop_assert!(owner.attempts.len() <= MAX_ATTEMPTS);
    }
}

fn check_outcome(owner: &Owner, spec: Spec) {
    let outcome = owner.finishes[0];
    match outcome {
        Outcome::Answered => assert!(
            owner
                .attempts
                .iter()
                .any(|a| { matches!(a, Some(AttemptResult::Answered | AttemptResult::Failed)) })
        ),
        Outcome::Failed(_) => assert!(spec.idempotent),
        Outcome::Refused(_) => assert_eq!(owner.may_have_run(), 0),
        Outcome::Unknown(_) if spec.pinned.is_some() => {}
        Outcome::Unknown(_) => assert!(!spec.idempotent && owner.may_have_run() > 0),
    }
    let open = owner.attempts.iter().filter(|a| a.is_none()).count();
    assert_eq!(
        owner.cancelled.len(),
        open,
        "{outcome:?} leaves attempts open"
    );
}
