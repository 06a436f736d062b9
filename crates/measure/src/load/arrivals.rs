//! Planned calls of a load: arrival times, routes and sizes, drawn from a seed.

use std::time::Duration;

use super::options::LoadOptions;
use hawthornwall_testkit::random::Random;

/// Method of a call, and whether it carries an idempotency key. Only [`CallKind::Read`] is
/// idempotent without a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// `POST` with an idempotency key that the daemon issues.
    KeyedPost,
    /// `POST` without a key.
    Post,
    /// `GET`.
    Read,
}

/// Destination of a call, as an index into [`LoadOptions`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// Index into [`LoadOptions::daemons`].
    Daemon(usize),
    /// Index of a target of the call's service, which receives the call without a daemon.
    Direct(usize),
}

/// A planned call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Call {
    /// Planned arrival, from the start of the load.
    pub at: Duration,
    /// Whether the target is asked for a chunked answer.
    pub chunked: bool,
    /// Determines the method and the idempotency key.
    pub kind: CallKind,
    /// Request number, unique within the load and counted from 1.
    pub number: u64,
    /// Number of the call that first requested the operation; differs from `number` for a repeat.
    pub operation: u64,
    /// Whether the call is repeated with the same key after it has ended.
    pub repeated: bool,
    /// Destination.
    pub route: Route,
    /// Length of the request body in bytes, 0 for reads.
    pub sent: usize,
    /// Index into [`LoadOptions::services`].
    pub service: usize,
    /// Length in bytes to which the target pads the answer's body.
    pub size: usize,
}

impl Call {
    /// Whether this call repeats an earlier one.
    pub fn is_repeat(&self) -> bool {
        self.number != self.operation
    }

    /// Request body. It depends on the operation, so a repeat has the same body.
    pub fn body(&self) -> Vec<u8> {
        let pattern = format!("{}/", self.operation);
        pattern.bytes().cycle().take(self.sent).collect()
    }
}

/// Plans all calls of a load with Poisson arrivals, in order of arrival.
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
        // Targets don't support idempotency keys.
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
