//! Faults that are injected into targets at planned times.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use hawthornwall_testkit::http1::json_once;
use hawthornwall_testkit::random::Random;

/// Mean time between two stalls of a target.
const MEAN_STALL_GAP: Duration = Duration::from_millis(1_200);
/// Minimum length of a stall.
const STALL_MIN_MS: usize = 30;
/// Upper limit of the length of a stall, exclusive.
const STALL_MAX_MS: usize = 300;

/// Change of a target's behaviour.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Whether the target answers every request with status 500 at once.
    FailFast(bool),
    /// Factor applied to service times; 1 is normal.
    Slow(f64),
    /// Length of time for which the target suspends all work.
    Stall(Duration),
}

/// A fault at a planned time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Change of behaviour.
    pub action: Action,
    /// Planned time, from the start of the load.
    pub at: Duration,
    /// Index of the target among the targets of the service under test.
    pub target: usize,
}

impl Fault {
    /// Faults of a target that apply `actions[0]` at the start of `during` and `actions[1]` at its
    /// end.
    pub fn interval(target: usize, during: [Duration; 2], actions: [Action; 2]) -> Vec<Self> {
        let fault = |(action, at)| Self { action, at, target };
        actions.into_iter().zip(during).map(fault).collect()
    }

    /// Draws random stalls of the first `targets` targets. Each target has its own random sequence.
    pub fn stalls(targets: usize, during: [Duration; 2], seed: u64) -> Vec<Self> {
        let mut faults = Vec::new();
        for target in 0..targets {
            let mut random = Random::new(seed * 1_000 + target as u64);
            let mut at = during[0] + random.exponential(MEAN_STALL_GAP);
            while at < during[1] {
                let ms = STALL_MIN_MS + random.below(STALL_MAX_MS - STALL_MIN_MS);
                let length = Duration::from_millis(ms as u64);
                let action = Action::Stall(length);
                faults.push(Self { action, at, target });
                at += length + random.exponential(MEAN_STALL_GAP);
            }
        }
        faults
    }
}

/// Injects the faults of one target at their planned times and blocks until the last one. Returns a
/// description of each fault that the target didn't accept.
pub(super) fn inject(control: SocketAddr, faults: &[Fault], start: Instant) -> Vec<String> {
    let mut failed = Vec::new();
    for fault in faults {
        let due = start + fault.at;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if let Err(e) = apply(control, fault.action) {
            failed.push(format!("{fault:?}: {e}"));
        }
    }
    failed
}

fn apply(
    control: SocketAddr,
    action: Action,
) -> Result<Value, hawthornwall_testkit::http1::BlockingError> {
    let change = |value: Value| json_once(control, "POST", "/control", &value.to_string());
    match action {
        Action::FailFast(fails) => change(json!({ "fail_fast": fails })),
        Action::Slow(factor) => change(json!({ "slow_factor": factor })),
        Action::Stall(length) => {
            json_once(control, "POST", "/stall", &length.as_millis().to_string())
        }
    }
}
