//! Detection of a slow machine under the target.
//!
//! Targets share their machines with other programs, which can make requests take several times as
//! long for some tenths of a second. A request that starts in such a period is slow until its end,
//! although the machine recovers long before. The gate therefore queries the target's load just
//! before it starts requests. While the machine is strained, they wait or are refused so that their
//! senders can try another target.

use std::time::Duration;

use crate::load::TargetLoad;
use crate::time::Time;

/// Age from which the last reported load is ignored. Strain comes and goes within tenths of a
/// second.
const LOAD_MAX_AGE: Duration = Duration::from_millis(10);
/// Time after a report of strain before the load is checked again.
const RECHECK_BACKOFF: Duration = Duration::from_millis(15);
/// Time without an answer after which requests start as if the machine ran at its usual speed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(25);
/// Slowdown from which a machine counts as strained, in percent of the usual service time.
const STRAINED_PERCENT: u32 = 150;
/// Slowdown of a machine at its usual speed, in percent.
const USUAL_PERCENT: u32 = 100;

/// Whether a request may start now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    /// The machine runs at its usual speed, or its load can't be determined; the request may start.
    Normal,
    /// There is no recent report; a load check must finish first.
    Unknown,
    /// A request that starts now would take this many percent of the usual service time.
    Strained(u32),
}

/// The last reported load of the target, and the load check in progress.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Strain {
    check_sent: Option<Time>,
    /// Whether the load is checked before requests start; set for targets with a load endpoint.
    enabled: bool,
    /// Whether requests wait for the machine to recover, or for a load check, although slots are
    /// free.
    pub holding: bool,
    latest: Option<(TargetLoad, Time)>,
}

impl Strain {
    /// Enables load checks before requests start.
    pub fn enable(&mut self) {
        self.enabled = true;
    }

    /// Records a load that the target reported.
    pub fn observe(&mut self, load: TargetLoad, now: Time) {
        self.latest = Some((load, now));
    }

    /// Records the end of a load check. Without an answer the machine counts as running at its
    /// usual speed.
    pub fn finish_check(&mut self, load: Option<TargetLoad>, now: Time) {
        self.check_sent = None;
        let usual = TargetLoad {
            slowdown: USUAL_PERCENT,
            ..TargetLoad::default()
        };
        self.observe(load.unwrap_or(usual), now);
    }

    /// Whether a request may start at `now`.
    pub fn verdict(&self, now: Time) -> Verdict {
        if !self.enabled {
            return Verdict::Normal;
        }
        if self.check_sent.is_some_and(|at| now - at >= CHECK_TIMEOUT) {
            return Verdict::Normal;
        }
        match self.latest {
            Some((load, at)) if load.slowdown >= STRAINED_PERCENT && now - at < RECHECK_BACKOFF => {
                Verdict::Strained(load.slowdown)
            }
            Some((load, at)) if load.slowdown < STRAINED_PERCENT && now - at < LOAD_MAX_AGE => {
                Verdict::Normal
            }
            Some(_) | None => Verdict::Unknown,
        }
    }

    /// Whether a load check must be sent now. If so, it is recorded as sent.
    pub fn begin_check(&mut self, now: Time) -> bool {
        let begin_check = self.check_sent.is_none();
        if begin_check {
            self.check_sent = Some(now);
        }
        begin_check
    }

    /// Whether a load check is in progress.
    pub fn is_checking(&self) -> bool {
        self.check_sent.is_some()
    }

    /// Whether the last reported load shows a strained machine.
    pub fn is_strained(&self) -> bool {
        self.latest
            .is_some_and(|(load, _)| load.slowdown >= STRAINED_PERCENT)
    }

    /// The last reported slowdown in percent of the usual service time, and when it was received.
    pub fn slowdown(&self) -> Option<(u32, Time)> {
        self.latest.map(|(load, at)| (load.slowdown, at))
    }

    /// Maximum time for which a request with a usual service time of `service` is held back on a
    /// strained machine. Beyond it, waiting costs more than starting at once would.
    pub fn max_hold(service: Duration, slowdown: u32) -> Duration {
        service
            .mul_f64(f64::from(slowdown.saturating_sub(USUAL_PERCENT)) / f64::from(USUAL_PERCENT))
    }
}
