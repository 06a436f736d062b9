//! A load of more requests than the target's limit per second allows.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornwall_core::admission::{
    Arrival, Effect, Event, Gate, Limits, Priority, RunEnd, WorkId,
};
use hawthornwall_core::prelude::*;
use insta::assert_snapshot;
use rstest::rstest;

/// Time between two arrivals.
const INTERVAL_MS: u64 = 25;
/// Time that the target takes for a request.
const SERVICE_MS: u64 = 160;
/// When the target first states its limit.
const LIMIT_AT_MS: u64 = 2_000;
/// When the target states that it has no limit any more.
const LIFTED_AT_MS: u64 = 20_000;
const END_MS: u64 = 22_000;
/// The users count the requests in each period of this length.
const WINDOW_MS: u64 = 4_000;

/// When each request started, in milliseconds.
fn starts(per_second: f64) -> Vec<u64> {
    let limits = Limits {
        queue_wait: Duration::from_millis(250),
        slots: 9,
    };
    let mut gate = Gate::new(InstanceId(1), limits);
    let mut ends: BTreeMap<u64, WorkId> = BTreeMap::new();
    let mut started = Vec::new();
    for ms in (0..END_MS).step_by(5) {
        let now = Time::from_micros(ms * 1_000);
        if ms == LIMIT_AT_MS {
            gate.limit_rate(Some(RateLimit { per_second }), now);
        }
        if ms == LIFTED_AT_MS {
            gate.limit_rate(None, now);
        }
        let mut events = vec![Event::Tick];
        while let Some(entry) = ends.first_entry().filter(|e| *e.key() <= ms * 1_000) {
            let (end, id) = (RunEnd::Completed, entry.remove());
            events.push(Event::Finish { end, id });
        }
        if ms % INTERVAL_MS == 0 {
            events.push(Event::Arrive(arrival(ms, now)));
        }
        for event in events {
            for effect in gate.on(&event, now) {
                if let Effect::Start(id) = effect {
                    ends.insert((ms + SERVICE_MS) * 1_000 + started.len() as u64 % 1_000, id);
                    started.push(ms);
                }
            }
            assert!(gate.verify().is_empty(), "{:?}", gate.verify());
        }
    }
    started
}

fn arrival(ms: u64, now: Time) -> Arrival {
    Arrival {
        deadline: now + Duration::from_secs(1),
        id: WorkId(ms),
        max_wait: Duration::MAX,
        priority: Priority {
            objective: Duration::from_millis(500),
            rank: (ms / INTERVAL_MS % 2) as u8,
        },
        objective_deadline: Some(now + Duration::from_millis(500)),
    }
}

/// Guards against more requests than the target's limit allows, and against too few: a limit of zero still
/// lets a request through every two seconds, whose answer can lift the limit.
#[rstest]
#[case::none("none", 0.0)]
#[case::low("low", 2.3)]
#[case::usual("usual", 4.1)]
#[case::high("high", 20.0)]
fn requests_beyond_the_limit_start(#[case] name: &str, #[case] per_second: f64) {
    let starts = starts(per_second);
    let in_second = |s: u64| starts.iter().filter(|ms| **ms / 1_000 == s).count();
    let counts: Vec<_> = (0..END_MS / 1_000)
        .map(|s| in_second(s).to_string())
        .collect();
    assert_snapshot!(
        name,
        format!("started in each second: {}", counts.join(" "))
    );
    let allowed = 1.5 * per_second * (WINDOW_MS as f64 / 1_000.0) + 5.0;
    let limited = |ms: &u64| (LIMIT_AT_MS..LIFTED_AT_MS).contains(ms);
    for from in starts.iter().filter(|ms| limited(ms)) {
        let window = *from..(*from + WINDOW_MS).min(LIFTED_AT_MS);
        let count = starts.iter().filter(|ms| window.contains(ms)).count();
        assert!(
            count as f64 <= allowed,
            "{count} in 4 s from {from} ms, {allowed} allowed"
        );
    }
}
