//! Computation of the figures from results, records and samples of the daemons.

use std::time::{Duration, Instant};

use serde_json::Value;

use super::figures::{DaemonFigures, LatencyFigures, ProbeFigures};
use crate::load::{CallResult, LoadOptions, Quantiles, Route, Runs};
use hawthornwall_testkit::history::{Event, Record};
use hawthornwall_testkit::launcher::Cluster;
use hawthornwall_testkit::procfs::Usage;

/// Resource usage and status of all daemons at one time.
#[derive(Debug)]
pub(super) struct Sample {
    daemons: Vec<(Usage, Value)>,
    time: Instant,
}

impl Sample {
    /// Samples all daemons. The status of a daemon that doesn't answer is null.
    pub fn take(cluster: &Cluster) -> Self {
        let usage = |node: &hawthornwall_testkit::launcher::Node| {
            let pid = node
                .daemon
                .as_ref()
                .map(hawthornwall_testkit::launcher::Child::pid);
            pid.and_then(|pid| Usage::of(pid).ok()).unwrap_or_default()
        };
        let sample = |(index, node)| {
            let status = cluster.status(index).unwrap_or(Value::Null);
            (usage(node), status)
        };
        Self {
            daemons: cluster.nodes.iter().enumerate().map(sample).collect(),
            time: Instant::now(),
        }
    }
}

/// Computes the figures of each daemon from samples before the idle period, before the load and
/// after it.
pub(super) fn daemon_figures(cluster: &Cluster, samples: &[Sample; 3]) -> Vec<DaemonFigures> {
    let [start, idle, end] = samples;
    let names = cluster.nodes.iter().map(|n| n.plan.name.clone());
    let figures = |(index, name): (usize, String)| {
        let (usage, status) = &end.daemons[index];
        let rate = |from: &Sample, to: &Sample, field: &str| {
            let value = |s: &Sample| number(&s.daemons[index].1, field);
            Some((value(to)? - value(from)?) / (to.time - from.time).as_secs_f64())
        };
        let sent = rate(idle, end, "/peers/sent");
        let received = rate(idle, end, "/peers/received");
        DaemonFigures {
            cpu_idle: cpu_percent(start, idle, index),
            cpu_loaded: cpu_percent(idle, end, index),
            control_received: rate(start, idle, "/peers/control_received"),
            control_sent: rate(start, idle, "/peers/control_sent"),
            io_urings: usage.io_urings,
            memory_mib: usage.memory_kib as f64 / 1024.0,
            name,
            peer_bytes: sent.zip(received).map(|(s, r)| s + r),
            platform_reads: number(status, "/control/platform_reads"),
            report: status
                .pointer("/gate/report")
                .map_or_else(String::new, Value::to_string),
            threads: usage.threads,
        }
    };
    names.enumerate().map(figures).collect()
}

fn number(status: &Value, field: &str) -> Option<f64> {
    status.pointer(field).and_then(Value::as_f64)
}

fn cpu_percent(from: &Sample, to: &Sample, index: usize) -> f64 {
    let used = to.daemons[index]
        .0
        .cpu
        .saturating_sub(from.daemons[index].0.cpu);
    100.0 * used.as_secs_f64() / (to.time - from.time).as_secs_f64()
}

/// Latencies and overhead of the answered calls among `results`.
pub(super) fn latency_figures<'a>(
    results: impl Iterator<Item = &'a CallResult> + Clone,
    runs: &Runs,
    load: &LoadOptions,
    delay: Duration,
) -> LatencyFigures {
    let answered = results.filter(|r| r.is_answered());
    let overhead = |result: &CallResult| {
        let target = &result.verdict.target;
        let busy = runs.busy_until_answer(result.call.number, target)?;
        let delays = [busy.first, target].map(|t| network_delay(result, t, load, delay));
        let excluded = Duration::from_micros(busy.us) + delays[0] + delays[1];
        Some(result.latency.saturating_sub(excluded))
    };
    LatencyFigures {
        whole: Quantiles::of(answered.clone().map(|r| r.latency)),
        overhead: Quantiles::of(answered.filter_map(overhead)),
    }
}

/// Emulated network delay from the daemon that received a call to the daemon of a target.
fn network_delay(
    result: &CallResult,
    target: &str,
    load: &LoadOptions,
    delay: Duration,
) -> Duration {
    let service = &load.services[result.call.service];
    let target = service.targets.iter().find(|t| t.name == target);
    match (result.call.route, target) {
        (Route::Daemon(index), Some(t)) if load.daemons[index].domain != t.domain => delay,
        (Route::Daemon(_) | Route::Direct(_), _) => Duration::ZERO,
    }
}

/// Cost of the probes and runs in the targets' records.
pub(super) fn probe_figures(records: &[Record], runs: &Runs) -> ProbeFigures {
    let costs = records.iter().filter_map(|record| match record.event {
        Event::Probed { cost } => Some(Duration::from_micros(cost)),
        Event::InForce { .. }
        | Event::Leaving
        | Event::Presence { .. }
        | Event::Routed { .. }
        | Event::Published { .. }
        | Event::Received { .. }
        | Event::RunEnded { .. }
        | Event::RunStarted { .. }
        | Event::Sent { .. } => None,
    });
    let run_us = runs
        .all()
        .map(|run| run.end.saturating_sub(run.start))
        .sum();
    ProbeFigures {
        probes: costs.clone().count() as u64,
        probe_time: costs.sum(),
        runs: runs.all().count() as u64,
        run_time: Duration::from_micros(run_us),
    }
}
