//! When an endpoint of the platform is read, and the resulting read rate of the fleet.

use std::fmt;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::GossipSettings;
use crate::time::Time;

/// Time for which the platform holds a watch open.
///
/// A dead connection is detected only at the end of a watch, and until then a change reaches this watcher
/// late. 2 s keep that delay far below the 12 s allowed, at 12 watch renewals a second over 12 watchers and
/// 2 endpoints.
pub(super) const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Mean time between two reads of a daemon that does not watch.
pub(super) const FALLBACK_READ_INTERVAL: Duration = Duration::from_mins(5);
/// Least time between the starts of two reads, which limits the rate if the platform ignores the wait.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Time over which daemons that become watchers at the same time distribute their first read.
const TAKEOVER_WINDOW: Duration = Duration::from_millis(200);
/// First and longest backoff after failed reads of a daemon that watches.
const WATCH_BACKOFF: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(4));
/// First and longest backoff after failed reads of a daemon that does not watch. The first is 2 s: when a
/// fleet of 540 started while the platform was down, a first backoff of 1 s led to 1,107 reads between
/// 1 s and 2 s after the start.
const POLL_BACKOFF: (Duration, Duration) = (Duration::from_secs(2), Duration::from_mins(1));

/// An endpoint of the hosting platform that daemons read.
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

/// How often a daemon reads an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReadMode {
    /// Rarely, as a fallback if updates from peers are lost.
    Rare,
    /// About once per this duration, because the daemon has no configuration yet.
    Start(Duration),
    /// Each read directly after the previous one.
    Watch,
}

/// Schedule of the reads of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct Reads {
    /// When the next read starts, unless one is pending.
    pub(super) due: Time,
    failures: u32,
    pub(super) pending: bool,
    started: Time,
}

impl Reads {
    pub(super) fn new(due: Time) -> Self {
        Self {
            due,
            failures: 0,
            pending: false,
            started: Time::ZERO,
        }
    }

    /// Starts the read if it is due; returns how long the platform may hold it open.
    pub(super) fn start(&mut self, mode: ReadMode, now: Time) -> Option<Duration> {
        if self.pending || now < self.due {
            return None;
        }
        self.pending = true;
        self.started = now;
        // After a failure the current state is read at once instead of watching for a change.
        let watch = mode == ReadMode::Watch && self.failures == 0;
        Some(if watch { WATCH_WAIT } else { Duration::ZERO })
    }

    /// Schedules the next read after one has ended.
    pub(super) fn end(&mut self, ok: bool, mode: ReadMode, now: Time, rng: &mut impl Rng) {
        self.pending = false;
        self.failures = if ok {
            0
        } else {
            self.failures.saturating_add(1)
        };
        self.due = match (ok, mode) {
            (true, ReadMode::Watch) => now.max(self.started + MIN_READ_INTERVAL),
            (true, ReadMode::Rare) => {
                now + FALLBACK_READ_INTERVAL.mul_f64(rng.random_range(0.5..1.5))
            }
            (true, ReadMode::Start(wait)) => now + wait.mul_f64(rng.random_range(0.5..1.5)),
            (false, ReadMode::Watch) => now + backoff(WATCH_BACKOFF, self.failures, rng),
            (false, ReadMode::Rare | ReadMode::Start(_)) => {
                now + backoff(POLL_BACKOFF, self.failures, rng)
            }
        };
    }

    /// Moves the next read to a random point within `window`, unless it is due earlier.
    pub(super) fn bring_forward(&mut self, window: Duration, now: Time, rng: &mut impl Rng) {
        self.due = self.due.min(now + window.mul_f64(rng.random()));
    }

    pub(super) fn take_over(&mut self, now: Time, rng: &mut impl Rng) {
        self.bring_forward(TAKEOVER_WINDOW, now, rng);
    }
}

/// Doubles from the first to the second of `bounds`, with a random factor between 0.5 and 1.
pub(super) fn backoff(bounds: (Duration, Duration), failures: u32, rng: &mut impl Rng) -> Duration {
    let doubled = bounds
        .0
        .saturating_mul(1 << failures.saturating_sub(1).min(16));
    doubled.min(bounds.1).mul_f64(rng.random_range(0.5..1.0))
}

/// The size of a fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fleet {
    /// Number of daemons in all failure domains.
    pub daemons: u32,
    /// Number of failure domains.
    pub domains: u32,
}

/// Reads of the platform per second by the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadRates {
    /// While the platform does not respond and no daemon has a configuration.
    pub outage: f64,
    /// In the first seconds, if all daemons start at once.
    pub start: f64,
    /// In steady state.
    pub steady: f64,
}

/// Expected reads of the platform per second, where a pending watch counts as one.
///
/// ```
/// use hawthornwall_core::gossip::{Fleet, GossipSettings, platform_reads};
///
/// let fleet = Fleet { daemons: 540, domains: 6 };
/// let rates = platform_reads(fleet, &GossipSettings::default());
/// assert!(rates.steady < 50.0 && rates.start < 700.0);
/// ```
pub fn platform_reads(fleet: Fleet, settings: &GossipSettings) -> ReadRates {
    const ENDPOINTS: f64 = 2.0;
    let daemons = f64::from(fleet.daemons);
    let watchers = (settings.watchers as f64 * f64::from(fleet.domains)).min(daemons);
    // A watch is one pending read, plus one read at each renewal.
    let watch = 1.0 + 1.0 / WATCH_WAIT.as_secs_f64();
    let steady = ENDPOINTS
        * (watchers * watch + (daemons - watchers) / FALLBACK_READ_INTERVAL.as_secs_f64());
    let window = settings
        .start_wait
        .as_secs_f64()
        .max(MIN_READ_INTERVAL.as_secs_f64());
    // A backoff is on average three quarters of its bound.
    let retry = |bound: Duration| 1.0 / (0.75 * bound.as_secs_f64());
    let outage = watchers * retry(WATCH_BACKOFF.1) + (daemons - watchers) * retry(POLL_BACKOFF.1);
    ReadRates {
        outage: ENDPOINTS * outage,
        start: ENDPOINTS * daemons / window + steady,
        steady,
    }
}
