//! Figures of a load that exceeds the capacity.

use std::time::Duration;

use serde::Serialize;

use super::figures::{Percentiles, is_success};
use super::plan::Scenario;
use crate::load::CallResult;

/// Interval at which the recovery time is evaluated.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum ratio of an interval's median latency to the median before the overload at which the
/// interval counts as normal.
const MAX_NORMAL_RATIO: f64 = 1.5;

/// Effects of the middle period of a plan, which holds the peak load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct OverloadFigures {
    /// Successful answers in the middle period as a share of the capacity.
    pub goodput: f64,
    /// Time from the end of the middle period until all calls succeed at a normal median latency
    /// again, in milliseconds.
    pub recovery_ms: u64,
    /// Latencies of refusals.
    pub refused: Percentiles,
    /// Latencies of the second service's successful calls outside the middle period.
    #[serde(rename = "second_calm")]
    pub second_normal: Percentiles,
    /// Number of the second service's calls that did not succeed.
    pub second_failed: usize,
    /// Latencies of the second service's successful calls within the middle period.
    #[serde(rename = "second_flooded")]
    pub second_overloaded: Percentiles,
}

impl OverloadFigures {
    pub(super) fn of(results: &[CallResult], scenario: &Scenario) -> Self {
        let [from, to] = scenario.middle;
        let main = || results.iter().filter(|r| r.call.service == 0);
        let second = || results.iter().filter(|r| r.call.service == 1);
        let within = |r: &&CallResult| (from..to).contains(&r.call.at);
        let answered =
            main().filter(|r| is_success(r) && (from..to).contains(&(r.call.at + r.latency)));
        let possible = scenario.capacity * to.saturating_sub(from).as_secs_f64();
        let refused = main().filter(|r| r.outcome == "refused").map(|r| r.latency);
        let successes = || second().filter(|r| is_success(r) && r.call.at >= scenario.window[0]);
        Self {
            goodput: answered.count() as f64 / possible,
            recovery_ms: recovery(results, scenario).as_millis() as u64,
            refused: Percentiles::of(refused),
            second_normal: Percentiles::of(successes().filter(|r| !within(r)).map(|r| r.latency)),
            second_failed: second().filter(|r| !is_success(r)).count(),
            second_overloaded: Percentiles::of(successes().filter(within).map(|r| r.latency)),
        }
    }
}

/// Time from the end of the middle period to the end of the last interval that is not normal.
fn recovery(results: &[CallResult], scenario: &Scenario) -> Duration {
    let [from, to] = scenario.middle;
    let of = |from: Duration, to: Duration| {
        let main = results.iter().filter(|r| r.call.service == 0);
        main.filter(move |r| (from..to).contains(&r.call.at))
    };
    let before = of(scenario.window[0], from).filter(|r| is_success(r));
    let median_before = Percentiles::of(before.map(|r| r.latency)).p50 as f64;
    let mut recovered = to;
    let mut start = to;
    while start < scenario.window[1] {
        let end = start + RECOVERY_INTERVAL;
        let median = Percentiles::of(of(start, end).map(|r| r.latency)).p50 as f64;
        if median > MAX_NORMAL_RATIO * median_before || of(start, end).any(|r| !is_success(r)) {
            recovered = end;
        }
        start = end;
    }
    recovered.saturating_sub(to)
}
