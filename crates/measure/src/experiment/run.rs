//! Runs of an experiment, each with a newly started deployment.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hawthornwall_core::config::Rules;
use serde_json::{Value, json};

use super::arrivals::plan_arrivals;
use super::faults::{Fault, inject};
use super::figures::{Figures, Measurements};
use super::options::ExperimentOptions;
use super::plan::Scenario;
use super::variant::Variant;
use crate::load::{CallResult, LoadOptions, run_calls};
use hawthornwall_testkit::launcher::{Child, Cluster, ClusterOptions, LaunchError};
use hawthornwall_testkit::procfs::Usage;
use hawthornwall_testkit::run;

/// Time before the start of the load in which the generator opens its connections.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Error that ends an experiment.
#[derive(Debug)]
pub enum ExperimentError {
    /// Targets didn't accept these faults.
    Faults(Vec<String>),
    /// A file or socket operation failed.
    Io(io::Error),
    /// The deployment can't be started.
    Launch(LaunchError),
}

impl fmt::Display for ExperimentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Faults(list) => write!(f, "targets did not accept faults: {}", list.join("; ")),
            Self::Io(e) => e.fmt(f),
            Self::Launch(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for ExperimentError {}

impl From<io::Error> for ExperimentError {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

impl From<LaunchError> for ExperimentError {
    fn from(e: LaunchError) -> Self {
        Self::Launch(e)
    }
}

/// Results of a comparison: figures for each variant and seed.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Options that the experiment was run with.
    pub options: ExperimentOptions,
    /// Figures by variant, in the order of the seeds.
    pub results: Vec<(Variant, Vec<Figures>)>,
    /// The plan, applied to the deployment.
    pub scenario: Scenario,
}

/// Runs all variants with all seeds. The variants are run in turn for each seed, so that a lasting
/// disturbance of the machine affects all of them alike.
///
/// # Errors
///
/// A deployment can't be started, or its records can't be read.
pub fn run_experiment(options: &ExperimentOptions) -> Result<Experiment, ExperimentError> {
    let scenario = Scenario::new(options.plan, &options.scope);
    let mut results: Vec<_> = options.variants.iter().map(|v| (*v, Vec::new())).collect();
    for seed in 1..=options.seeds {
        for (variant, figures) in &mut results {
            let run_figures = run_once(options, &scenario, *variant, seed)?;
            eprintln!(
                "{} seed {seed}: {variant}: {}",
                options.plan,
                run_figures.summary()
            );
            figures.push(run_figures);
        }
    }
    Ok(Experiment {
        options: options.clone(),
        results,
        scenario,
    })
}

fn run_once(
    options: &ExperimentOptions,
    scenario: &Scenario,
    variant: Variant,
    seed: u64,
) -> Result<Figures, ExperimentError> {
    let cluster = Cluster::start(
        options.scope.deployment,
        ClusterOptions {
            behaviour: scenario.behaviour(),
            rules: Rules {
                hedge: variant.hedge,
                ..Rules::default()
            },
            seed: seed * 1_000,
            // Waiting for a second source of the configuration would only delay the start.
            settings: json!({
                "control": { "start_wait_ms": 100 },
                "routing": { "policy": variant.policy.name() },
            }),
            ..ClusterOptions::default()
        },
    )?;
    let load = LoadOptions {
        history: None,
        initial_connections: 8,
        ..LoadOptions::for_cluster(&cluster)
    };
    let calls = plan_arrivals(&scenario.phases, load.daemons.len(), seed);
    let before = CpuTimes::sample(&cluster);
    let start = Instant::now() + CONNECT_TIME;
    let faults = scenario.faults(seed);
    let (results, failed) = std::thread::scope(|scope| {
        let controls = service_controls(&cluster);
        let threads: Vec<_> = (0..controls.len())
            .map(|target| {
                let own: Vec<Fault> = faults
                    .iter()
                    .filter(|f| f.target == target)
                    .copied()
                    .collect();
                let control = controls[target];
                scope.spawn(move || inject(control, &own, start))
            })
            .collect();
        let results = run(run_calls(&load, calls, Some(start)));
        let failed = threads
            .into_iter()
            .flat_map(|t| t.join().unwrap_or_default());
        (results, failed.collect::<Vec<_>>())
    });
    if !failed.is_empty() {
        return Err(ExperimentError::Faults(failed));
    }
    let elapsed = start.elapsed() + CONNECT_TIME;
    let cpu_percent = before.percent_until(&CpuTimes::sample(&cluster), elapsed);
    evaluate(&cluster, scenario, &results??, cpu_percent)
}

fn evaluate(
    cluster: &Cluster,
    scenario: &Scenario,
    results: &[CallResult],
    cpu_percent: Value,
) -> Result<Figures, ExperimentError> {
    let statuses = (0..cluster.nodes.len()).filter_map(|index| cluster.status(index).ok());
    let attempts: Vec<Value> = statuses.map(|s| s["counters"]["sent"].clone()).collect();
    let records = cluster.target_records()?;
    Ok(Figures::of(&Measurements {
        cpu_percent,
        records: &records,
        results,
        scenario,
        attempts: &attempts,
        slots: cluster.plan().slots,
    }))
}

/// Control addresses of the targets of the service under test.
fn service_controls(cluster: &Cluster) -> Vec<SocketAddr> {
    let service = &cluster.plan().services[0].name;
    let nodes = cluster.nodes.iter().filter(|n| n.service == *service);
    nodes.map(|n| n.addresses.control).collect()
}

/// CPU time of the daemons and of the test's processes, which must not be the bottleneck.
struct CpuTimes {
    daemons: Vec<Duration>,
    generator: Duration,
    relay: Duration,
    targets: Vec<Duration>,
}

impl CpuTimes {
    fn sample(cluster: &Cluster) -> Self {
        let of = |pid| Usage::of(pid).unwrap_or_default().cpu;
        let child = |c: &Option<Child>| c.as_ref().map_or(Duration::ZERO, |c| of(c.pid()));
        Self {
            daemons: cluster.nodes.iter().map(|n| child(&n.daemon)).collect(),
            generator: of(std::process::id()),
            relay: child(&cluster.relay),
            targets: cluster.nodes.iter().map(|n| child(&n.target)).collect(),
        }
    }

    /// CPU use up to `end`, in percent of one core. Of the daemons and of the targets only the
    /// highest is included.
    fn percent_until(&self, end: &Self, elapsed: Duration) -> Value {
        let share = |from: Duration, to: Duration| {
            let percent = 100.0 * to.saturating_sub(from).as_secs_f64() / elapsed.as_secs_f64();
            percent.round()
        };
        let highest = |from: &[Duration], to: &[Duration]| {
            let pairs = from.iter().zip(to);
            pairs.map(|(f, t)| share(*f, *t)).fold(0.0, f64::max)
        };
        json!({
            "busiest_daemon": highest(&self.daemons, &end.daemons),
            "busiest_target": highest(&self.targets, &end.targets),
            "generator": share(self.generator, end.generator),
            "relay": share(self.relay, end.relay),
        })
    }
}
