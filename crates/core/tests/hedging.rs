//! Decisions on copies of late requests.

#![allow(clippy::unwrap_used, reason = "a panic is how a test fails")]

use std::fmt::Write as _;
use std::time::Duration;

use hawthornwall_core::calls::{HedgeConditions, Hedging, MIN_HEDGE_SAMPLES, RetryBudget};
use hawthornwall_core::config::{Configuration, Target};
use hawthornwall_core::link::LARGE_BODY;
use hawthornwall_core::prelude::*;
use hawthornwall_core::routing::{Balancer, HedgeTargets, Observation, PickRequest, Policy};
use insta::assert_snapshot;

const SERVICE: ServiceId = ServiceId(0);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Conditions under which a copy is sent.
fn ideal() -> HedgeConditions {
    HedgeConditions {
        body: 100,
        evacuated: false,
        expected: Some(ms(20)),
        left: ms(500),
        link_saturated: false,
        targets: HedgeTargets {
            accepting: 6,
            free: 5,
            suitable: 3,
        },
    }
}

/// A policy for 10 copies per hundred requests, and a retry budget, after some requests.
fn after(requests: usize) -> (Hedging, RetryBudget) {
    let mut hedging = Hedging::new(10).unwrap();
    let mut retries = RetryBudget::new(10);
    for _ in 0..requests {
        hedging.deposit(SERVICE);
        retries.deposit();
    }
    (hedging, retries)
}

/// Guards against a copy when one of the conditions isn't met.
#[test]
fn conditions() {
    let targets = |accepting, free, suitable| HedgeTargets {
        accepting,
        free,
        suitable,
    };
    #[rustfmt::skip]
    let cases = [
        ("all met", ideal()),
        ("evacuated domain", HedgeConditions { evacuated: true, ..ideal() }),
        ("saturated link", HedgeConditions { link_saturated: true, ..ideal() }),
        ("half of the targets busy", HedgeConditions { targets: targets(6, 3, 3), ..ideal() }),
        ("other domain full", HedgeConditions { targets: targets(6, 4, 0), ..ideal() }),
        ("no target", HedgeConditions { targets: targets(0, 0, 0), ..ideal() }),
        ("large body", HedgeConditions { body: LARGE_BODY, ..ideal() }),
        ("too few answers", HedgeConditions { expected: None, ..ideal() }),
        ("20 ms left", HedgeConditions { left: ms(20), ..ideal() }),
        ("21 ms left", HedgeConditions { left: ms(21), ..ideal() }),
    ];
    let mut table = String::new();
    for (name, conditions) in cases {
        let (mut hedging, mut retries) = after(100);
        let decided = hedging.decide(SERVICE, &conditions, &mut retries);
        writeln!(table, "{name}: {decided:?}").unwrap();
    }
    assert_snapshot!(table);
}

/// Guards against a burst of copies after a quiet period, and against a copy that takes the last retry.
#[test]
fn budgets() {
    let mut table = String::new();
    for requests in [9, 10, 20, 1_000] {
        let (mut hedging, mut retries) = after(requests);
        let decided = (0..4).map(|_| hedging.decide(SERVICE, &ideal(), &mut retries));
        let decided: Vec<_> = decided.collect();
        writeln!(table, "{requests} requests: {decided:?}").unwrap();
    }
    for (daemons, requests) in [(2, 100), (62, 10), (62, 20), (62, 1_000)] {
        let (mut hedging, _) = after(100);
        let mut retries = RetryBudget::new(10);
        retries.allow_hedges();
        retries.share(daemons);
        (0..requests).for_each(|_| retries.deposit());
        let decided = hedging.decide(SERVICE, &ideal(), &mut retries);
        let retry = retries.withdraw();
        writeln!(
            table,
            "{daemons} daemons, {requests} requests: {decided:?}, then a retry: {retry}"
        )
        .unwrap();
    }
    assert_snapshot!(table);
}

/// Guards against copies to a service that refuses requests, and against none long after it has recovered.
#[test]
fn refusals() {
    let mut table = String::new();
    for refusal in [
        Refusal::Full,
        Refusal::Shed,
        Refusal::Strained,
        Refusal::Unreachable,
    ] {
        let (mut hedging, mut retries) = after(100);
        let mut count = 0;
        while hedging
            .decide(SERVICE, &ideal(), &mut retries.clone())
            .is_ok()
            && count < 100
        {
            // The budget of the policy is refilled, so that only refusals end the loop.
            (0..10).for_each(|_| hedging.deposit(SERVICE));
            hedging.record(SERVICE, AttemptResult::Refused(refusal));
            count += 1;
        }
        let mut answers = 0;
        while hedging.decide(SERVICE, &ideal(), &mut retries).is_err() && answers < 1_000 {
            hedging.record(SERVICE, AttemptResult::Answered);
            answers += 1;
        }
        writeln!(
            table,
            "{refusal:?}: off after {count} refusals, on after {answers} answers"
        )
        .unwrap();
    }
    assert_snapshot!(table);
}

/// Guards against copies of requests that are only a little late while the share allows few.
#[test]
fn delays() {
    let mut table = String::new();
    for percent in [1, 2, 5, 20] {
        let quantile = Hedging::new(percent).unwrap().quantile();
        writeln!(table, "{percent} copies per 100: quantile {quantile:.2}").unwrap();
    }
    writeln!(table, "0: {}", Hedging::new(0).is_none()).unwrap();
    for time in [0, 2, 40] {
        let delay = Hedging::delay(ms(time));
        writeln!(table, "quantile {time} ms: delay {delay:?}").unwrap();
    }
    assert_snapshot!(table);
}

/// Guards against a stalled target that keeps getting requests: one cancelled attempt that took longer than any
/// recent answer is enough, one that took less isn't.
#[test]
fn cancelled_attempts() {
    let mut table = String::new();
    for millis in [15, 35, 60] {
        let target = |domain: &str| Target {
            domain: domain.to_owned(),
            name: domain.to_owned(),
            service: SERVICE,
            slots: 8,
        };
        let config = Configuration {
            targets: [(TargetId(0), target("dk-1")), (TargetId(1), target("dk-2"))].into(),
            ..Configuration::default()
        };
        let mut balancer = Balancer::new("dk-1", Policy::Expected, 1);
        balancer.expect_hedges();
        balancer.configure(&config);
        let mut end = |target, result, elapsed, now| {
            let ticket = balancer.pin(TargetId(target), now);
            let observation = Observation {
                elapsed,
                held: elapsed,
                leaving: false,
                report: None,
                result,
                ticket,
            };
            balancer.observe(&observation, now + elapsed);
        };
        for _ in 0..MIN_HEDGE_SAMPLES {
            end(1, AttemptResult::Answered, ms(40), Time::ZERO);
        }
        let lost = AttemptResult::Lost(Loss::Cancelled);
        end(0, lost, ms(millis), Time::ZERO);
        let request = PickRequest {
            service: SERVICE,
            transfer: Duration::ZERO,
            tried: &[TargetId(1)],
        };
        let suitable = balancer.hedge_targets(&request, Time::ZERO + ms(millis));
        writeln!(table, "cancelled after {millis} ms: {suitable:?}").unwrap();
    }
    assert_snapshot!(table);
}
