//! Whether the target's machine works at its usual speed at this moment.
//!
//! Targets share their machines with others, so that work takes several times as long for some tenths
//! of a second. Work that starts in such a time is slow to its end, although the machine recovers
//! long before. The gate therefore asks the target just before work starts, and lets it wait or go
//! elsewhere while the machine is strained.

use std::time::Duration;

use crate::load::TargetLoad;
use crate::time::Time;

/// Age at which what the target said of its machine no longer counts. Strain comes and goes within
/// tenths of a second.
const FRESH: Duration = Duration::from_millis(10);
/// Pause before a strained target is asked again.
const RECHECK: Duration = Duration::from_millis(15);
/// A target that doesn't answer within this time is treated as one that works as usual.
const ANSWER_LIMIT: Duration = Duration::from_millis(25);
/// Percent of the usual time from which a machine counts as strained.
const STRAINED: u32 = 150;
/// The usual time that work takes, in percent.
const USUAL: u32 = 100;

/// What holds for work that could start now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    /// It may start.
    Calm,
    /// The target is to be asked first, or has been asked.
    Unknown,
    /// It would take this many percent of the usual time.
    Strained(u32),
}

/// What is known of the target's machine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Strain {
    asked: Option<Time>,
    /// Whether the target states its load at all.
    enabled: bool,
    /// Whether requests wait for the machine to recover, or for word of it, although slots are free.
    pub holding: bool,
    seen: Option<(TargetLoad, Time)>,
}

impl Strain {
    /// Begins to ask the target before work starts.
    pub fn enable(&mut self) {
        self.enabled = true;
    }

    /// Takes in what the target said.
    pub fn note(&mut self, load: TargetLoad, now: Time) {
        self.seen = Some((load, now));
    }

    /// Takes in that a question has ended, with or without an answer.
    pub fn answered(&mut self, load: Option<TargetLoad>, now: Time) {
        self.asked = None;
        let usual = TargetLoad {
            slowdown: USUAL,
            ..TargetLoad::default()
        };
        self.note(load.unwrap_or(usual), now);
    }

    /// What holds at this moment.
    pub fn verdict(&self, now: Time) -> Verdict {
        if !self.enabled {
            return Verdict::Calm;
        }
        if self.asked.is_some_and(|at| now - at >= ANSWER_LIMIT) {
            return Verdict::Calm;
        }
        match self.seen {
            Some((load, at)) if load.slowdown >= STRAINED && now - at < RECHECK => {
                Verdict::Strained(load.slowdown)
            }
            Some((load, at)) if load.slowdown < STRAINED && now - at < FRESH => Verdict::Calm,
            Some(_) | None => Verdict::Unknown,
        }
    }

    /// Whether the target must be asked now; it counts as asked from then on.
    pub fn ask(&mut self, now: Time) -> bool {
        let ask = self.asked.is_none();
        if ask {
            self.asked = Some(now);
        }
        ask
    }

    /// Whether the target last said that work takes longer than usual.
    pub fn is_strained(&self) -> bool {
        self.seen.is_some_and(|(load, _)| load.slowdown >= STRAINED)
    }

    /// The last statement and when it was made, in percent of the usual time.
    pub fn slowdown(&self) -> Option<(u32, Time)> {
        self.seen.map(|(load, at)| (load.slowdown, at))
    }

    /// How long work that usually takes `service` may wait for the machine to recover. Waiting longer
    /// than starting at once would cost gains nothing.
    pub fn hold_limit(service: Duration, slowdown: u32) -> Duration {
        service.mul_f64(f64::from(slowdown.saturating_sub(USUAL)) / f64::from(USUAL))
    }
}
