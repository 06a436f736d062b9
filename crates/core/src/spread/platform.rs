//! When one endpoint of the platform is read, and what that adds up to over the fleet.

use std::fmt;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::SpreadSettings;
use crate::time::Time;

/// Time that the platform holds a watch open.
///
/// A connection that has gone silent is noticed only after it, and during that time a change reaches
/// this watcher late. 2 s keep that far below the 12 s allowed, for 12 watch renewals a second over
/// 12 watchers and 2 endpoints.
pub(super) const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Average time between two reads of a daemon that does not watch.
pub(super) const SAFETY_READ: Duration = Duration::from_mins(5);
/// Least time between the starts of two reads, in case the platform ignores the wait.
const READ_GAP: Duration = Duration::from_millis(100);
/// Time over which daemons that become watchers together spread their first read.
const TAKEOVER: Duration = Duration::from_millis(200);
const WATCH_BACKOFF: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(4));
/// Starts at 2 s: when a fleet of 540 starts while the platform is down, first retries after 1 s led
/// to 1,107 reads in the second second.
const OTHER_BACKOFF: (Duration, Duration) = (Duration::from_secs(2), Duration::from_mins(1));

/// What the platform publishes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Endpoint {
    /// The configuration document.
    Config,
    /// The list of instances.
    Instances,
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Config => "config",
            Self::Instances => "instances",
        })
    }
}

/// How often a daemon reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReadMode {
    /// As a safety net only.
    Rare,
    /// About once in this time, since it has no configuration yet.
    Start(Duration),
    /// Without a pause.
    Watch,
}

/// The reads of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct Reads {
    /// When the next one starts, unless one is pending.
    pub(super) due: Time,
    faults: u32,
    pub(super) pending: bool,
    started: Time,
}

impl Reads {
    pub(super) fn new(due: Time) -> Self {
        Self {
            due,
            faults: 0,
            pending: false,
            started: Time::ZERO,
        }
    }

    /// Starts the read if it is due; returns how long the platform may hold it.
    pub(super) fn start(&mut self, mode: ReadMode, now: Time) -> Option<Duration> {
        if self.pending || now < self.due {
            return None;
        }
        self.pending = true;
        self.started = now;
        // After a fault the state is read at once, not waited for.
        let watch = mode == ReadMode::Watch && self.faults == 0;
        Some(if watch { WATCH_WAIT } else { Duration::ZERO })
    }

    /// Plans the read after the one that ended.
    pub(super) fn end(&mut self, ok: bool, mode: ReadMode, now: Time, rng: &mut impl Rng) {
        self.pending = false;
        self.faults = if ok { 0 } else { self.faults.saturating_add(1) };
        self.due = match (ok, mode) {
            (true, ReadMode::Watch) => now.max(self.started + READ_GAP),
            (true, ReadMode::Rare) => now + SAFETY_READ.mul_f64(rng.random_range(0.5..1.5)),
            (true, ReadMode::Start(wait)) => now + wait.mul_f64(rng.random_range(0.5..1.5)),
            (false, ReadMode::Watch) => now + backoff(WATCH_BACKOFF, self.faults, rng),
            (false, ReadMode::Rare | ReadMode::Start(_)) => {
                now + backoff(OTHER_BACKOFF, self.faults, rng)
            }
        };
    }

    /// Brings the next read forward to a random point within `window`.
    pub(super) fn bring_forward(&mut self, window: Duration, now: Time, rng: &mut impl Rng) {
        self.due = self.due.min(now + window.mul_f64(rng.random()));
    }

    pub(super) fn take_over(&mut self, now: Time, rng: &mut impl Rng) {
        self.bring_forward(TAKEOVER, now, rng);
    }
}

/// Doubles from the first to the second of `bounds`, at random between half and all of it.
pub(super) fn backoff(bounds: (Duration, Duration), faults: u32, rng: &mut impl Rng) -> Duration {
    let doubled = bounds
        .0
        .saturating_mul(1 << faults.saturating_sub(1).min(16));
    doubled.min(bounds.1).mul_f64(rng.random_range(0.5..1.0))
}

/// The size of a fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fleet {
    /// All daemons.
    pub daemons: u32,
    /// Failure domains.
    pub domains: u32,
}

/// Reads of the platform a second over all readers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadRates {
    /// While the platform does not respond and no daemon has a configuration.
    pub outage: f64,
    /// In the first seconds, if all daemons start at once.
    pub start: f64,
    /// In steady state.
    pub steady: f64,
}

/// Expected reads of the platform a second, a pending watch counted as one.
///
/// ```
/// use hawthornwall_core::spread::{Fleet, SpreadSettings, platform_reads};
///
/// let fleet = Fleet { daemons: 540, domains: 6 };
/// let rates = platform_reads(fleet, &SpreadSettings::default());
/// assert!(rates.steady < 50.0 && rates.start < 700.0);
/// ```
pub fn platform_reads(fleet: Fleet, settings: &SpreadSettings) -> ReadRates {
    const ENDPOINTS: f64 = 2.0;
    let daemons = f64::from(fleet.daemons);
    let watchers = (settings.watchers as f64 * f64::from(fleet.domains)).min(daemons);
    // A watch is one pending read, and one more each time it is renewed.
    let watch = 1.0 + 1.0 / WATCH_WAIT.as_secs_f64();
    let steady = ENDPOINTS * (watchers * watch + (daemons - watchers) / SAFETY_READ.as_secs_f64());
    let window = settings
        .start_wait
        .as_secs_f64()
        .max(READ_GAP.as_secs_f64());
    // A backoff is on average three quarters of its bound.
    let retry = |bound: Duration| 1.0 / (0.75 * bound.as_secs_f64());
    let outage = watchers * retry(WATCH_BACKOFF.1) + (daemons - watchers) * retry(OTHER_BACKOFF.1);
    ReadRates {
        outage: ENDPOINTS * outage,
        start: ENDPOINTS * daemons / window + steady,
        steady,
    }
}
