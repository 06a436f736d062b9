//! Random events at one call.

use std::time::Duration;

use hawthornwall_core::calls::{AttemptId, Call, Effect, Event, MAX_ATTEMPTS, Spec};
use hawthornwall_core::prelude::*;
use hawthornwall_core::routing::{Choice, Estimate, Ticket};
use proptest::prelude::*;

fn result() -> impl Strategy<Value = AttemptResult> {
    use AttemptResult::{Answered, Lost, Refused};
    prop::sample::select(vec![
        Answered,
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
    let picked = (0..6u32, 0..3usize, 1..30u64).prop_map(|(target, alternatives, hedge)| {
        Event::Picked(Choice {
            alternatives,
            estimate: Estimate::default(),
            hedge: Duration::from_millis(hedge),
            patience: Duration::ZERO,
            target: TargetId(target),
            ticket: Ticket(0),
        })
    });
    prop_oneof![
        1 => Just(Event::CallerGone),
        10 => (0..MAX_ATTEMPTS as u8, result()).prop_map(|(a, r)| Event::Ended(AttemptId(a), r)),
        2 => prop::sample::select(vec![Refusal::Budget, Refusal::NoTarget])
            .prop_map(Event::NotPicked),
        10 => picked,
        4 => Just(Event::Timer),
    ]
}

fn spec() -> impl Strategy<Value = Spec> {
    let pinned = prop::option::of((0..6u32).prop_map(TargetId));
    (any::<bool>(), any::<bool>(), pinned).prop_map(|(hedge, idempotent, pinned)| Spec {
        deadline: Time::from_micros(100_000),
        hedge,
        idempotent,
        pinned,
    })
}

/// What the owner of a call sees: the picks it waits for and what became of each attempt.
#[derive(Default)]
struct Owner {
    attempts: Vec<Option<AttemptResult>>,
    cancelled: Vec<AttemptId>,
    finishes: Vec<Outcome>,
    picks: usize,
}

impl Owner {
    /// Whether the event can happen at all: picks are replies, and only sent attempts end.
    fn expects(&mut self, event: &Event) -> bool {
        match event {
            Event::CallerGone | Event::Timer => true,
            Event::Ended(id, result) => {
                let sent = self.attempts.get_mut(usize::from(id.0));
                sent.map(|ended| *ended = ended.or(Some(*result))).is_some()
            }
            Event::NotPicked(_) | Event::Picked(_) => {
                let expected = self.picks > 0;
                self.picks -= usize::from(expected);
                expected
            }
        }
    }

    fn take(&mut self, effects: &[Effect], spec: Spec, now: Time) {
        for effect in effects {
            assert!(self.finishes.is_empty(), "{effect:?} after the finish");
            match effect {
                Effect::Cancel(id) => self.cancelled.push(*id),
                Effect::Finish(outcome, _) => self.finishes.push(*outcome),
                Effect::Pick(_) => self.picks += 1,
                Effect::Send { target, .. } => {
                    let allowed = spec.pinned.is_none_or(|p| p == *target);
                    assert!(allowed, "{target} for another's key");
                    assert!(now < spec.deadline, "sent past the deadline");
                    self.attempts.push(None);
                }
            }
        }
        assert!(self.picks <= 1, "two picks are pending");
    }

    fn refused(&self) -> usize {
        let refused = |a: &&Option<AttemptResult>| matches!(a, Some(AttemptResult::Refused(_)));
        self.attempts.iter().filter(refused).count()
    }
}

proptest! {
    /// Guards against calls without an outcome, with two, or with one that contradicts the attempts.
    #[test]
    fn a_call_finishes_once(
        spec in spec(),
        events in prop::collection::vec((0..8_000u64, event()), 0..40),
    ) {
        let mut now = Time::ZERO;
        let (mut call, effects) = Call::start(spec, now);
        let mut owner = Owner::default();
        owner.take(&effects, spec, now);
        for (pause, event) in events {
            now = now + Duration::from_micros(pause);
            let open = owner.finishes.is_empty();
            if owner.expects(&event) {
                owner.take(&call.on(&event, now), spec, now);
            }
            prop_assert_eq!(call.verify(), Vec::<String>::new());
            let perhaps_run = owner.attempts.len() - owner.refused();
            let repeatable = spec.idempotent || spec.pinned.is_some();
            prop_assert!(repeatable || !open || perhaps_run <= 1);
            if open && !owner.finishes.is_empty() {
                check_outcome(&owner, spec);
            }
        }
        if !call.finished() {
            now = call.next_timer().max(spec.deadline + Duration::from_secs(1));
            owner.take(&call.on(&Event::Timer, now), spec, now);
        }
        prop_assert_eq!(owner.finishes.len(), 1);
        prop_assert!(owner.attempts.len() <= MAX_ATTEMPTS);
    }
}

fn check_outcome(owner: &Owner, spec: Spec) {
    let outcome = owner.finishes[0];
    match outcome {
        Outcome::Answered => assert!(owner.attempts.contains(&Some(AttemptResult::Answered))),
        Outcome::Failed(_) => assert!(spec.idempotent),
        Outcome::Refused(_) => assert_eq!(owner.refused(), owner.attempts.len()),
        Outcome::Unknown(_) if spec.pinned.is_some() => {}
        Outcome::Unknown(_) => assert!(!spec.idempotent && owner.refused() < owner.attempts.len()),
    }
    let open = owner.attempts.iter().filter(|a| a.is_none()).count();
    assert_eq!(
        owner.cancelled.len(),
        open,
        "{outcome:?} leaves attempts open"
    );
}
