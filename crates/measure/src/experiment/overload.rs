//! Figures of a load beyond the capacity.

use std::time::Duration;

use serde::Serialize;

use super::figures::{Percentiles, is_good};
use super::plan::Scenario;
use crate::load::CallResult;

/// Length of the spans in which the recovery is looked for.
const SPAN: Duration = Duration::from_millis(50);
/// A span is normal if its median is at most this many times that before the overload.
const NORMAL: f64 = 1.5;

/// What the middle part of a plan showed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct OverloadFigures {
    /// Useful answers in the middle part as a share of the capacity.
    pub goodput: f64,
    /// Time from the end of the middle part until all calls are answered at a normal median again,
    /// in milliseconds.
    pub recovery_ms: u64,
    /// Time until a refusal reached the caller.
    pub refused: Percentiles,
    /// The second service's answered calls outside of the middle part.
    pub second_calm: Percentiles,
    /// The second service's calls without a useful answer.
    pub second_failed: usize,
    /// The second service's answered calls within the middle part.
    pub second_flooded: Percentiles,
}

impl OverloadFigures {
    pub(super) fn of(results: &[CallResult], scenario: &Scenario) -> Self {
        let [from, to] = scenario.middle;
        let main = || results.iter().filter(|r| r.call.service == 0);
        let second = || results.iter().filter(|r| r.call.service == 1);
        let within = |r: &&CallResult| (from..to).contains(&r.call.at);
        let answered =
            main().filter(|r| is_good(r) && (from..to).contains(&(r.call.at + r.latency)));
        let possible = scenario.capacity * to.saturating_sub(from).as_secs_f64();
        let refused = main().filter(|r| r.outcome == "refused").map(|r| r.latency);
        let useful = || second().filter(|r| is_good(r) && r.call.at >= scenario.window[0]);
        Self {
            goodput: answered.count() as f64 / possible,
            recovery_ms: recovery(results, scenario).as_millis() as u64,
            refused: Percentiles::of(refused),
            second_calm: Percentiles::of(useful().filter(|r| !within(r)).map(|r| r.latency)),
            second_failed: second().filter(|r| !is_good(r)).count(),
            second_flooded: Percentiles::of(useful().filter(within).map(|r| r.latency)),
        }
    }
}

/// End of the last span after the middle part that is not normal, from the end of the middle part.
fn recovery(results: &[CallResult], scenario: &Scenario) -> Duration {
    let [from, to] = scenario.middle;
    let of = |from: Duration, to: Duration| {
        let main = results.iter().filter(|r| r.call.service == 0);
        main.filter(move |r| (from..to).contains(&r.call.at))
    };
    let before = of(scenario.window[0], from).filter(|r| is_good(r));
    let usual = Percentiles::of(before.map(|r| r.latency)).p50 as f64;
    let mut recovered = to;
    let mut start = to;
    while start < scenario.window[1] {
        let end = start + SPAN;
        let median = Percentiles::of(of(start, end).map(|r| r.latency)).p50 as f64;
        if median > NORMAL * usual || of(start, end).any(|r| !is_good(r)) {
            recovered = end;
        }
        start = end;
    }
    recovered.saturating_sub(to)
}
