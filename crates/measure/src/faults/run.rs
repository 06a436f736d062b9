//! One run of a row with one seed.

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

/// Command line options of the `faults` program.
pub const OPTIONS: [&str; 5] = ["row", "seeds", "first-seed", "deployment", "keep"];

/// Number of callers; with [`MEAN_INTERVAL`] it gives about 150 requests a second.
const CALLER_COUNT: usize = 30;
/// Mean pause of a caller between two operations.
const MEAN_INTERVAL: Duration = Duration::from_millis(150);
/// Warm-up before the first step, in which connections are opened and estimates are formed.
const WARM_UP: Duration = Duration::from_millis(500);
/// Time under load after the last step, longer than the time limits of the invariants.
const FINAL_LOAD: Duration = Duration::from_millis(3_500);

/// Options of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultOptions {
    /// Overrides the deployment of the row.
    pub deployment: Option<Deployment>,
    /// Whether the folder with settings, histories and logs is kept and its path printed.
    pub keep: bool,
    /// Seed of the faults, the load and the targets.
    pub seed: u64,
}

/// Result of one run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// End of the last step, in microseconds since the Unix epoch.
    pub last_step: u64,
    /// Operations of all callers.
    pub operations: Vec<Operation>,
    /// Result of the history check.
    pub report: Report,
    /// Seed of the run.
    pub seed: u64,
    /// Processes that did not exit within the stop timeout.
    pub stuck: Vec<String>,
}

/// Runs one row with one seed. All processes that it starts have ended when it returns.
///
/// # Errors
///
/// The script is invalid, the deployment can't be started or controlled, or its records can't be
/// read.
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
    thread::sleep(WARM_UP);
    let executed = steps.iter().try_for_each(|step| injector.execute(step));
    let last_step = wall_micros();
    if executed.is_ok() {
        thread::sleep(FINAL_LOAD);
    }
    stop.store(true, Ordering::Relaxed);
    let joined = thread.join();
    let operations =
        joined.map_err(|_| LaunchError::Failed("the callers panicked".to_owned()))??;
    executed?;
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
        count: CALLER_COUNT,
        daemons: nodes.iter().map(daemon).collect(),
        interval: MEAN_INTERVAL,
        history: cluster.folder().join("callers.history"),
        abandon_requests: row.abandon_requests,
        seed,
        services: nodes.iter().map(|n| n.service.clone()).collect(),
        stop,
    }
}
