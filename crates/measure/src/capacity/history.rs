//! Checks from the daemons' records that configuration versions never go back, under faults and
//! concurrent patches.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::thread;
use std::time::Duration;

use hawthornwall_core::ids::Version;
use serde::Serialize;
use serde_json::{Value, json};

use super::CapacityError;
use super::fleet::{Fleet, FleetOptions};
use super::measure::parties;
use super::plan::rules_patch;
use super::timing::{TimeSummary, in_force_times};
use hawthornwall_testkit::history::{self, Event, Invariant, Limits, Record};
use hawthornwall_testkit::random::Random;

/// Number of daemons in each fleet.
const DAEMONS: usize = 12;
/// Pause after each step.
const STEP_INTERVAL: Duration = Duration::from_millis(700);
/// Pause after the last patch, within which all daemons must reach the last version.
const END_WAIT: Duration = Duration::from_secs(4);

/// Results of one seed.
#[derive(Clone, Debug, Serialize)]
pub struct HistoryRow {
    /// Number of daemon runs that recorded a version; each start of a daemon is one run.
    pub runs: usize,
    /// Number of records of a version that came into force.
    #[serde(rename = "adopted")]
    pub activations: usize,
    /// Number of times that a daemon run went back to an older version.
    #[serde(rename = "back")]
    pub regressions: usize,
    /// Number of violations in which one version had two digests.
    #[serde(rename = "digests")]
    pub digest_conflicts: usize,
    /// Number of daemons that ended with the last version in force, and number of all daemons.
    pub current: [usize; 2],
    /// Steps in the order in which they were executed.
    pub faults: String,
    /// Time in milliseconds from publication until the first daemon has a version in force, over
    /// the versions published without a platform fault.
    pub first: TimeSummary,
    /// Time until the last daemon has it in force.
    pub last: TimeSummary,
    /// Seed of the steps and of the restarted daemons.
    pub seed: u64,
}

impl HistoryRow {
    /// Whether no daemon run went back, no version had two digests, and all daemons ended at the
    /// last version.
    pub fn is_clean(&self) -> bool {
        self.regressions + self.digest_conflicts == 0 && self.current[0] == self.current[1]
    }
}

/// One event between two patches. The variant names appear in the reports.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// All platform faults end.
    Clear,
    /// Both platform endpoints go down and close the connections of their readers.
    Outage,
    /// Half of the daemons are killed and started again.
    Restart,
    /// The platform endpoint of this region keeps its current value, ignoring later publications.
    Stale(usize),
    /// Two operators submit patches with the same base version.
    TwoPatches,
}

/// Starts a fleet, injects faults between patches in an order drawn from the seed, and checks the
/// daemons' records.
///
/// # Errors
///
/// A process can't be started or controlled.
pub fn check_history(seed: u64) -> Result<HistoryRow, CapacityError> {
    let mut random = Random::new(seed);
    let mut fleet = Fleet::start(FleetOptions {
        count: DAEMONS,
        probes: None,
        relay: false,
    })?;
    thread::sleep(STEP_INTERVAL);
    fleet.published.clear();
    let (mut faults, mut impaired, mut fault_free) = (String::new(), false, BTreeMap::new());
    for step in steps(&mut random) {
        let _ = write!(faults, "{step:?} ");
        impaired = execute(step, &mut fleet, &mut random)?.unwrap_or(impaired);
        let version = fleet.publish_patch(&[true, true])?;
        if !impaired {
            fault_free.insert(version, fleet.published[&version]);
        }
        thread::sleep(STEP_INTERVAL);
    }
    execute(Step::Clear, &mut fleet, &mut random)?;
    let last = fleet.publish_patch(&[true, true])?;
    fault_free.insert(last, fleet.published[&last]);
    thread::sleep(END_WAIT);
    evaluate(&fleet, &fault_free, seed, faults)
}

/// Returns all steps in a random order.
fn steps(random: &mut Random) -> Vec<Step> {
    let stale = random.below(2);
    let mut remaining = vec![
        Step::Clear,
        Step::Outage,
        Step::Restart,
        Step::Restart,
        Step::Stale(stale),
        Step::TwoPatches,
        Step::TwoPatches,
    ];
    let mut shuffled = Vec::new();
    while !remaining.is_empty() {
        shuffled.push(remaining.swap_remove(random.below(remaining.len())));
    }
    shuffled
}

/// Executes a step. Returns whether the platform has a fault afterwards, or `None` if the step
/// doesn't change that.
fn execute(
    step: Step,
    fleet: &mut Fleet,
    random: &mut Random,
) -> Result<Option<bool>, CapacityError> {
    match step {
        Step::Clear => {
            set_platform(fleet, &json!({}))?;
            Ok(Some(false))
        }
        Step::Outage => {
            set_platform(fleet, &json!({ "down": true }))?;
            Ok(Some(true))
        }
        Step::Restart => {
            let mut half = BTreeSet::new();
            while half.len() < DAEMONS / 2 {
                half.insert(random.below(DAEMONS));
            }
            let half: Vec<usize> = half.into_iter().collect();
            fleet.cluster.restart_daemons(&half)?;
            Ok(None)
        }
        Step::Stale(region) => {
            fleet.platform_fault(region, &json!({ "stale": true }))?;
            Ok(Some(true))
        }
        Step::TwoPatches => {
            let base = fleet.version();
            for author in ["first", "second"] {
                let patch = rules_patch("service-01", base, author);
                fleet.document.patches.push(patch);
            }
            fleet.publish(&[true, true])?;
            Ok(None)
        }
    }
}

fn set_platform(fleet: &Fleet, fault: &Value) -> Result<(), CapacityError> {
    fleet.platform_fault(0, fault)?;
    fleet.platform_fault(1, fault)
}

fn evaluate(
    fleet: &Fleet,
    fault_free: &BTreeMap<u64, u64>,
    seed: u64,
    faults: String,
) -> Result<HistoryRow, CapacityError> {
    let records = fleet.cluster.daemon_records()?;
    let report = history::check(&records, &Limits::DEFAULT);
    let count = |invariant| {
        let all = report.violations.iter();
        all.filter(|v| v.invariant == invariant).count()
    };
    let all = parties(fleet, |_| true);
    let times = in_force_times(fault_free, &records, &all);
    let current = latest(&records);
    let version = fleet.version();
    let matching = current.values().filter(|v| **v == version).count();
    Ok(HistoryRow {
        activations: records.len(),
        regressions: count(Invariant::VersionOrder),
        current: [matching, all.len()],
        digest_conflicts: count(Invariant::VersionDigest),
        faults,
        first: TimeSummary::of(times.iter().map(|t| t.first_ms)),
        last: TimeSummary::of(times.iter().map(|t| t.last_ms)),
        runs: runs(&records),
        seed,
    })
}

fn latest(records: &[Record]) -> BTreeMap<&str, Version> {
    let mut latest = BTreeMap::new();
    for record in records {
        if let Event::InForce { version, .. } = &record.event {
            latest.insert(record.party.as_str(), Version(*version));
        }
    }
    latest
}

fn runs(records: &[Record]) -> usize {
    let mut runs = BTreeSet::new();
    for record in records {
        if let Event::InForce { instance, .. } = &record.event {
            runs.insert(instance.as_str());
        }
    }
    runs.len()
}

/// Renders a table with one row for each seed.
pub fn render_history(rows: &[HistoryRow]) -> String {
    let mut text = String::from(
        "seed | runs | adoptions | back | two digests | at last version | first ms p50, max | last ms \
         p50, max | steps\n",
    );
    for row in rows {
        let _ = writeln!(
            text,
            "{:4} | {:4} | {:9} | {} | {} | {} of {} | {:.0}, {:.0} | {:.0}, {:.0} | {}",
            row.seed,
            row.runs,
            row.activations,
            row.regressions,
            row.digest_conflicts,
            row.current[0],
            row.current[1],
            row.first.p50,
            row.first.max,
            row.last.p50,
            row.last.max,
            row.faults.trim_end()
        );
    }
    text
}
