//! The random plan of a soak test, generated from its seed.

use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;
use std::time::Duration;

use hawthornwall_testkit::worker::AnswerFault;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::fleet::{SERVICES, ZONES, service, zone};

/// Period at the start of a round in which faults begin.
const FAULT_PERIOD: Duration = Duration::from_secs(5);
/// Period from the latest end of a fault to the start of the calm period. Invariants with time bounds
/// hold from three seconds after a fault, and entries are restored two seconds after a store outage.
const RECOVERY_PERIOD: Duration = Duration::from_millis(5_500);
/// Period without faults, in which the planned changes are made: new configurations, replaced workers
/// and restarted daemons.
const CALM_PERIOD: Duration = Duration::from_secs(7);
/// Maximum duration of a fault in milliseconds.
const MAX_FAULT_MS: u64 = 3_000;
/// Maximum number of faults in a round.
const MAX_FAULTS: usize = 7;
/// Maximum number of cold times in a round.
const MAX_COLD_TIMES: usize = 3;
/// Minimum duration of a cold time in milliseconds; see `SHORTEST_COLD` of the gate.
const MIN_COLD_MS: u64 = 1_000;
/// Derives the seed of the cold times from that of the plan, whose other steps stay the same.
const COLD_SEED: u64 = 0xC01D;
/// Maximum number of planned changes in a round.
const MAX_PLANNED: usize = 3;

/// Maximum number of evacuations in a round that begin and are revoked before the calm period.
const MAX_EVACUATIONS: usize = 3;
/// Maximum duration of such an evacuation in milliseconds.
const MAX_EVACUATION_MS: u64 = 8_000;
/// Duration of an evacuation in a calm period.
const CALM_EVACUATION: Duration = Duration::from_secs(6);
/// Distinguishes the random choices of evacuations from all others of a seed, which thus stay the same as before
/// there were evacuations.
const EVACUATION_SEED: u64 = 0x65_7661_6375;
/// Share of rounds in which the store returns from an older copy.
const RETURN_SHARE: f64 = 0.3;
/// Maximum age of the copy in milliseconds. With the time until what is lost is written again, the step is no
/// longer than a fault.
const MAX_COPY_AGE_MS: u64 = 1_200;
/// Distinguishes the random choices of returns of the store from all others of a seed.
const RETURN_SEED: u64 = 0x65_7261;
/// Share of the stops of a daemon that overlap with another stop.
const OVERLAP_SHARE: f64 = 0.5;
/// Maximum time between the signals of two stops that overlap, in milliseconds. Callers leave a daemon that is no longer
/// ready, so that a later signal finds few requests.
const MAX_OVERLAP_MS: u64 = 500;
/// Distinguishes the random choices of overlapping stops from all others of a seed.
const OVERLAP_SEED: u64 = 0x7374_6f70;

/// Share of the planned departures of a worker for which the store does an earlier status report late, and of calm
/// periods in which a worker leaves and an older copy of the store lists it again.
const OUTDATED_SHARE: f64 = 0.5;
/// Time from the departure to the late report in milliseconds. Until then all daemons have read the departure; it ends
/// before the worker is replaced.
const LATE_REPORT_MS: RangeInclusive<u64> = 800..=1_500;
/// Distinguishes the random choices of outdated entries from all others of a seed.
const OUTDATED_SEED: u64 = 0x6f_7574;

/// Failure mode of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// Requests are answered with status 503.
    Busy,
    /// Watches receive no events, then the store compacts its history.
    Compact,
    /// Connections are closed without an answer.
    Reset,
    /// Requests receive no answer.
    Silent,
    /// Answers are delayed by 200 ms.
    Slow,
}

/// A fault or a planned change. The first field is the index of the instance whose daemon or worker is
/// affected, the last one the duration of the fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The request rate is tripled.
    Burst(Duration),
    /// A new configuration is written to the store.
    Configure,
    /// The worker turns cold without a restart.
    CoolWorker(usize, Duration),
    /// Connections from other daemons to this one carry no data in one or both directions.
    CutPeer(usize, Direction, Duration),
    /// The zone with this index is evacuated for a time.
    Evacuate(usize, Duration),
    /// The worker is marked as leaving, continues to serve for a while, and is replaced.
    DrainWorker(usize),
    /// The daemon process is paused by a stop signal, then resumed.
    Pause(usize, Duration),
    /// The daemon process is killed and restarted.
    Kill(usize),
    /// The worker is terminated without notice and replaced after a delay.
    KillWorker(usize),
    /// Data on connections from other daemons to this one is delayed.
    SlowPeer(usize, Duration),
    /// A share of the worker's requests is handled incorrectly.
    FaultyWorker(usize, AnswerFault, Duration),
    /// The store does a status report late that the worker sent before it began to leave.
    ReportLate(usize),
    /// Open connections from other daemons to this one are closed.
    ResetPeers(usize),
    /// The worker's entry is removed and the worker serves on. The store returns from a copy that lists it, and the
    /// entry lapses.
    RetireWorker(usize),
    /// Open connections from other daemons to this one carry no more data; new connections work.
    StallPeers(usize),
    /// The service times of the worker are longer.
    SlowWorker(usize, Duration),
    /// The store returns from a copy of its contents that is this old; what it has lost is written again.
    ReturnStore(Duration),
    /// The store fails for all daemons.
    Store(StoreFault, Duration),
    /// The store fails for every third daemon.
    StorePart(StoreFault, Duration),
    /// The daemon process receives a termination signal and is restarted after it exits.
    Terminate(usize),
    /// The daemon process receives another termination signal, unless it has exited since the first one.
    TerminateAgain(usize),
}

/// Direction in which connections to a daemon carry no data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// Both directions.
    Both,
    /// From the daemon that accepted the connection.
    From,
    /// To the daemon that accepted the connection.
    To,
}

impl Step {
    /// Index of the instance whose daemon or worker is affected.
    fn instance(&self) -> Option<usize> {
        match self {
            Self::Burst(_)
            | Self::Configure
            | Self::Evacuate(..)
            | Self::ReturnStore(_)
            | Self::Store(..)
            | Self::StorePart(..) => None,
            Self::CutPeer(index, ..)
            | Self::DrainWorker(index)
            | Self::FaultyWorker(index, ..)
            | Self::Kill(index)
            | Self::KillWorker(index)
            | Self::Pause(index, _)
            | Self::CoolWorker(index, _)
            | Self::ReportLate(index)
            | Self::ResetPeers(index)
            | Self::RetireWorker(index)
            | Self::SlowPeer(index, _)
            | Self::SlowWorker(index, _)
            | Self::StallPeers(index)
            | Self::Terminate(index)
            | Self::TerminateAgain(index) => Some(*index),
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A step with its start time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimedStep {
    /// Time since the start of the test.
    pub at: Duration,
    /// Whether the step is a planned change in a calm period. A planned stop of a daemon must not fail
    /// requests.
    pub planned: bool,
    /// The fault or change.
    pub step: Step,
}

/// The steps of a soak test.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Start and end of each calm period, as time since the start of the test.
    pub calm: Vec<(Duration, Duration)>,
    /// Duration of the test.
    pub end: Duration,
    /// All steps, ordered by start time.
    pub steps: Vec<TimedStep>,
}

impl Plan {
    /// Generates the plan of a seed for this number of daemons. A round starts as long as `length`
    /// hasn't passed, and there is at least one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hawthornwall_soak::Plan;
    ///
    /// let plan = |seed| Plan::generate(seed, 5, Duration::from_secs(20));
    /// assert_eq!(plan(7), plan(7));
    /// assert_ne!(plan(7), plan(8));
    /// ```
    pub fn generate(seed: u64, daemons: usize, length: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut evacuations = StdRng::seed_from_u64(seed ^ EVACUATION_SEED);
        let mut cold = StdRng::seed_from_u64(seed ^ COLD_SEED);
        let mut returns = StdRng::seed_from_u64(seed ^ RETURN_SEED);
        let mut overlaps = StdRng::seed_from_u64(seed ^ OVERLAP_SEED);
        let mut outdated = StdRng::seed_from_u64(seed ^ OUTDATED_SEED);
        let (mut calm, mut steps) = (Vec::new(), Vec::new());
        let mut start = Duration::from_secs(1);
        while calm.is_empty() || start < length {
            for _ in 0..rng.random_range(2..=MAX_FAULTS) {
                let at = start + FAULT_PERIOD.mul_f64(rng.random());
                let step = random_fault(&mut rng, daemons);
                steps.push(TimedStep {
                    at,
                    planned: false,
                    step,
                });
            }
            let from = start + FAULT_PERIOD + Duration::from_millis(MAX_FAULT_MS) + RECOVERY_PERIOD;
            let mut planned = Vec::new();
            for _ in 0..rng.random_range(1..=MAX_PLANNED) {
                let at = from + CALM_PERIOD.mul_f64(rng.random_range(0.0..0.3));
                let step = random_planned(&mut rng, daemons);
                planned.push(TimedStep {
                    at,
                    planned: true,
                    step,
                });
            }
            planned.extend(random_retirement(&mut outdated, from, daemons, &planned));
            steps.extend(random_late_reports(&mut outdated, &planned));
            steps.extend(random_cold_times(&mut cold, daemons, start));
            steps.extend(random_return(&mut returns, start));
            steps.extend(random_evacuations(&mut evacuations, start));
            steps.extend(calm_evacuation(&mut evacuations, from, daemons, &planned));
            steps.extend(planned);
            calm.push((from, from + CALM_PERIOD));
            start = from + CALM_PERIOD;
        }
        steps.extend(random_overlaps(&mut overlaps, &steps));
        steps.sort_by_key(|step| step.at);
        Self {
            calm,
            end: start,
            steps,
        }
    }
}

fn random_fault(rng: &mut StdRng, daemons: usize) -> Step {
    let index = rng.random_range(0..daemons);
    let time = Duration::from_millis(rng.random_range(200..=MAX_FAULT_MS));
    match rng.random_range(0..15) {
        0 => Step::Burst(time),
        1 => Step::Configure,
        2 => Step::CutPeer(
            index,
            pick(rng, &[Direction::Both, Direction::From, Direction::To]),
            time,
        ),
        3 => Step::DrainWorker(index),
        4 => Step::Pause(index, time),
        5 | 6 => Step::Kill(index),
        7 => Step::KillWorker(index),
        8 => Step::SlowPeer(index, time),
        9 => Step::ResetPeers(index),
        10 => Step::StallPeers(index),
        11 => Step::SlowWorker(index, time),
        12 => Step::Store(random_store_fault(rng), time),
        13 => Step::StorePart(random_store_fault(rng), time),
        _ => {
            let answer_faults = [
                AnswerFault::AnswerLost,
                AnswerFault::Close,
                AnswerFault::Error,
                AnswerFault::Extra,
                AnswerFault::Hang,
                AnswerFault::Shed,
                AnswerFault::Truncate,
                AnswerFault::Unframed,
            ];
            Step::FaultyWorker(index, pick(rng, &answer_faults), time)
        }
    }
}

fn random_planned(rng: &mut StdRng, daemons: usize) -> Step {
    let index = rng.random_range(0..daemons);
    pick(
        rng,
        &[
            Step::Configure,
            Step::DrainWorker(index),
            Step::Terminate(index),
        ],
    )
}

/// Cold times of workers that begin among the faults.
fn random_cold_times(rng: &mut StdRng, daemons: usize, start: Duration) -> Vec<TimedStep> {
    let count = rng.random_range(0..=MAX_COLD_TIMES);
    let cold_time = |_| {
        let time = Duration::from_millis(rng.random_range(MIN_COLD_MS..=MAX_FAULT_MS));
        TimedStep {
            at: start + FAULT_PERIOD.mul_f64(rng.random()),
            planned: false,
            step: Step::CoolWorker(rng.random_range(0..daemons), time),
        }
    };
    (0..count).map(cold_time).collect()
}

/// Further termination signals for a share of the stops of daemons.
fn random_overlaps(rng: &mut StdRng, steps: &[TimedStep]) -> Vec<TimedStep> {
    let mut overlaps = Vec::new();
    for timed in steps {
        let Step::Terminate(index) = timed.step else {
            continue;
        };
        if rng.random_bool(OVERLAP_SHARE) {
            overlaps.push(TimedStep {
                at: timed.at + Duration::from_millis(rng.random_range(1..=MAX_OVERLAP_MS)),
                planned: timed.planned,
                step: Step::TerminateAgain(index),
            });
        }
    }
    overlaps
}

/// Whether a planned step restarts a daemon. A daemon that starts knows no departure from before that, so that it follows
/// an outdated entry.
fn restarts_daemon(planned: &[TimedStep]) -> bool {
    let restarts = |timed: &TimedStep| matches!(timed.step, Step::Terminate(_));
    planned.iter().any(restarts)
}

/// Instances that a planned step affects.
fn affected(planned: &[TimedStep]) -> BTreeSet<usize> {
    planned.iter().filter_map(|p| p.step.instance()).collect()
}

/// Late status reports of a share of the workers that leave in a calm period.
fn random_late_reports(rng: &mut StdRng, planned: &[TimedStep]) -> Vec<TimedStep> {
    let mut reports = Vec::new();
    for timed in planned.iter().filter(|_| !restarts_daemon(planned)) {
        let Step::DrainWorker(index) = timed.step else {
            continue;
        };
        if rng.random_bool(OUTDATED_SHARE) {
            reports.push(TimedStep {
                at: timed.at + Duration::from_millis(rng.random_range(LATE_REPORT_MS)),
                planned: true,
                step: Step::ReportLate(index),
            });
        }
    }
    reports
}

/// A worker that leaves at the start of a calm period while the store returns from an older copy, if its service keeps a
/// worker that no other planned change affects.
fn random_retirement(
    rng: &mut StdRng,
    from: Duration,
    daemons: usize,
    planned: &[TimedStep],
) -> Option<TimedStep> {
    let affected = affected(planned);
    let unaffected = || (0..daemons).filter(|n| !affected.contains(n));
    let replaceable =
        |index: &usize| unaffected().any(|n| n != *index && service(n) == service(*index));
    let indices: Vec<_> = unaffected().filter(replaceable).collect();
    let index = *indices.choose(rng)?;
    let configures = planned.iter().any(|p| p.step == Step::Configure);
    let allowed = !configures && !restarts_daemon(planned);
    (allowed && rng.random_bool(OUTDATED_SHARE)).then_some(TimedStep {
        at: from,
        planned: true,
        step: Step::RetireWorker(index),
    })
}

/// Evacuations that begin among the faults and are revoked before the calm period; several may be in force at
/// once.
fn random_evacuations(rng: &mut StdRng, start: Duration) -> Vec<TimedStep> {
    let count = rng.random_range(0..=MAX_EVACUATIONS);
    let evacuation = |_| {
        let time = Duration::from_millis(rng.random_range(1_000..=MAX_EVACUATION_MS));
        TimedStep {
            at: start + FAULT_PERIOD.mul_f64(rng.random()),
            planned: false,
            step: Step::Evacuate(rng.random_range(0..ZONES.len()), time),
        }
    };
    (0..count).map(evacuation).collect()
}

/// A return of the store from an older copy among the faults, in a share of the rounds.
fn random_return(rng: &mut StdRng, start: Duration) -> Option<TimedStep> {
    let returns = rng.random_bool(RETURN_SHARE);
    returns.then(|| TimedStep {
        at: start + FAULT_PERIOD.mul_f64(rng.random()),
        planned: false,
        step: Step::ReturnStore(Duration::from_millis(
            rng.random_range(200..=MAX_COPY_AGE_MS),
        )),
    })
}

/// The evacuation of a calm period, which begins in it or among the faults before it. Each service keeps a target
/// that neither the evacuation nor a planned change affects; `None` if there is no such zone.
fn calm_evacuation(
    rng: &mut StdRng,
    from: Duration,
    daemons: usize,
    planned: &[TimedStep],
) -> Option<TimedStep> {
    let affected = affected(planned);
    let serves = |name: &str, evacuated: usize| {
        let mut others = (0..daemons).filter(|n| !affected.contains(n));
        others.any(|n| service(n) == name && zone(n) != evacuated)
    };
    let usable = |zone: &usize| SERVICES.iter().all(|name| serves(name, *zone));
    let zones: Vec<_> = (0..ZONES.len()).filter(usable).collect();
    let zone = *zones.choose(rng)?;
    let from = from + CALM_PERIOD.mul_f64(rng.random_range(0.0..0.3));
    let early = if rng.random() {
        (RECOVERY_PERIOD + FAULT_PERIOD).mul_f64(rng.random())
    } else {
        Duration::ZERO
    };
    Some(TimedStep {
        at: from.saturating_sub(early),
        planned: true,
        step: Step::Evacuate(zone, early + CALM_EVACUATION),
    })
}

fn random_store_fault(rng: &mut StdRng) -> StoreFault {
    let faults = [
        StoreFault::Busy,
        StoreFault::Compact,
        StoreFault::Reset,
        StoreFault::Silent,
        StoreFault::Slow,
    ];
    pick(rng, &faults)
}

fn pick<T: Copy>(rng: &mut StdRng, all: &[T]) -> T {
    *all.choose(rng).expect("the list of choices isn't empty")
}
