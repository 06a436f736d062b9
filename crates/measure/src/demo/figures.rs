//! Figures that the demonstration reports.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::load::{Mismatches, Quantiles};
use hawthornwall_testkit::history::Report;

/// Latencies of calls through daemons, or of direct calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LatencyFigures {
    /// Latency measured by the callers.
    pub whole: Quantiles,
    /// Latency minus the time in which targets ran the call and minus the emulated network delay.
    pub overhead: Quantiles,
}

/// Cost of probes compared with that of requests, from the targets' records.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProbeFigures {
    /// Number of probes that targets answered.
    pub probes: u64,
    /// Total slot time of the probes.
    pub probe_time: Duration,
    /// Number of runs that targets started.
    pub runs: u64,
    /// Total time of the runs.
    pub run_time: Duration,
}

/// Resources that one daemon used. Figures that its status lacks are absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DaemonFigures {
    /// CPU use without load, in percent of one core.
    pub cpu_idle: f64,
    /// CPU use under load, in percent of one core.
    pub cpu_loaded: f64,
    /// Control traffic received without load, in bytes per second.
    pub control_received: Option<f64>,
    /// Control traffic sent without load, in bytes per second.
    pub control_sent: Option<f64>,
    /// Number of open `io_uring` descriptors.
    pub io_urings: usize,
    /// Resident memory after the load, in MiB.
    pub memory_mib: f64,
    /// Name of the instance.
    pub name: String,
    /// Traffic with peers under load, sent and received, in bytes per second.
    pub peer_bytes: Option<f64>,
    /// Number of times the daemon read the platform since its start.
    pub platform_reads: Option<f64>,
    /// Load report after the load, as JSON.
    pub report: String,
    /// Number of threads after the load.
    pub threads: u64,
}

/// All figures of a demonstration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Resources used, by daemon.
    pub daemons: Vec<DaemonFigures>,
    /// Latencies of direct calls.
    pub direct: LatencyFigures,
    /// Number of direct calls by outcome.
    pub direct_outcomes: BTreeMap<String, u64>,
    /// Time from the start of the load to the end of its last call.
    pub duration: Duration,
    /// Result of the history checker for the records of all parties.
    pub history: Report,
    /// Daemons that were killed since they didn't complete a graceful shutdown in time.
    pub killed: Vec<String>,
    /// Load average of the machine before and after the load, over one minute.
    pub machine_load: [String; 2],
    /// Contradictions between callers' results and targets' records.
    pub mismatches: Mismatches,
    /// Cost of probes at the targets.
    pub probes: ProbeFigures,
    /// Number of repeats, with a key that was used before, by outcome.
    pub repeat_outcomes: BTreeMap<String, u64>,
    /// Latencies of calls through daemons, without repeats.
    pub through: LatencyFigures,
    /// Number of calls through daemons by outcome, without repeats.
    pub through_outcomes: BTreeMap<String, u64>,
}

impl Figures {
    /// Whether the callers' results agree with the records and no invariant is violated.
    pub fn is_clean(&self) -> bool {
        self.mismatches.total() == 0 && self.history.is_clean()
    }
}
