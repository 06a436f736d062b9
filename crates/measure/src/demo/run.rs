//! Run of the demonstration: start, idle period, load, evaluation, shutdown.

use std::fmt;
use std::io;
use std::time::{Duration, Instant};

use serde_json::json;

use super::figures::Figures;
use super::measure::{Sample, daemon_figures, latency_figures, probe_figures};
use crate::load::{CallResult, LoadOptions, Runs, check, count_outcomes, run_load};
use hawthornwall_testkit::arguments::{ArgumentError, Arguments};
use hawthornwall_testkit::history::{self, Limits, Record};
use hawthornwall_testkit::launcher::{Cluster, ClusterOptions, Deployment, LaunchError};
use hawthornwall_testkit::run;

/// Names of the options that the program accepts, without leading dashes.
pub const OPTIONS: [&str; 8] = [
    "deployment",
    "requests",
    "rate",
    "direct-percent",
    "mean-us",
    "idle-s",
    "seed",
    "keep",
];

/// Time limit for the graceful shutdown of all daemons.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Options of the demonstration.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// Deployment that is started.
    pub deployment: Deployment,
    /// Share of calls that are sent directly to targets, in percent. At most 90 is used.
    pub direct_percent: u32,
    /// Length of the period without load.
    pub idle: Duration,
    /// Whether settings, histories and logs are kept after the run.
    pub keep: bool,
    /// Mean service time of the targets, in microseconds.
    pub mean_us: u64,
    /// Mean arrival rate of all calls, including direct ones, in calls per second.
    pub rate: f64,
    /// Minimum number of calls through daemons.
    pub requests: u64,
    /// Seed of the load and of the targets' random behaviour.
    pub seed: u64,
}

impl DemoOptions {
    /// Parses the command line; absent options get their defaults.
    ///
    /// # Errors
    ///
    /// A value can't be parsed.
    pub fn from_arguments(arguments: &Arguments) -> Result<Self, ArgumentError> {
        let deployment: Option<Deployment> = arguments.optional("deployment")?;
        let idle: Option<u64> = arguments.optional("idle-s")?;
        let keep: Option<bool> = arguments.optional("keep")?;
        Ok(Self {
            deployment: deployment.unwrap_or(Deployment::Faellesvaerftet),
            direct_percent: arguments.optional("direct-percent")?.unwrap_or(20),
            idle: Duration::from_secs(idle.unwrap_or(5)),
            keep: keep.unwrap_or(false),
            mean_us: arguments.optional("mean-us")?.unwrap_or(20_000),
            rate: arguments.optional("rate")?.unwrap_or(800.0),
            requests: arguments.optional("requests")?.unwrap_or(10_000),
            seed: arguments.optional("seed")?.unwrap_or(1),
        })
    }
}

/// Error that ends the demonstration.
#[derive(Debug)]
pub enum DemoError {
    /// A file or socket operation failed.
    Io(io::Error),
    /// The deployment can't be started.
    Launch(LaunchError),
}

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(e) => e.fmt(f),
            Self::Launch(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for DemoError {}

impl From<io::Error> for DemoError {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

impl From<LaunchError> for DemoError {
    fn from(e: LaunchError) -> Self {
        Self::Launch(e)
    }
}

/// Starts a deployment, generates the load and computes the figures. All processes are stopped
/// before the function returns.
///
/// # Errors
///
/// The deployment can't be started or its records can't be read.
pub fn run_demo(options: &DemoOptions) -> Result<Figures, DemoError> {
    let mut cluster = Cluster::start(
        options.deployment,
        ClusterOptions {
            behaviour: json!({ "mean_us": options.mean_us }),
            keep: options.keep,
            seed: options.seed,
            ..ClusterOptions::default()
        },
    )?;
    if options.keep {
        println!(
            "Settings, histories and logs are in {}",
            cluster.folder().display()
        );
    }
    let load = load_options(options, &cluster);
    let start = Sample::take(&cluster);
    std::thread::sleep(options.idle);
    let idle = Sample::take(&cluster);
    let load_before = machine_load();
    let load_start = Instant::now();
    let results = run(run_load(&load))??;
    let duration = load_start.elapsed();
    let samples = [start, idle, Sample::take(&cluster)];
    let load_after = machine_load();
    let daemons = daemon_figures(&cluster, &samples);
    let killed = cluster.stop_daemons(STOP_TIMEOUT)?;
    let (records, all) = (cluster.target_records()?, cluster.records()?);
    let figures = Figures {
        daemons,
        duration,
        history: history::check(&all, &limits(&cluster)),
        killed,
        machine_load: [load_before, load_after],
        ..evaluate(&cluster, &load, &results, &records)
    };
    Ok(figures)
}

fn limits(cluster: &Cluster) -> Limits {
    Limits {
        slots: cluster.plan().slots,
        ..Limits::DEFAULT
    }
}

/// Load average of the machine over the last minute.
fn machine_load() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().unwrap_or_default().to_owned()
}

fn load_options(options: &DemoOptions, cluster: &Cluster) -> LoadOptions {
    // 5% more calls than needed on average, since the share of direct calls is random.
    let through = u64::from(100 - options.direct_percent.min(90));
    LoadOptions {
        direct_percent: options.direct_percent.min(90),
        rate: options.rate,
        repeat_percent: 5,
        requests: options.requests * 105 / through,
        seed: options.seed,
        ..LoadOptions::for_cluster(cluster)
    }
}

fn evaluate(
    cluster: &Cluster,
    load: &LoadOptions,
    results: &[CallResult],
    records: &[Record],
) -> Figures {
    let runs = Runs::of(records);
    let delay = Duration::from_micros(cluster.plan().delay_us);
    let direct = results.iter().filter(|r| r.is_direct());
    let through = results
        .iter()
        .filter(|r| !r.is_direct() && !r.call.is_repeat());
    let repeats = results.iter().filter(|r| r.call.is_repeat());
    Figures {
        direct: latency_figures(direct.clone(), &runs, load, delay),
        direct_outcomes: count_outcomes(direct),
        mismatches: check(results, records),
        probes: probe_figures(records, &runs),
        repeat_outcomes: count_outcomes(repeats),
        through: latency_figures(through.clone(), &runs, load, delay),
        through_outcomes: count_outcomes(through),
        ..Figures::default()
    }
}
