//! Copies of late requests, sent by several daemons that don't know of each other.

use std::time::Duration;

use hawthornwall_core::calls::{HedgeConditions, Hedging, RetryBudget};
use hawthornwall_core::prelude::*;
use hawthornwall_core::routing::HedgeTargets;
use proptest::prelude::*;

const DAEMONS: usize = 20;
/// Daemons that get requests. The others send nothing, and nothing of theirs may be used.
const ACTIVE: usize = 4;
/// Retries per hundred requests.
const RETRY_PERCENT: u32 = 10;
/// Copies and retries that these daemons may have saved: two each.
const SAVED: usize = 2 * ACTIVE;
const SERVICE: ServiceId = ServiceId(0);

#[derive(Clone, Debug)]
enum Step {
    Late(HedgeConditions),
    Refused,
    Requests(u32),
    Retry,
}

fn conditions() -> impl Strategy<Value = HedgeConditions> {
    let flags = (prop::bool::weighted(0.1), prop::bool::weighted(0.1));
    let targets = (0..5usize, 0..5usize, 0..5usize);
    let times = (prop::option::weighted(0.9, 0..100u64), 0..200u64);
    let body = prop_oneof![4 => Just(0), 1 => 0..100_000usize];
    (flags, targets, times, body).prop_map(|(flags, targets, (expected, left), body)| {
        let (accepting, free, suitable) = targets;
        HedgeConditions {
            body,
            evacuated: flags.0,
            expected: expected.map(Duration::from_millis),
            left: Duration::from_millis(left),
            link_saturated: flags.1,
            targets: HedgeTargets {
                accepting,
                free: free.min(accepting),
                suitable: suitable.min(free).min(accepting),
            },
        }
    })
}

fn steps() -> impl Strategy<Value = Vec<(usize, Step)>> {
    let ideal = HedgeConditions {
        body: 0,
        evacuated: false,
        expected: Some(Duration::from_millis(10)),
        left: Duration::from_secs(1),
        link_saturated: false,
        targets: HedgeTargets {
            accepting: 4,
            free: 4,
            suitable: 2,
        },
    };
    let step = prop_oneof![
        4 => Just(Step::Late(ideal)),
        2 => conditions().prop_map(Step::Late),
        1 => Just(Step::Refused),
        6 => (1..12u32).prop_map(Step::Requests),
        2 => Just(Step::Retry),
    ];
    prop::collection::vec((0..ACTIVE, step), 0..200)
}

struct Daemon {
    copies: u32,
    hedging: Hedging,
    requests: u32,
    retries: RetryBudget,
}

proptest! {
    /// Guards against more copies than the share that operators set, against copies under overload, during an
    /// evacuation or without time left, and against more repeated requests of the fleet, in any interval, than
    /// the retry budget allows.
    #[test]
    fn copies_stay_within_the_share(percent in 1..=20u32, steps in steps()) {
        let mut daemons: Vec<_> = (0..DAEMONS).map(|_| {
            let mut retries = RetryBudget::new(RETRY_PERCENT);
            retries.allow_hedges();
            retries.share(DAEMONS);
            let hedging = Hedging::new(percent).unwrap();
            Daemon { copies: 0, hedging, requests: 0, retries }
        }).collect();
        // Requests and repeated requests of the fleet until each step.
        let mut totals = vec![(0, 0)];
        for (index, step) in steps {
            let daemon = &mut daemons[index];
            let (mut requests, mut repeats) = *totals.last().unwrap();
            match step {
                Step::Late(c) => {
                    let decided = daemon.hedging.decide(SERVICE, &c, &mut daemon.retries);
                    if decided.is_ok() {
                        prop_assert!(!c.evacuated && !c.link_saturated);
                        prop_assert!(c.targets.suitable > 0 && !c.targets.mostly_busy());
                        prop_assert!(c.expected.is_some_and(|expected| c.left > expected));
                        daemon.copies += 1;
                        repeats += 1;
                    }
                }
                Step::Refused => {
                    let result = AttemptResult::Refused(Refusal::Full);
                    daemon.hedging.record(SERVICE, result);
                }
                Step::Requests(count) => {
                    for _ in 0..count {
                        daemon.hedging.deposit(SERVICE);
                        daemon.hedging.record(SERVICE, AttemptResult::Answered);
                        daemon.retries.deposit();
                    }
                    daemon.requests += count;
                    requests += count as usize;
                }
                Step::Retry => repeats += usize::from(daemon.retries.withdraw()),
            }
            prop_assert!(daemon.copies * 100 <= daemon.requests * percent);
            totals.push((requests, repeats));
        }
        for (start, (requests, repeats)) in totals.iter().enumerate() {
            for (later_requests, later_repeats) in &totals[start..] {
                let allowed = (later_requests - requests) * RETRY_PERCENT as usize / 100 + SAVED;
                prop_assert!(later_repeats - repeats <= allowed);
            }
        }
    }
}
