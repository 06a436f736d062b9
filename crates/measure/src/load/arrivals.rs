//! The plan of a load: which call arrives when and where, drawn from a seed.

use std::time::Duration;

use super::options::LoadOptions;
use hawthornwall_testkit::random::Random;

/// How a call may be treated by the system.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// `POST` with an issued idempotency key.
    KeyedPost,
    /// `POST` without a key.
    Post,
    /// `GET`.
    Read,
}

/// Where a call is sent, as an index into the options.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// To a daemon.
    Daemon(usize),
    /// Straight to a target of the call's service.
    Direct(usize),
}

/// One planned call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Call {
    /// Time from the start of the load.
    pub at: Duration,
    /// Whether the answer shall be chunked.
    pub chunked: bool,
    /// Method and key.
    pub kind: CallKind,
    /// Its number, from 1.
    pub number: u64,
    /// Number of the operation: that of the call itself, or of the call that it repeats.
    pub operation: u64,
    /// Whether the call is repeated under its key once it has ended.
    pub repeated: bool,
    /// Where it is sent.
    pub route: Route,
    /// Length of the request's body, 0 for reads.
    pub sent: usize,
    /// Index of its service.
    pub service: usize,
    /// Length that the answer's body is padded to.
    pub size: usize,
}

impl Call {
    /// Whether it repeats another call.
    pub fn is_repeat(&self) -> bool {
        self.number != self.operation
    }

    /// The request's body, the same for a repeat.
    pub fn body(&self) -> Vec<u8> {
        let pattern = format!("{}/", self.operation);
        pattern.bytes().cycle().take(self.sent).collect()
    }
}

/// All calls of a load with Poisson arrivals, in order.
pub fn plan_calls(options: &LoadOptions) -> Vec<Call> {
    let mut random = Random::new(options.seed);
    let gap = Duration::from_secs_f64(1.0 / options.rate);
    let mut at = Duration::ZERO;
    let mut calls = Vec::new();
    for number in 1..=options.requests {
        at += random.exponential(gap);
        calls.push(plan_call(options, &mut random, number, at));
    }
    calls
}

fn plan_call(options: &LoadOptions, random: &mut Random, number: u64, at: Duration) -> Call {
    let service = pick_service(options, random);
    let direct = random.chance(options.direct_percent);
    let route = if direct {
        Route::Direct(random.below(options.services[service].targets.len()))
    } else {
        Route::Daemon(random.below(options.daemons.len().max(1)))
    };
    let kind = match (random.chance(options.post_percent), random.chance(50)) {
        (false, _) => CallKind::Read,
        // A target knows no keys.
        (true, true) if !direct => CallKind::KeyedPost,
        (true, _) => CallKind::Post,
    };
    let sent = match kind {
        CallKind::Read => 0,
        CallKind::KeyedPost | CallKind::Post => 10 + random.below(2_000),
    };
    Call {
        at,
        chunked: random.chance(25),
        kind,
        number,
        operation: number,
        repeated: random.chance(options.repeat_percent),
        route,
        sent,
        service,
        size: 200 + random.below(4_000),
    }
}

fn pick_service(options: &LoadOptions, random: &mut Random) -> usize {
    let weights = options.services.iter().map(|s| s.targets.len());
    let mut drawn = random.below(weights.clone().sum());
    for (index, weight) in weights.enumerate() {
        if drawn < weight {
            return index;
        }
        drawn -= weight;
    }
    0
}
