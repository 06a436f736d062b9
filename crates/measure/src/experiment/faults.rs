//! Timed faults of targets.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use hawthornwall_testkit::http1::json_once;
use hawthornwall_testkit::random::Random;

/// Mean time between two stalls of one target.
const STALL_GAP: Duration = Duration::from_millis(1_200);
/// Shortest stall.
const STALL_MIN_MS: usize = 30;
/// Longest stall.
const STALL_MAX_MS: usize = 300;

/// What happens to a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// It answers 500 at once, or no longer does.
    FailFast(bool),
    /// Service times are this many times longer.
    Slow(f64),
    /// All its work stops for this long.
    Stall(Duration),
}

/// One timed fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// What happens.
    pub action: Action,
    /// Time from the start of the load.
    pub at: Duration,
    /// Index of the target among those of the service under test.
    pub target: usize,
}

impl Fault {
    /// An action at a target and its end.
    pub fn span(target: usize, during: [Duration; 2], actions: [Action; 2]) -> Vec<Self> {
        let fault = |(action, at)| Self { action, at, target };
        actions.into_iter().zip(during).map(fault).collect()
    }

    /// Random stalls of the first `targets` targets.
    pub fn stalls(targets: usize, during: [Duration; 2], seed: u64) -> Vec<Self> {
        let mut faults = Vec::new();
        for target in 0..targets {
            let mut random = Random::new(seed * 1_000 + target as u64);
            let mut at = during[0] + random.exponential(STALL_GAP);
            while at < during[1] {
                let ms = STALL_MIN_MS + random.below(STALL_MAX_MS - STALL_MIN_MS);
                let length = Duration::from_millis(ms as u64);
                let action = Action::Stall(length);
                faults.push(Self { action, at, target });
                at += length + random.exponential(STALL_GAP);
            }
        }
        faults
    }
}

/// Causes the faults of one target at their times; returns those that the target didn't accept.
pub(super) fn inject(control: SocketAddr, faults: &[Fault], start: Instant) -> Vec<String> {
    let mut failed = Vec::new();
    for fault in faults {
        let due = start + fault.at;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if let Err(e) = act(control, fault.action) {
            failed.push(format!("{fault:?}: {e}"));
        }
    }
    failed
}

fn act(
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
