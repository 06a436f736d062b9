//! One run: a row with one seed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::json;

use super::callers::{CallersOptions, Operation, run_callers};
use super::inject::Injector;
use super::rows::Row;
use super::step::parse_script;
use crate::demo::DemoError;
use hawthornwall_testkit::history::{Limits, Report, check};
use hawthornwall_testkit::launcher::{
    Cluster, ClusterOptions, Deployment, LaunchError, daemon_party,
};
use hawthornwall_testkit::random::Random;
use hawthornwall_testkit::wall_micros;

/// Options of the program.
pub const OPTIONS: [&str; 5] = ["row", "seeds", "first-seed", "deployment", "keep"];

/// Callers and the mean pause of each, for about 150 calls a second.
const CALLERS: usize = 30;
const GAP: Duration = Duration::from_millis(150);
/// Load before the first step, so that connections are open and estimates exist.
const WARM: Duration = Duration::from_millis(500);
/// Load after the last step, beyond the bounds of the invariants.
const TAIL: Duration = Duration::from_millis(3_500);

/// What is run.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultOptions {
    /// The deployment, instead of the row's own.
    pub deployment: Option<Deployment>,
    /// Whether settings, histories and logs are kept.
    pub keep: bool,
    /// Seed of faults, load and targets.
    pub seed: u64,
}

/// What one run showed.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// When the last step was over, in microseconds since the Unix epoch.
    pub last_step: u64,
    /// All operations of the callers.
    pub operations: Vec<Operation>,
    /// The checker's verdict.
    pub report: Report,
    /// The seed.
    pub seed: u64,
    /// Processes that did not end when told to.
    pub stuck: Vec<String>,
}

/// Runs one row with one seed. All processes end with this function.
///
/// # Errors
///
/// The deployment can't be started or controlled, or its records can't be read.
pub fn run_row(row: &Row, options: &FaultOptions) -> Result<RunResult, DemoError> {
    let mut random = Random::new(options.seed);
    let steps = parse_script(row.script, &mut random).map_err(LaunchError::Failed)?;
    let cluster = Cluster::start(
        options.deployment.unwrap_or(row.deployment),
        ClusterOptions {
            behaviour: json!({ "mean_us": 20_000 }),
            keep: options.keep,
            seed: options.seed,
            ..ClusterOptions::default()
        },
    )?;
    if options.keep {
        println!(
            "{} seed {}: {}",
            row.name,
            options.seed,
            cluster.folder().display()
        );
    }
    let mut injector = Injector::new(cluster, &mut random);
    let stop = Arc::new(AtomicBool::new(false));
    let callers = callers(row, options.seed, &injector.cluster, Arc::clone(&stop));
    let thread = thread::spawn(move || run_callers(callers));
    thread::sleep(WARM);
    let carried_out = steps.iter().try_for_each(|step| injector.carry_out(step));
    let last_step = wall_micros();
    if carried_out.is_ok() {
        thread::sleep(TAIL);
    }
    stop.store(true, Ordering::Relaxed);
    let ended = thread.join();
    let operations =
        ended.map_err(|_| LaunchError::Failed("the callers panicked".to_owned()))??;
    carried_out?;
    injector.stop_all()?;
    Ok(RunResult {
        last_step,
        operations,
        report: check(&injector.cluster.records()?, &Limits::DEFAULT),
        seed: options.seed,
        stuck: std::mem::take(&mut injector.stuck),
    })
}

fn callers(row: &Row, seed: u64, cluster: &Cluster, stop: Arc<AtomicBool>) -> CallersOptions {
    let nodes = &cluster.nodes;
    let daemon =
        |n: &hawthornwall_testkit::launcher::Node| (daemon_party(&n.plan.name), n.addresses.caller);
    CallersOptions {
        count: CALLERS,
        daemons: nodes.iter().map(daemon).collect(),
        gap: GAP,
        history: cluster.folder().join("callers.history"),
        rude: row.rude,
        seed,
        services: nodes.iter().map(|n| n.service.clone()).collect(),
        stop,
    }
}
