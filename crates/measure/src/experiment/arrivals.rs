//! Seeded open-loop arrivals in phases of constant rate.

use std::time::Duration;

use crate::load::{Call, CallKind, Route};
use hawthornwall_testkit::random::Random;

/// Share of calls that are `POST`s, in percent. They have no idempotency key: a key is issued by an
/// extra call, whose latency would have to be separated from that of the request.
const POST_PERCENT: u32 = 30;

/// A period of Poisson arrivals for one service at a constant rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phase {
    /// End of the period, from the start of the load.
    pub end: Duration,
    /// Mean arrival rate, in calls per second.
    pub rate: f64,
    /// Index of the service in the deployment.
    pub service: usize,
    /// Start of the period, from the start of the load.
    pub start: Duration,
}

/// Plans the calls of all phases in order of arrival, each to a randomly chosen daemon.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_measure::experiment::{Phase, plan_arrivals};
///
/// let second = Duration::from_secs(1);
/// let phase = Phase { end: second, rate: 100.0, service: 0, start: Duration::ZERO };
/// let calls = plan_arrivals(&[phase], 4, 7);
/// assert_eq!(calls, plan_arrivals(&[phase], 4, 7));
/// assert!(calls.iter().all(|call| call.at < second));
/// ```
pub fn plan_arrivals(phases: &[Phase], daemons: usize, seed: u64) -> Vec<Call> {
    let mut random = Random::new(seed);
    let mut calls = Vec::new();
    for phase in phases {
        let gap = Duration::from_secs_f64(1.0 / phase.rate);
        let mut at = phase.start + random.exponential(gap);
        while at < phase.end {
            calls.push(plan_call(&mut random, phase.service, daemons, at));
            at += random.exponential(gap);
        }
    }
    calls.sort_by_key(|call| call.at);
    for (number, call) in (1..).zip(&mut calls) {
        call.number = number;
        call.operation = number;
    }
    calls
}

fn plan_call(random: &mut Random, service: usize, daemons: usize, at: Duration) -> Call {
    let kind = if random.chance(POST_PERCENT) {
        CallKind::Post
    } else {
        CallKind::Read
    };
    let sent = match kind {
        CallKind::Read => 0,
        CallKind::KeyedPost | CallKind::Post => 10 + random.below(1_000),
    };
    Call {
        at,
        chunked: false,
        kind,
        number: 0,
        operation: 0,
        repeated: false,
        route: Route::Daemon(random.below(daemons.max(1))),
        sent,
        service,
        size: 200 + random.below(2_000),
    }
}
