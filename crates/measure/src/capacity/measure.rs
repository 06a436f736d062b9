//! Measures the control plane on one fleet: steady state, patches, replacements, a partition and a
//! restart of all daemons.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::CapacityError;
use super::fleet::{Fleet, FleetOptions, is_second_region, platform_stats};
use super::sample::{Rates, Sample};
use super::timing::{InForceTime, TimeSummary, in_force_times};
use hawthornwall_testkit::launcher::daemon_party;

/// Number of daemons replaced to measure the cost of one replacement at the others.
const REPLACEMENTS: usize = 4;
/// Time after a patch or a partition within which the fleet must settle.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time after the end of a partition within which the second region must have the version.
const HEAL_TIMEOUT: Duration = Duration::from_secs(20);

/// Phases that are measured after the steady state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phases {
    /// Patches, replacements, a partition and a restart of all daemons.
    All,
    /// None: only the steady state is measured.
    Steady,
}

/// Options of the measurement of one fleet.
#[derive(Clone, Copy, Debug)]
pub struct MeasureOptions {
    /// Number of daemons.
    pub count: usize,
    /// Number of patches, published one per second.
    pub patches: u32,
    /// Phases after the steady state.
    pub phases: Phases,
    /// Probe budget of each daemon per 100 seconds; `None` keeps the default of the settings.
    pub probes: Option<u32>,
    /// Warm-up after the start, before the steady state is measured.
    pub settle: Duration,
    /// Duration of the steady state measurement.
    pub steady: Duration,
}

/// Times of a version that was published while the second region was cut off, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PartitionFigures {
    /// Times in the first region, which could reach its platform endpoint.
    pub reachable: InForceTime,
    /// Number of daemons in the first region.
    pub reachable_daemons: usize,
    /// Time from the end of the partition until the last daemon of the second region had the
    /// version in force; `None` if some daemon never had it.
    pub healed_ms: Option<f64>,
}

/// Figures of one fleet.
#[derive(Clone, Debug, Serialize)]
pub struct FleetFigures {
    /// Time in milliseconds from publication until the first daemon has a patch in force.
    pub first: TimeSummary,
    /// Time in milliseconds from publication until the last daemon has a patch in force.
    pub last: TimeSummary,
    /// Number of patches that some daemon did not have in force at the end.
    pub missed: usize,
    /// Number of daemons.
    pub count: usize,
    /// Results of the partition.
    #[serde(rename = "cut")]
    pub partition: Option<PartitionFigures>,
    /// Length of the published document in bytes, before the measured patches.
    pub document_bytes: usize,
    /// Rates while patches were published, one per second: daemons that watch the platform, and
    /// others.
    pub patches: Option<[Rates; 2]>,
    /// Highest number of platform reads within one second while all daemons restarted.
    pub restart_reads: Option<u64>,
    /// Time to restart all daemons at once until all are ready, in milliseconds.
    pub restart_ms: Option<u128>,
    /// Datagram bytes above the steady state at each other daemon, per replacement.
    pub replace_bytes: Option<f64>,
    /// Rates of all daemons in the steady state.
    pub steady: Rates,
    /// Rates in the steady state: daemons that watch the platform, and others.
    pub steady_split: [Rates; 2],
}

/// Starts a fleet and measures it.
///
/// # Errors
///
/// A process can't be started or controlled.
pub fn measure_fleet(options: &MeasureOptions) -> Result<FleetFigures, CapacityError> {
    let mut fleet = Fleet::start(FleetOptions {
        count: options.count,
        probes: options.probes,
        relay: true,
    })?;
    thread::sleep(options.settle);
    let start = Sample::take(&fleet);
    thread::sleep(options.steady);
    let end = Sample::take(&fleet);
    let steady = start.rates(&end, |_| true);
    let mut figures = FleetFigures {
        first: TimeSummary::default(),
        last: TimeSummary::default(),
        missed: 0,
        count: options.count,
        partition: None,
        document_bytes: fleet.document_bytes(),
        patches: None,
        restart_reads: None,
        restart_ms: None,
        replace_bytes: None,
        steady,
        steady_split: split(&start, &end),
    };
    if options.phases == Phases::All {
        publish_patches(&mut fleet, options, &mut figures)?;
        measure_replacement(&mut fleet, options.steady, &mut figures)?;
        figures.partition = Some(partition(&mut fleet)?);
        measure_restart(&mut fleet, &mut figures)?;
    }
    Ok(figures)
}

fn publish_patches(
    fleet: &mut Fleet,
    options: &MeasureOptions,
    figures: &mut FleetFigures,
) -> Result<(), CapacityError> {
    let start = Sample::take(fleet);
    let started = Instant::now();
    fleet.published.clear();
    for number in 1..=options.patches {
        fleet.publish_patch(&[true, true])?;
        let next = started + Duration::from_secs(1) * number;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    figures.patches = Some(split(&start, &Sample::take(fleet)));
    thread::sleep(SETTLE_TIME);
    let records = fleet.cluster.daemon_records()?;
    let times = in_force_times(&fleet.published, &records, &parties(fleet, |_| true));
    figures.first = TimeSummary::of(times.iter().map(|t| t.first_ms));
    figures.last = TimeSummary::of(times.iter().map(|t| t.last_ms));
    figures.missed =
        fleet.published.len() - times.iter().filter(|t| t.daemons == options.count).count();
    Ok(())
}

/// Rates of daemons that watch the platform, and of others; 0 if there are none.
fn split(start: &Sample, end: &Sample) -> [Rates; 2] {
    [true, false].map(|watching| start.rates(end, |index| start.is_watching(index) == watching))
}

/// Kills and restarts some daemons one after the other. The cost is the traffic of the other
/// daemons above the steady state.
fn measure_replacement(
    fleet: &mut Fleet,
    window: Duration,
    figures: &mut FleetFigures,
) -> Result<(), CapacityError> {
    let start = Sample::take(fleet);
    let started = Instant::now();
    for index in 0..REPLACEMENTS {
        fleet.cluster.restart_daemons(&[index])?;
    }
    thread::sleep(window.saturating_sub(started.elapsed()));
    let rates = start.rates(&Sample::take(fleet), |index| index >= REPLACEMENTS);
    let extra = (rates.datagram_bytes - figures.steady.datagram_bytes) * rates.seconds;
    figures.replace_bytes = Some(extra / REPLACEMENTS as f64);
    Ok(())
}

fn partition(fleet: &mut Fleet) -> Result<PartitionFigures, CapacityError> {
    fleet.partition()?;
    // Long enough for daemons to close their connections across the partition.
    thread::sleep(SETTLE_TIME);
    let version = fleet.publish_patch(&[true, false])?;
    thread::sleep(SETTLE_TIME);
    let first_region = parties(fleet, |domain| !is_second_region(domain));
    let published = BTreeMap::from([(version, fleet.published[&version])]);
    let records = fleet.cluster.daemon_records()?;
    let reachable = in_force_times(&published, &records, &first_region);
    // The second region's platform endpoint still has the older document, so the version arrives
    // only from peers.
    fleet.heal()?;
    let healed = BTreeMap::from([(version, hawthornwall_testkit::wall_micros())]);
    let second_region = parties(fleet, is_second_region);
    let end = Instant::now() + HEAL_TIMEOUT;
    let healed_ms = loop {
        thread::sleep(Duration::from_millis(200));
        let times = in_force_times(&healed, &fleet.cluster.daemon_records()?, &second_region);
        match times.first() {
            Some(time) if time.daemons == second_region.len() => break Some(time.last_ms),
            _ if Instant::now() > end => break None,
            _ => {}
        }
    };
    let unreached = InForceTime {
        daemons: 0,
        first_ms: f64::NAN,
        last_ms: f64::NAN,
        version,
    };
    fleet.publish(&[true, true])?;
    Ok(PartitionFigures {
        reachable: reachable.first().copied().unwrap_or(unreached),
        reachable_daemons: first_region.len(),
        healed_ms,
    })
}

/// Restarts all daemons at once and determines the highest number of platform reads within one
/// second.
fn measure_restart(fleet: &mut Fleet, figures: &mut FleetFigures) -> Result<(), CapacityError> {
    let platforms = fleet.platforms();
    let stop = AtomicBool::new(false);
    let all: Vec<usize> = (0..fleet.cluster.nodes.len()).collect();
    let started = Instant::now();
    let (result, reads) = thread::scope(|scope| {
        let sampler = scope.spawn(|| {
            let mut totals = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                totals.push((Instant::now(), platform_stats(platforms).total));
                thread::sleep(Duration::from_millis(50));
            }
            totals
        });
        let result = fleet.cluster.restart_daemons(&all);
        figures.restart_ms = Some(started.elapsed().as_millis());
        thread::sleep(Duration::from_secs(2));
        stop.store(true, Ordering::Relaxed);
        (result, sampler.join().unwrap_or_default())
    });
    result?;
    let within = |(at, total): &(Instant, u64)| {
        let later = reads
            .iter()
            .filter(|(t, _)| *t <= *at + Duration::from_secs(1));
        later.map(|(_, t)| t.saturating_sub(*total)).max()
    };
    figures.restart_reads = reads.iter().filter_map(within).max();
    Ok(())
}

pub(super) fn parties(fleet: &Fleet, selected: impl Fn(&str) -> bool) -> BTreeSet<String> {
    let nodes = fleet.cluster.nodes.iter();
    let nodes = nodes.filter(|n| selected(&n.plan.domain));
    nodes.map(|n| daemon_party(&n.plan.name)).collect()
}
