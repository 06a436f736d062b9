//! Figures of one run.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use serde_json::Value;

use super::overload::OverloadFigures;
use super::plan::Scenario;
use crate::load::{CallKind, CallResult, Runs, check, count_outcomes};
use hawthornwall_testkit::history::{Event, Invariant, Limits, Record, check as check_history};

/// Exact percentiles of a set of durations, in microseconds. Unlike [`Quantiles`], they aren't
/// rounded to the buckets of a histogram.
///
/// [`Quantiles`]: crate::load::Quantiles
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: usize,
    /// Median.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
}

impl Percentiles {
    /// Computes the percentiles of `values` by the nearest-rank method.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hawthornwall_measure::experiment::Percentiles;
    ///
    /// let p = Percentiles::of((1..=100).map(Duration::from_micros));
    /// assert_eq!((p.p50, p.p99, p.p999), (50, 99, 100));
    /// ```
    pub fn of(values: impl IntoIterator<Item = Duration>) -> Self {
        let mut all: Vec<u64> = values.into_iter().map(|v| v.as_micros() as u64).collect();
        all.sort_unstable();
        let at = |share: f64| {
            let rank = (share * all.len() as f64).ceil() as usize;
            all.get(rank.max(1) - 1).copied().unwrap_or(0)
        };
        Self {
            count: all.len(),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
        }
    }
}

/// Cost of probes and of runs without an answer, from the targets' records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct CostFigures {
    /// Number of targets whose probes exceeded the budget.
    pub over_budget: usize,
    /// Number of probes.
    pub probes: u64,
    /// Slot time used by probes, in microseconds.
    pub probe_us: u64,
    /// Number of runs.
    pub runs: u64,
    /// Total time of the runs, in microseconds.
    pub run_us: u64,
    /// Total time of the runs that were cancelled or ended without a complete answer, in
    /// microseconds.
    pub unused_us: u64,
}

impl CostFigures {
    /// Slot time of probes as a share of the total time of the runs, in percent.
    pub fn probe_percent(&self) -> f64 {
        100.0 * self.probe_us as f64 / self.run_us.max(1) as f64
    }

    /// Time of runs without a complete answer as a share of the total time of the runs, in percent.
    pub fn unused_percent(&self) -> f64 {
        100.0 * self.unused_us as f64 / self.run_us.max(1) as f64
    }
}

/// Data of one run, from which [`Figures`] are computed.
pub(super) struct Measurements<'a> {
    pub cpu_percent: Value,
    pub records: &'a [Record],
    pub results: &'a [CallResult],
    pub scenario: &'a Scenario,
    /// Number of attempts that each daemon sent, by kind.
    pub attempts: &'a [Value],
    pub slots: u32,
}

/// Figures of one variant and seed. Latencies include only answers with a status below 500 to calls
/// whose planned arrival is in the measured period.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Latencies of all calls to the service under test.
    pub all: Percentiles,
    /// CPU use of the test's processes, in percent of one core.
    #[serde(rename = "busy")]
    pub cpu_percent: Value,
    /// Cost at the targets since the start of the deployment.
    pub cost: CostFigures,
    /// Latencies of idempotent calls.
    pub gets: Percentiles,
    /// Delay of the generator: time from a call's planned arrival to the start of its task.
    #[serde(rename = "late")]
    pub lateness: Percentiles,
    /// Load averages of the machine after the run.
    #[serde(rename = "machine")]
    pub load_averages: String,
    /// Number of contradictions between callers' results and targets' records.
    pub mismatches: usize,
    /// Number of calls by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Goodput, refusals and recovery; meaningful for plans with a peak load.
    pub overload: OverloadFigures,
    /// Latencies of non-idempotent calls.
    pub posts: Percentiles,
    /// Number of attempts by kind, summed over all daemons since their start.
    #[serde(rename = "sent")]
    pub attempts: BTreeMap<String, u64>,
}

impl Figures {
    pub(super) fn of(measurements: &Measurements<'_>) -> Self {
        let [from, to] = measurements.scenario.window;
        let measured = |r: &&CallResult| r.call.service == 0 && (from..to).contains(&r.call.at);
        let all: Vec<&CallResult> = measurements.results.iter().filter(measured).collect();
        let latencies = |kind: Option<CallKind>| {
            let of_kind = move |r: &&&CallResult| kind.is_none_or(|k| r.call.kind == k);
            let successes = all.iter().filter(|r| is_success(r)).filter(of_kind);
            Percentiles::of(successes.map(|r| r.latency))
        };
        let loadavg = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
        Self {
            all: latencies(None),
            cpu_percent: measurements.cpu_percent.clone(),
            cost: cost(measurements),
            gets: latencies(Some(CallKind::Read)),
            lateness: Percentiles::of(all.iter().map(|r| r.lateness)),
            load_averages: loadavg.split(' ').take(3).collect::<Vec<_>>().join(" "),
            mismatches: check(measurements.results, measurements.records).total(),
            outcomes: count_outcomes(all.iter().copied()),
            overload: OverloadFigures::of(measurements.results, measurements.scenario),
            posts: latencies(Some(CallKind::Post)),
            attempts: total(measurements.attempts),
        }
    }

    /// Formats the main figures as one line for progress output.
    pub fn summary(&self) -> String {
        format!(
            "{} answered, p50 {} p99 {} p99.9 {} us, generator late p99 {} us, busy {}, load {}",
            self.all.count,
            self.all.p50,
            self.all.p99,
            self.all.p999,
            self.lateness.p99,
            self.cpu_percent,
            self.load_averages
        )
    }
}

/// Whether the caller received an answer with a status below 500.
pub(super) fn is_success(result: &CallResult) -> bool {
    result.is_answered() && result.status < 500
}

fn total(attempts: &[Value]) -> BTreeMap<String, u64> {
    let mut total = BTreeMap::new();
    for (kind, count) in attempts.iter().filter_map(Value::as_object).flatten() {
        *total.entry(kind.clone()).or_default() += count.as_u64().unwrap_or(0);
    }
    total
}

fn cost(measurements: &Measurements<'_>) -> CostFigures {
    let probes = measurements
        .records
        .iter()
        .filter_map(|r| probe_cost(&r.event));
    let limits = Limits {
        slots: measurements.slots,
        ..Limits::DEFAULT
    };
    let violations = check_history(measurements.records, &limits).violations;
    let over = violations
        .iter()
        .filter(|v| v.invariant == Invariant::ProbeBudget);
    let runs = Runs::of(measurements.records);
    let length = |run: &crate::load::Run| run.end.saturating_sub(run.start);
    CostFigures {
        over_budget: over.count(),
        probes: probes.clone().count() as u64,
        probe_us: probes.sum(),
        runs: runs.all().count() as u64,
        run_us: runs.all().map(length).sum(),
        unused_us: runs.all().filter(|run| !run.answered).map(length).sum(),
    }
}

fn probe_cost(event: &Event) -> Option<u64> {
    match event {
        Event::Probed { cost } => Some(*cost),
        Event::InForce { .. }
        | Event::Leaving
        | Event::Presence { .. }
        | Event::Published { .. }
        | Event::Received { .. }
        | Event::Routed { .. }
        | Event::RunEnded { .. }
        | Event::RunStarted { .. }
        | Event::Sent { .. } => None,
    }
}
