//! The load of targets that were restarted under other names while daemons know only the old ones: every
//! attempt is turned away by its target.

use std::collections::VecDeque;
use std::time::Duration;

use hawthornwall_core::calls::{
    AttemptId, Call, Effect, Event, Hedge, PickKind, RetryBudget, Spec,
};
use hawthornwall_core::prelude::*;
use hawthornwall_core::routing::{Choice, Estimate, Ticket};
use insta::assert_snapshot;
use rstest::rstest;

/// Targets of the service.
const TARGETS: u32 = 5;
/// Retries that the configuration of the platform allows per hundred requests.
const RETRY_PERCENT: u32 = 10;
/// Daemons that share the retry budget.
const DAEMONS: usize = 11;
/// Arrivals beyond the first that the users allow per request.
const ALLOWED_SHARE: f64 = 0.2;

/// Runs calls in turn whose attempts all end with `refusal`, and returns the number of attempts and what
/// the last caller is told.
fn turned_away(requests: u32, targets_limit: usize, refusal: Refusal) -> (u32, Option<Outcome>) {
    let mut budget = RetryBudget::new(RETRY_PERCENT);
    budget.share(DAEMONS);
    let (mut attempts, mut told) = (0, None);
    for _ in 0..requests {
        let spec = Spec {
            attempts: targets_limit,
            deadline: Time::ZERO + Duration::from_secs(1),
            hedge: Hedge::Never,
            idempotent: true,
            pinned: None,
        };
        let (mut call, effects) = Call::start(spec, Time::ZERO);
        let mut effects = VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            let event = match effect {
                Effect::Cancel(_) | Effect::Repeat { .. } => continue,
                Effect::Finish(outcome, _) => {
                    told = Some(outcome);
                    continue;
                }
                Effect::Pick(kind) => pick(kind, &call, &mut budget),
                Effect::Send { attempt, .. } => {
                    attempts += 1;
                    ended(attempt, refusal)
                }
            };
            effects.extend(call.on(&event, Time::ZERO));
        }
        assert!(call.verify().is_empty(), "{:?}", call.verify());
    }
    (attempts, told)
}

/// Picks as the router does, except that it takes the targets in order.
fn pick(kind: PickKind, call: &Call, budget: &mut RetryBudget) -> Event {
    match kind {
        PickKind::First => budget.deposit(),
        PickKind::Reroute => {}
        PickKind::Hedge | PickKind::Retry => {
            if !budget.withdraw() {
                return Event::NotPicked(Refusal::Budget);
            }
        }
    }
    let tried = call.tried().len() as u32;
    if tried == TARGETS {
        return Event::NotPicked(Refusal::NoTarget);
    }
    Event::Picked(Choice {
        alternatives: (TARGETS - tried - 1) as usize,
        estimate: Estimate::default(),
        hedge: Duration::ZERO,
        instance: None,
        max_wait: Duration::ZERO,
        target: TargetId(tried),
        ticket: Ticket(0),
    })
}

fn ended(attempt: AttemptId, refusal: Refusal) -> Event {
    Event::Ended(attempt, AttemptResult::Refused(refusal))
}

/// Guards against repeats beyond the budget: a target that answers 421 has received the request.
#[rstest]
fn repeats_after_421_exceed_the_budget() {
    let (attempts, told) = turned_away(100, 4, Refusal::Misdirected);
    assert_snapshot!(
        "repeats_after_421",
        format!("{attempts} attempts for 100 requests, the last one {told:?}")
    );
    assert!(f64::from(attempts - 100) <= ALLOWED_SHARE * 100.0);
}

/// Guards against sending a request to more targets than its route allows by not counting those that
/// answered 421.
#[rstest]
fn targets_that_answer_421_exceed_the_attempts_of_the_route() {
    let (attempts, told) = turned_away(1, 2, Refusal::Misdirected);
    assert_snapshot!(
        "attempts_of_the_route",
        format!("{attempts} attempts for 1 request, {told:?}")
    );
    assert!(attempts <= 2);
}

/// Guards against refusing requests for lack of retry budget that no target has received.
#[rstest]
fn refusals_by_daemons_are_free() {
    let (attempts, told) = turned_away(1, 4, Refusal::WrongTarget);
    assert_snapshot!(
        "refusals_by_daemons",
        format!("{attempts} attempts for 1 request, {told:?}")
    );
}
