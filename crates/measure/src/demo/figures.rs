//! The figures that the demonstration reports.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::load::{Mismatches, Quantiles};
use hawthornwall_testkit::history::Report;

/// Latencies of calls through daemons or of direct calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LatencyFigures {
    /// Latency as callers saw it.
    pub whole: Quantiles,
    /// The same without the time that targets ran the call and without the network distance.
    pub outside: Quantiles,
}

/// Measurement of targets, from their own records.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProbeFigures {
    /// Probes that targets answered.
    pub probes: u64,
    /// Time that they took.
    pub probe_time: Duration,
    /// Requests that targets started.
    pub runs: u64,
    /// Time that those ran.
    pub run_time: Duration,
}

/// What one daemon used. Figures that its status doesn't hold are absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DaemonFigures {
    /// Share of one core without load, in percent.
    pub cpu_idle: f64,
    /// Share of one core under load, in percent.
    pub cpu_loaded: f64,
    /// Control bytes received a second, without load.
    pub control_received: Option<f64>,
    /// Control bytes sent a second, without load.
    pub control_sent: Option<f64>,
    /// Descriptors of `io_uring`.
    pub io_urings: usize,
    /// Resident memory after the load, in MiB.
    pub memory_mib: f64,
    /// Its name.
    pub name: String,
    /// Bytes exchanged with peers a second under load, both ways.
    pub peer_bytes: Option<f64>,
    /// Reads of the platform since its start.
    pub platform_reads: Option<f64>,
    /// Its load report at the end, as JSON.
    pub report: String,
    /// Threads.
    pub threads: u64,
}

/// Everything that is reported.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Each daemon.
    pub daemons: Vec<DaemonFigures>,
    /// Direct calls.
    pub direct: LatencyFigures,
    /// Outcomes of direct calls.
    pub direct_outcomes: BTreeMap<String, u64>,
    /// Length of the load.
    pub duration: Duration,
    /// What the history checker found in the records of all parties.
    pub history: Report,
    /// Daemons that didn't end after a request for a graceful shutdown.
    pub killed: Vec<String>,
    /// Load average of the machine before and after the load.
    pub machine_load: [String; 2],
    /// Contradictions between callers and targets.
    pub mismatches: Mismatches,
    /// Measurement of targets.
    pub probes: ProbeFigures,
    /// Outcomes of repeats under a key that was used before.
    pub repeat_outcomes: BTreeMap<String, u64>,
    /// Calls through daemons.
    pub through: LatencyFigures,
    /// Outcomes of calls through daemons.
    pub through_outcomes: BTreeMap<String, u64>,
}

impl Figures {
    /// Whether no caller's view contradicts a record and no invariant is violated.
    pub fn is_clean(&self) -> bool {
        self.mismatches.total() == 0 && self.history.is_clean()
    }
}
