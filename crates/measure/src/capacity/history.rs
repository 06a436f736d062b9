//! Proof from records that versions never go back, whatever fails at the same time.

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
use super::timing::{Spread, in_force_times};
use hawthornwall_testkit::history::{self, Event, Invariant, Limits, Record};
use hawthornwall_testkit::random::Random;

/// Daemons of each fleet.
const DAEMONS: usize = 12;
/// Wait after a step.
const STEP: Duration = Duration::from_millis(700);
/// Wait for all daemons to agree at the end.
const END: Duration = Duration::from_secs(4);

/// What one seed showed.
#[derive(Clone, Debug, Serialize)]
pub struct HistoryRow {
    /// Runs of daemons that recorded a version.
    pub runs: usize,
    /// Records of versions coming into force.
    pub adopted: usize,
    /// Times that a run went back.
    pub back: usize,
    /// Versions with two digests.
    pub digests: usize,
    /// Daemons at the last version at the end, and all.
    pub current: [usize; 2],
    /// Faults in order.
    pub faults: String,
    /// Time from publication to the first daemon, over the versions published without a fault of the platform.
    pub first: Spread,
    /// Time to the last daemon.
    pub last: Spread,
    /// The seed.
    pub seed: u64,
}

impl HistoryRow {
    /// Whether nothing went back or diverged, and all ended at the last version.
    pub fn is_clean(&self) -> bool {
        self.back + self.digests == 0 && self.current[0] == self.current[1]
    }
}

/// One event between two patches.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// All faults of the platform end.
    Clear,
    /// The platform closes all connections of readers in both regions.
    Outage,
    /// Half of the daemons are killed and started again.
    Restart,
    /// The platform endpoint of a region keeps showing its value.
    Stale(usize),
    /// Two operators submit patches on one base.
    TwoPatches,
}

/// Mixes faults with patches on a new fleet and checks the daemons' records.
///
/// # Errors
///
/// A process can't be started or controlled.
pub fn prove_history(seed: u64) -> Result<HistoryRow, CapacityError> {
    let mut random = Random::new(seed);
    let mut fleet = Fleet::start(FleetOptions {
        count: DAEMONS,
        probes: None,
        relay: false,
    })?;
    thread::sleep(STEP);
    fleet.published.clear();
    let (mut faults, mut disturbed, mut healthy) = (String::new(), false, BTreeMap::new());
    for step in steps(&mut random) {
        let _ = write!(faults, "{step:?} ");
        disturbed = carry_out(step, &mut fleet, &mut random)?.unwrap_or(disturbed);
        let version = fleet.publish_patch(&[true, true])?;
        if !disturbed {
            healthy.insert(version, fleet.published[&version]);
        }
        thread::sleep(STEP);
    }
    carry_out(Step::Clear, &mut fleet, &mut random)?;
    let last = fleet.publish_patch(&[true, true])?;
    healthy.insert(last, fleet.published[&last]);
    thread::sleep(END);
    evaluate(&fleet, &healthy, seed, faults)
}

/// All kinds of steps in a random order.
fn steps(random: &mut Random) -> Vec<Step> {
    let stale = random.below(2);
    let mut left = vec![
        Step::Clear,
        Step::Outage,
        Step::Restart,
        Step::Restart,
        Step::Stale(stale),
        Step::TwoPatches,
        Step::TwoPatches,
    ];
    let mut drawn = Vec::new();
    while !left.is_empty() {
        drawn.push(left.swap_remove(random.below(left.len())));
    }
    drawn
}

/// Whether the platform is disturbed afterwards, if the step changes that.
fn carry_out(
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
    healthy: &BTreeMap<u64, u64>,
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
    let times = in_force_times(healthy, &records, &all);
    let current = latest(&records);
    let version = fleet.version();
    let level = current.values().filter(|v| **v == version).count();
    Ok(HistoryRow {
        adopted: records.len(),
        back: count(Invariant::VersionOrder),
        current: [level, all.len()],
        digests: count(Invariant::VersionDigest),
        faults,
        first: Spread::of(times.iter().map(|t| t.first_ms)),
        last: Spread::of(times.iter().map(|t| t.last_ms)),
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

/// A table with one row for each seed.
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
            row.adopted,
            row.back,
            row.digests,
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
