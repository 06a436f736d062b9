//! The phases of the control plane's measurement on one fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::CapacityError;
use super::fleet::{Fleet, FleetOptions, is_second, platform_stats};
use super::sample::{Rates, Sample};
use super::timing::{InForceTime, Spread, in_force_times};
use hawthornwall_testkit::launcher::daemon_party;

/// Daemons replaced to find what one replacement costs the others.
const REPLACED: usize = 4;
/// Wait after the last patch until all daemons must have it.
const SETTLE: Duration = Duration::from_secs(3);
/// Longest wait for the second region after a cut.
const HEAL: Duration = Duration::from_secs(20);

/// Which phases follow the steady state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phases {
    /// All.
    All,
    /// None.
    Steady,
}

/// Lengths of the phases.
#[derive(Clone, Copy, Debug)]
pub struct MeasureOptions {
    /// Daemons.
    pub count: usize,
    /// Patches, one a second.
    pub patches: u32,
    /// Phases.
    pub phases: Phases,
    /// Probes by each daemon in 100 seconds; the settings' default if absent.
    pub probes: Option<u32>,
    /// Wait after the start before the steady state is measured.
    pub settle: Duration,
    /// Length of the steady state.
    pub steady: Duration,
}

/// What a region's cut showed, times in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CutFigures {
    /// In the region that the platform could be reached from.
    pub reachable: InForceTime,
    /// Daemons of that region.
    pub reachable_daemons: usize,
    /// From healing to the last daemon of the other region; absent if some never had it.
    pub healed_ms: Option<f64>,
}

/// Figures of one fleet.
#[derive(Clone, Debug, Serialize)]
pub struct FleetFigures {
    /// Time from publication to the first daemon.
    pub first: Spread,
    /// Time from publication to the last daemon.
    pub last: Spread,
    /// Patches that some daemon did not have in force at the end.
    pub missed: usize,
    /// Daemons.
    pub count: usize,
    /// A region cut off.
    pub cut: Option<CutFigures>,
    /// Length of the published document.
    pub document_bytes: usize,
    /// While patches were published, one a second: daemons that watch the platform, and others.
    pub patches: Option<[Rates; 2]>,
    /// Highest number of platform reads in one second while all restarted.
    pub restart_reads: Option<u64>,
    /// Time until all were ready after all were started at once.
    pub restart_ms: Option<u128>,
    /// Extra datagram bytes at each other daemon for one replacement.
    pub replace_bytes: Option<f64>,
    /// Steady state.
    pub steady: Rates,
    /// Steady state of daemons that watch the platform, and of others.
    pub steady_split: [Rates; 2],
}

/// Measures one fleet.
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
        first: Spread::default(),
        last: Spread::default(),
        missed: 0,
        count: options.count,
        cut: None,
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
        replace(&mut fleet, options.steady, &mut figures)?;
        figures.cut = Some(cut(&mut fleet)?);
        restart(&mut fleet, &mut figures)?;
    }
    Ok(figures)
}

fn publish_patches(
    fleet: &mut Fleet,
    options: &MeasureOptions,
    figures: &mut FleetFigures,
) -> Result<(), CapacityError> {
    let start = Sample::take(fleet);
    let begun = Instant::now();
    fleet.published.clear();
    for number in 1..=options.patches {
        fleet.publish_patch(&[true, true])?;
        let next = begun + Duration::from_secs(1) * number;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    figures.patches = Some(split(&start, &Sample::take(fleet)));
    thread::sleep(SETTLE);
    let records = fleet.cluster.daemon_records()?;
    let times = in_force_times(&fleet.published, &records, &parties(fleet, |_| true));
    figures.first = Spread::of(times.iter().map(|t| t.first_ms));
    figures.last = Spread::of(times.iter().map(|t| t.last_ms));
    figures.missed =
        fleet.published.len() - times.iter().filter(|t| t.daemons == options.count).count();
    Ok(())
}

/// Rates of daemons that watch the platform, and of others; 0 if there are none.
fn split(start: &Sample, end: &Sample) -> [Rates; 2] {
    [true, false].map(|watching| start.rates(end, |index| start.is_watching(index) == watching))
}

/// Kills and starts some daemons one after the other; the others' extra traffic is what it costs.
fn replace(
    fleet: &mut Fleet,
    window: Duration,
    figures: &mut FleetFigures,
) -> Result<(), CapacityError> {
    let start = Sample::take(fleet);
    let begun = Instant::now();
    for index in 0..REPLACED {
        fleet.cluster.restart_daemons(&[index])?;
    }
    thread::sleep(window.saturating_sub(begun.elapsed()));
    let rates = start.rates(&Sample::take(fleet), |index| index >= REPLACED);
    let extra = (rates.datagram_bytes - figures.steady.datagram_bytes) * rates.seconds;
    figures.replace_bytes = Some(extra / REPLACED as f64);
    Ok(())
}

fn cut(fleet: &mut Fleet) -> Result<CutFigures, CapacityError> {
    fleet.cut()?;
    // Long enough for connections across the cut to be given up.
    thread::sleep(SETTLE);
    let version = fleet.publish_patch(&[true, false])?;
    thread::sleep(SETTLE);
    let near = parties(fleet, |domain| !is_second(domain));
    let published = BTreeMap::from([(version, fleet.published[&version])]);
    let records = fleet.cluster.daemon_records()?;
    let reachable = in_force_times(&published, &records, &near);
    // The second region's platform stays stale: the version arrives from peers alone.
    fleet.heal()?;
    let healed = BTreeMap::from([(version, hawthornwall_testkit::wall_micros())]);
    let far = parties(fleet, is_second);
    let end = Instant::now() + HEAL;
    let healed_ms = loop {
        thread::sleep(Duration::from_millis(200));
        let times = in_force_times(&healed, &fleet.cluster.daemon_records()?, &far);
        match times.first() {
            Some(time) if time.daemons == far.len() => break Some(time.last_ms),
            _ if Instant::now() > end => break None,
            _ => {}
        }
    };
    let none = InForceTime {
        daemons: 0,
        first_ms: f64::NAN,
        last_ms: f64::NAN,
        version,
    };
    fleet.publish(&[true, true])?;
    Ok(CutFigures {
        reachable: reachable.first().copied().unwrap_or(none),
        reachable_daemons: near.len(),
        healed_ms,
    })
}

/// Restarts all daemons at once, and finds the second with the most platform reads.
fn restart(fleet: &mut Fleet, figures: &mut FleetFigures) -> Result<(), CapacityError> {
    let platforms = fleet.platforms();
    let ended = AtomicBool::new(false);
    let all: Vec<usize> = (0..fleet.cluster.nodes.len()).collect();
    let begun = Instant::now();
    let (result, reads) = thread::scope(|scope| {
        let watcher = scope.spawn(|| {
            let mut totals = Vec::new();
            while !ended.load(Ordering::Relaxed) {
                totals.push((Instant::now(), platform_stats(platforms).total));
                thread::sleep(Duration::from_millis(50));
            }
            totals
        });
        let result = fleet.cluster.restart_daemons(&all);
        figures.restart_ms = Some(begun.elapsed().as_millis());
        thread::sleep(Duration::from_secs(2));
        ended.store(true, Ordering::Relaxed);
        (result, watcher.join().unwrap_or_default())
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

pub(super) fn parties(fleet: &Fleet, chosen: impl Fn(&str) -> bool) -> BTreeSet<String> {
    let nodes = fleet.cluster.nodes.iter();
    let nodes = nodes.filter(|n| chosen(&n.plan.domain));
    nodes.map(|n| daemon_party(&n.plan.name)).collect()
}
