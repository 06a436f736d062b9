//! When the store is read, and how.
//!
//! Rules kept here:
//! - the whole contents are read at the start, after any failure and after the history is lost, changes
//!   otherwise: a store that has just cut a watch may take another one that never hears anything;
//! - after failures the pauses double, and differ between daemons, so that a store that returns is
//!   not met by all at once;
//! - a failure is an outage of the store only once it has lasted [`OUTAGE`]: a single lost call says
//!   nothing of what happened meanwhile.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::time::Time;

/// First pause after a failed call; doubles with each further one.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
/// Longest pause while the store can't be reached. It must be noticed soon when it can: targets that
/// left meanwhile still get work.
const PAUSE_LIMIT: Duration = Duration::from_millis(400);
/// Longest pause while the store turns calls away, which it counts like served ones.
const REFUSED_LIMIT: Duration = Duration::from_millis(800);
/// Pause after a change before the next watch, for each target: every target changes its entry now and
/// then, and all daemons hear of each change, so that calls would grow with the square of the fleet.
const SETTLE_EACH: Duration = Duration::from_millis(16);
/// Longest such pause. A target serves for some two seconds after it has begun to leave.
const SETTLE_LIMIT: Duration = Duration::from_millis(1_200);
/// Time without a proper answer after which entries may have lapsed unseen. Entries lapse after
/// three missed heartbeats, so a shorter failure removes none.
const OUTAGE: Duration = Duration::from_secs(1);

/// The next call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// Read everything.
    Load,
    /// Wait for changes after a revision.
    Watch {
        /// The revision.
        after: u64,
    },
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// No answer.
    Failed,
    /// The history after the revision is no longer available.
    HistoryGone,
    /// The contents or changes up to a revision were read.
    Read {
        /// The revision.
        revision: u64,
    },
    /// The store has turned the call away.
    Refused,
}

/// What the end of a call means for the entries that it showed as gone.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Outage {
    /// When the store answered again after an outage.
    pub ended: Option<Time>,
    /// Whether the store has just answered again after failures.
    pub returned: bool,
}

/// Follows the contents of the store.
///
/// ```
/// use hawthornwall_core::catalog::{Call, CallEnd, Follower};
/// use hawthornwall_core::time::Time;
///
/// let mut follower = Follower::new(1);
/// assert_eq!(follower.next(), (Time::ZERO, Call::Load));
/// follower.end(CallEnd::Read { revision: 7 }, Time::ZERO);
/// assert_eq!(follower.next(), (Time::ZERO, Call::Watch { after: 7 }));
/// follower.end(CallEnd::HistoryGone, Time::ZERO);
/// assert_eq!(follower.next().1, Call::Load);
/// ```
#[derive(Clone, Debug)]
pub struct Follower {
    due: Time,
    failures: u32,
    /// The first failure since the last proper answer.
    failing: Option<Time>,
    outage_end: Option<Time>,
    revision: Option<u64>,
    rng: Pcg64Mcg,
    settle: Duration,
}

impl Follower {
    /// A follower that has read nothing.
    pub fn new(seed: u64) -> Self {
        Self {
            due: Time::ZERO,
            failures: 0,
            failing: None,
            outage_end: None,
            revision: None,
            rng: Pcg64Mcg::seed_from_u64(seed),
            settle: Duration::ZERO,
        }
    }

    /// Takes over how many targets are known.
    pub fn set_targets(&mut self, targets: usize) {
        let targets = u32::try_from(targets).unwrap_or(u32::MAX);
        self.settle = SETTLE_EACH.saturating_mul(targets).min(SETTLE_LIMIT);
    }

    /// The next call and when it is due.
    pub fn next(&self) -> (Time, Call) {
        let call = match self.revision {
            Some(after) => Call::Watch { after },
            None => Call::Load,
        };
        (self.due, call)
    }

    /// Notes the end of a call.
    pub fn end(&mut self, end: CallEnd, now: Time) -> Outage {
        match end {
            CallEnd::Failed => self.fail(PAUSE_LIMIT, now),
            CallEnd::Refused => self.fail(REFUSED_LIMIT, now),
            CallEnd::HistoryGone => {
                self.revision = None;
                self.due = now;
                Outage::default()
            }
            CallEnd::Read { revision } => {
                // Changes since a load are asked for at once: none may be missed in between.
                let changed = self.revision.is_some_and(|known| known != revision);
                self.due = now + if changed { self.settle } else { Duration::ZERO };
                self.revision = Some(revision);
                self.recover(now)
            }
        }
    }

    fn fail(&mut self, limit: Duration, now: Time) -> Outage {
        self.failing.get_or_insert(now);
        self.revision = None;
        let pause = (PAUSE_FIRST * (1 << self.failures.min(8))).min(limit);
        self.failures += 1;
        self.due = now + pause.mul_f64(self.rng.random_range(0.5..1.0));
        Outage::default()
    }

    fn recover(&mut self, now: Time) -> Outage {
        let returned = self.failing.is_some();
        if self
            .failing
            .take()
            .is_some_and(|since| now - since >= OUTAGE)
        {
            self.outage_end = Some(now);
        }
        self.failures = 0;
        Outage {
            ended: self.outage_end,
            returned,
        }
    }
}
