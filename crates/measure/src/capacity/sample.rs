//! Resource usage of a fleet's daemons between two samples.

use std::time::Instant;

use serde::Serialize;
use serde_json::Value;

use super::fleet::Fleet;
use hawthornwall_testkit::launcher::Child;
use hawthornwall_testkit::platform::Stats;
use hawthornwall_testkit::procfs::Usage;

/// Counters of all daemons and of the platform at one point in time.
#[derive(Debug)]
pub struct Sample {
    daemons: Vec<(Usage, Value)>,
    platform: Stats,
    time: Instant,
}

/// Resource usage per second between two samples, as means over the selected daemons unless stated
/// otherwise.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Rates {
    /// Open peer connections at the later sample.
    pub connections: f64,
    /// Bytes of control exchanges with peers per second, sent and received.
    pub control_bytes: f64,
    /// Processor time in percent of one core.
    pub cpu_percent: f64,
    /// Highest processor time of a daemon, in percent of one core.
    pub cpu_max_percent: f64,
    /// Bytes of datagrams per second, sent and received, including IP and UDP headers.
    pub datagram_bytes: f64,
    /// Highest such number of a daemon.
    pub datagram_max: f64,
    /// Resident memory in MiB at the later sample.
    pub memory_mib: f64,
    /// Highest resident memory of a daemon, in MiB.
    pub memory_max_mib: f64,
    /// Number of peers to which a daemon pushes updates directly.
    pub neighbours: f64,
    /// Platform reads per second, summed over all daemons; a watch counts as one read.
    pub platform_reads: f64,
    /// Watch requests open at the later sample, summed over all daemons.
    pub platform_waiting: f64,
    /// Time between the samples, in seconds.
    pub seconds: f64,
}

impl Sample {
    /// Samples all daemons. Usage is read before status, so that the rates between two samples
    /// include the cost of the status requests of the first one only.
    pub fn take(fleet: &Fleet) -> Self {
        let nodes = &fleet.cluster.nodes;
        let usage = |node: &hawthornwall_testkit::launcher::Node| {
            let pid = node.daemon.as_ref().map(Child::pid);
            pid.and_then(|pid| Usage::of(pid).ok()).unwrap_or_default()
        };
        let platform = fleet.platform_stats();
        let usages: Vec<Usage> = nodes.iter().map(usage).collect();
        let time = Instant::now();
        let status = |index| fleet.cluster.status(index).unwrap_or(Value::Null);
        let daemons = usages.into_iter().enumerate();
        Self {
            daemons: daemons.map(|(index, u)| (u, status(index))).collect(),
            platform,
            time,
        }
    }

    /// Whether a daemon watches the platform for its failure domain.
    pub fn is_watching(&self, index: usize) -> bool {
        let watching = self.daemons[index].1.pointer("/control/watching");
        watching.and_then(Value::as_bool).unwrap_or(false)
    }

    /// Rates from `self` to `later` over the selected daemons, which must have run throughout.
    pub fn rates(&self, later: &Self, selected: impl Fn(usize) -> bool) -> Rates {
        let seconds = (later.time - self.time).as_secs_f64();
        let indices: Vec<usize> = (0..self.daemons.len()).filter(|i| selected(*i)).collect();
        let mean = |of: &dyn Fn(usize) -> f64| {
            indices.iter().map(|i| of(*i)).sum::<f64>() / indices.len().max(1) as f64
        };
        let max = |of: &dyn Fn(usize) -> f64| indices.iter().map(|i| of(*i)).fold(0.0, f64::max);
        let rate = |index: usize, fields: &[&str]| {
            let total = |s: &Self| -> f64 {
                let numbers = fields.iter().map(|f| number(&s.daemons[index].1, f));
                numbers.sum()
            };
            (total(later) - total(self)) / seconds
        };
        let cpu = |index: usize| {
            let used = later.daemons[index]
                .0
                .cpu
                .saturating_sub(self.daemons[index].0.cpu);
            used.as_secs_f64() / seconds * 100.0
        };
        let memory = |index: usize| later.daemons[index].0.memory_kib as f64 / 1024.0;
        let datagrams = |index| rate(index, &["/peers/sent", "/peers/received"]);
        let control = |index| rate(index, &["/peers/control_sent", "/peers/control_received"]);
        let last =
            |field: &'static str| mean(&move |index: usize| number(&later.daemons[index].1, field));
        Rates {
            connections: last("/peers/connections"),
            control_bytes: mean(&control),
            cpu_max_percent: max(&cpu),
            cpu_percent: mean(&cpu),
            datagram_bytes: mean(&datagrams),
            datagram_max: max(&datagrams),
            memory_max_mib: max(&memory),
            memory_mib: mean(&memory),
            neighbours: last("/control/neighbours"),
            platform_reads: (later.platform.total - self.platform.total) as f64 / seconds,
            platform_waiting: later.platform.waiting as f64,
            seconds,
        }
    }
}

fn number(status: &Value, field: &str) -> f64 {
    let value = status.pointer(field).and_then(Value::as_f64);
    value.unwrap_or(f64::NAN)
}
