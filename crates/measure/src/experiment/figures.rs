//! The figures of one run.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use serde_json::Value;

use super::overload::OverloadFigures;
use super::plan::Scenario;
use crate::load::{CallKind, CallResult, Runs, check, count_outcomes};
use hawthornwall_testkit::history::{Event, Invariant, Limits, Record, check as check_history};

/// Exact percentiles, in microseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: usize,
    /// Median.
    pub p50: u64,
    /// 90 in 100 are at most this.
    pub p90: u64,
    /// 99 in 100 are at most this.
    pub p99: u64,
    /// 999 in 1,000 are at most this.
    pub p999: u64,
}

impl Percentiles {
    /// Percentiles of `values`.
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

/// Measurement of the targets and work that no answer needed, from the targets' own records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct CostFigures {
    /// Targets whose probes exceeded the budget.
    pub over_budget: usize,
    /// Probes.
    pub probes: u64,
    /// Slot time that probes took, in microseconds.
    pub probe_us: u64,
    /// Runs.
    pub runs: u64,
    /// Time of the runs, in microseconds.
    pub run_us: u64,
    /// Time of the runs that were cancelled or cut, in microseconds.
    pub unused_us: u64,
}

impl CostFigures {
    /// Probe slot time as a share of the runs' time, in percent.
    pub fn probe_percent(&self) -> f64 {
        100.0 * self.probe_us as f64 / self.run_us.max(1) as f64
    }

    /// Unused run time as a share of the runs' time, in percent.
    pub fn unused_percent(&self) -> f64 {
        100.0 * self.unused_us as f64 / self.run_us.max(1) as f64
    }
}

/// What one run is judged by.
pub(super) struct Evidence<'a> {
    pub busy: Value,
    pub records: &'a [Record],
    pub results: &'a [CallResult],
    pub scenario: &'a Scenario,
    /// Attempts sent by each daemon, by kind.
    pub sent: &'a [Value],
    pub slots: u32,
}

/// Figures of one variant and seed. Latencies are those of answers with a status below 500 to calls
/// that were planned within the measured part.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// All calls to the service under test.
    pub all: Percentiles,
    /// Processor time of the test's own processes.
    pub busy: Value,
    /// Cost at the targets, from the start of the deployment.
    pub cost: CostFigures,
    /// Idempotent calls.
    pub gets: Percentiles,
    /// Time from planned arrival to the start of sending, in the generator.
    pub late: Percentiles,
    /// Load averages of the machine after the run.
    pub machine: String,
    /// Contradictions between callers and targets.
    pub mismatches: usize,
    /// Calls by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Overload figures.
    pub overload: OverloadFigures,
    /// Non-idempotent calls.
    pub posts: Percentiles,
    /// Attempts by kind, all daemons, from their start.
    pub sent: BTreeMap<String, u64>,
}

impl Figures {
    pub(super) fn of(evidence: &Evidence<'_>) -> Self {
        let [from, to] = evidence.scenario.window;
        let measured = |r: &&CallResult| r.call.service == 0 && (from..to).contains(&r.call.at);
        let all: Vec<&CallResult> = evidence.results.iter().filter(measured).collect();
        let latencies = |kind: Option<CallKind>| {
            let of_kind = move |r: &&&CallResult| kind.is_none_or(|k| r.call.kind == k);
            let good = all.iter().filter(|r| is_good(r)).filter(of_kind);
            Percentiles::of(good.map(|r| r.latency))
        };
        let loadavg = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
        Self {
            all: latencies(None),
            busy: evidence.busy.clone(),
            cost: cost(evidence),
            gets: latencies(Some(CallKind::Read)),
            late: Percentiles::of(all.iter().map(|r| r.lateness)),
            machine: loadavg.split(' ').take(3).collect::<Vec<_>>().join(" "),
            mismatches: check(evidence.results, evidence.records).total(),
            outcomes: count_outcomes(all.iter().copied()),
            overload: OverloadFigures::of(evidence.results, evidence.scenario),
            posts: latencies(Some(CallKind::Post)),
            sent: total(evidence.sent),
        }
    }

    /// One line for progress output.
    pub fn summary(&self) -> String {
        format!(
            "{} answered, p50 {} p99 {} p99.9 {} us, generator late p99 {} us, busy {}, load {}",
            self.all.count,
            self.all.p50,
            self.all.p99,
            self.all.p999,
            self.late.p99,
            self.busy,
            self.machine
        )
    }
}

/// Whether the caller got a useful answer.
pub(super) fn is_good(result: &CallResult) -> bool {
    result.is_answered() && result.status < 500
}

fn total(sent: &[Value]) -> BTreeMap<String, u64> {
    let mut total = BTreeMap::new();
    for (kind, count) in sent.iter().filter_map(Value::as_object).flatten() {
        *total.entry(kind.clone()).or_default() += count.as_u64().unwrap_or(0);
    }
    total
}

fn cost(evidence: &Evidence<'_>) -> CostFigures {
    let probes = evidence.records.iter().filter_map(|r| probe_cost(&r.event));
    let limits = Limits {
        slots: evidence.slots,
        ..Limits::DEFAULT
    };
    let violations = check_history(evidence.records, &limits).violations;
    let over = violations
        .iter()
        .filter(|v| v.invariant == Invariant::ProbeBudget);
    let runs = Runs::of(evidence.records);
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
