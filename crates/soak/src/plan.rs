//! What happens in a soak, drawn from its seed.

use std::fmt;
use std::time::Duration;

use hawthornwall_testkit::worker::Quirk;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Time in which faults begin.
const FAULTS: Duration = Duration::from_secs(5);
/// Time after the last fault may have ended until the calm begins. The promises with a bound of time hold
/// three seconds after a fault; entries are back two seconds after an outage of the store.
const RECOVERY: Duration = Duration::from_millis(5_500);
/// Calm time, in which planned changes come.
const CALM: Duration = Duration::from_secs(7);
/// Longest fault.
const LONGEST_MS: u64 = 3_000;
/// Faults of one round.
const MOST_FAULTS: usize = 7;
/// Planned changes of one round.
const MOST_PLANNED: usize = 3;

/// How the store fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// It answers 503.
    Busy,
    /// Watches hear nothing, then the history is forgotten.
    Compact,
    /// It closes connections.
    Reset,
    /// It doesn't answer.
    Silent,
    /// It takes 200 ms longer.
    Slow,
}

/// Something that is done to the fleet. Daemons and workers go by their number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The load is three times as high.
    Burst(Duration),
    /// A new configuration.
    Configure,
    /// Connections between daemons and this one carry nothing in one direction or both.
    CutPeer(usize, Cut, Duration),
    /// The worker says that it leaves, serves a little longer, and is replaced.
    DrainWorker(usize),
    /// The process stands still.
    Freeze(usize, Duration),
    /// The process is killed and started again.
    Kill(usize),
    /// The worker is gone, and another one comes later.
    KillWorker(usize),
    /// Bytes between daemons and this one come later.
    SlowPeer(usize, Duration),
    /// The worker answers some requests wrongly.
    Spoil(usize, Quirk, Duration),
    /// Open connections of daemons to this one are reset.
    ResetPeers(usize),
    /// Open connections of daemons to this one carry nothing any more, new ones do.
    SilencePeers(usize),
    /// The worker is slower.
    SlowWorker(usize, Duration),
    /// The store fails for all.
    Store(StoreFault, Duration),
    /// The store turns every third daemon away.
    StorePart(StoreFault, Duration),
    /// The process is told to stop, and started again.
    Terminate(usize),
}

/// Which direction of a connection carries nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// Both.
    Both,
    /// From the daemon that was connected to.
    From,
    /// To it.
    To,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A step and when it is done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimedStep {
    /// Time since the start.
    pub at: Duration,
    /// Whether it is planned work in a calm time.
    pub planned: bool,
    /// The step.
    pub step: Step,
}

/// The steps of a soak in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Times at which calm begins and ends.
    pub calm: Vec<(Duration, Duration)>,
    /// When it ends.
    pub end: Duration,
    /// The steps.
    pub steps: Vec<TimedStep>,
}

impl Plan {
    /// The plan of a seed for so many daemons, in rounds until `length` is over.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hawthornwall_soak::Plan;
    ///
    /// let plan = |seed| Plan::draw(seed, 5, Duration::from_secs(20));
    /// assert_eq!(plan(7), plan(7));
    /// assert_ne!(plan(7), plan(8));
    /// ```
    pub fn draw(seed: u64, daemons: usize, length: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut calm, mut steps) = (Vec::new(), Vec::new());
        let mut start = Duration::from_secs(1);
        while calm.is_empty() || start < length {
            for _ in 0..rng.random_range(2..=MOST_FAULTS) {
                let at = start + FAULTS.mul_f64(rng.random());
                let step = draw_fault(&mut rng, daemons);
                steps.push(TimedStep {
                    at,
                    planned: false,
                    step,
                });
            }
            let from = start + FAULTS + Duration::from_millis(LONGEST_MS) + RECOVERY;
            for _ in 0..rng.random_range(1..=MOST_PLANNED) {
                let at = from + CALM.mul_f64(rng.random_range(0.0..0.3));
                let step = draw_planned(&mut rng, daemons);
                steps.push(TimedStep {
                    at,
                    planned: true,
                    step,
                });
            }
            calm.push((from, from + CALM));
            start = from + CALM;
        }
        steps.sort_by_key(|step| step.at);
        Self {
            calm,
            end: start,
            steps,
        }
    }
}

fn draw_fault(rng: &mut StdRng, daemons: usize) -> Step {
    let one = rng.random_range(0..daemons);
    let time = Duration::from_millis(rng.random_range(200..=LONGEST_MS));
    match rng.random_range(0..15) {
        0 => Step::Burst(time),
        1 => Step::Configure,
        2 => Step::CutPeer(one, pick(rng, &[Cut::Both, Cut::From, Cut::To]), time),
        3 => Step::DrainWorker(one),
        4 => Step::Freeze(one, time),
        5 | 6 => Step::Kill(one),
        7 => Step::KillWorker(one),
        8 => Step::SlowPeer(one, time),
        9 => Step::ResetPeers(one),
        10 => Step::SilencePeers(one),
        11 => Step::SlowWorker(one, time),
        12 => Step::Store(draw_store_fault(rng), time),
        13 => Step::StorePart(draw_store_fault(rng), time),
        _ => {
            let quirks = [
                Quirk::AnswerLost,
                Quirk::Close,
                Quirk::Error,
                Quirk::Extra,
                Quirk::Hang,
                Quirk::Shed,
                Quirk::Truncate,
                Quirk::Unframed,
            ];
            Step::Spoil(one, pick(rng, &quirks), time)
        }
    }
}

fn draw_planned(rng: &mut StdRng, daemons: usize) -> Step {
    let one = rng.random_range(0..daemons);
    pick(
        rng,
        &[
            Step::Configure,
            Step::DrainWorker(one),
            Step::Terminate(one),
        ],
    )
}

fn draw_store_fault(rng: &mut StdRng) -> StoreFault {
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
    *all.choose(rng).expect("there is something to choose from")
}
