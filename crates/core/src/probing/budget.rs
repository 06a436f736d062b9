//! Two token buckets: one counts probes, one the slot time that they take.

use std::time::Duration;

use crate::time::Time;

/// The span that the limits refer to, in microseconds.
const SPAN_US: u64 = 100_000_000;
/// Hundredths of a percent in the whole.
const WHOLE: u64 = 10_000;
const QUARTERS: u64 = 4;

/// Agreed limits of measuring one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbeLimits {
    /// Probes in each 100 seconds.
    pub per_100s: u32,
    /// Share of the target's slot time, in hundredths of a percent.
    pub slot_share: u32,
    /// Slots of the target.
    pub slots: u32,
}

/// The answer to a wish to probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The probe may start and must be ended by [`ProbeBudget::end`].
    Granted,
    /// Enough probes were made.
    SkippedCount,
    /// Enough slot time was taken.
    SkippedTime,
}

/// What was spent and skipped since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProbeCounts {
    /// Probes granted.
    pub granted: u64,
    /// Probes not made since the budget was spent.
    pub skipped: u64,
    /// Slot time taken by probes.
    pub time: Duration,
}

/// The budget for measuring the local target.
///
/// A quarter of the allowance for 100 seconds may be saved up and the rest accrues evenly, so no span
/// of 100 seconds exceeds the allowance. A probe reserves the longest time that it may take; what it
/// didn't need is returned when it ends.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::probing::{Permit, ProbeBudget, ProbeLimits};
/// use hawthornwall_core::time::Time;
///
/// let limits = ProbeLimits { per_100s: 4, slot_share: 10, slots: 10 };
/// let mut budget = ProbeBudget::new(limits, Time::ZERO);
/// let longest = Duration::from_millis(50);
/// assert_eq!(budget.ask(longest, Time::ZERO), Permit::Granted);
/// budget.end(longest, Duration::from_millis(2));
/// assert_eq!(budget.ask(longest, Time::ZERO), Permit::SkippedCount);
/// ```
#[derive(Clone, Debug)]
pub struct ProbeBudget {
    count: Bucket,
    counts: ProbeCounts,
    last: Time,
    limits: ProbeLimits,
    time: Bucket,
}

impl ProbeBudget {
    /// A budget with its saved-up part full.
    pub fn new(limits: ProbeLimits, now: Time) -> Self {
        Self {
            count: Bucket::of_count(u64::from(limits.per_100s)),
            counts: ProbeCounts::default(),
            last: now,
            limits,
            time: Bucket::of_time(&limits),
        }
    }

    /// Takes in that the target has another number of slots.
    pub fn set_slots(&mut self, slots: u32, now: Time) {
        if slots == self.limits.slots {
            return;
        }
        self.accrue(now);
        self.limits.slots = slots;
        let tokens = self.time.tokens;
        self.time = Bucket::of_time(&self.limits);
        self.time.tokens = self.time.tokens.min(tokens);
    }

    /// Asks for a probe that is cut off after `longest`.
    pub fn ask(&mut self, longest: Duration, now: Time) -> Permit {
        self.accrue(now);
        let time = time_cost(longest);
        let permit = if self.count.tokens < QUARTERS * SPAN_US {
            Permit::SkippedCount
        } else if self.time.tokens < time {
            Permit::SkippedTime
        } else {
            Permit::Granted
        };
        match permit {
            Permit::Granted => {
                self.count.tokens -= QUARTERS * SPAN_US;
                self.time.tokens -= time;
                self.counts.granted += 1;
                self.counts.time += longest;
            }
            Permit::SkippedCount | Permit::SkippedTime => self.counts.skipped += 1,
        }
        permit
    }

    /// Ends a granted probe that reserved `longest` and took `took`.
    pub fn end(&mut self, longest: Duration, took: Duration) {
        let unused = longest.saturating_sub(took);
        let tokens = time_cost(unused);
        self.time.tokens = (self.time.tokens + tokens).min(self.time.capacity);
        self.counts.time = self.counts.time.saturating_sub(unused);
    }

    /// The longest probe that can ever be granted; one that may take longer never is.
    pub fn longest(&self) -> Duration {
        Duration::from_micros(self.time.capacity / (QUARTERS * WHOLE))
    }

    /// What was spent and skipped.
    pub fn counts(&self) -> ProbeCounts {
        self.counts
    }

    /// Broken invariants.
    pub fn verify(&self) -> Vec<String> {
        let buckets = [("probes", &self.count), ("slot time", &self.time)];
        let over = buckets.iter().filter(|(_, b)| b.tokens > b.capacity);
        over.map(|(name, _)| format!("more {name} saved up than allowed"))
            .collect()
    }

    fn accrue(&mut self, now: Time) {
        let elapsed = micros(now - self.last);
        self.last = self.last.max(now);
        self.count.accrue(elapsed);
        self.time.accrue(elapsed);
    }
}

/// Tokens are quarters, so that a quarter of any allowance is a whole number.
#[derive(Clone, Debug)]
struct Bucket {
    capacity: u64,
    /// Tokens gained in each microsecond.
    rate: u64,
    tokens: u64,
}

impl Bucket {
    /// A quarter of the allowance, but at least one probe, is saved up.
    fn of_count(allowance: u64) -> Self {
        match allowance {
            0 => Self::full(0, 0),
            1..4 => Self::full(QUARTERS * SPAN_US, QUARTERS * (allowance - 1).max(1)),
            _ => Self::full(allowance * SPAN_US, (QUARTERS - 1) * allowance),
        }
    }

    fn of_time(limits: &ProbeLimits) -> Self {
        let allowance = u64::from(limits.slots) * u64::from(limits.slot_share);
        Self::full(
            allowance.saturating_mul(SPAN_US),
            (QUARTERS - 1) * allowance,
        )
    }

    fn full(capacity: u64, rate: u64) -> Self {
        Self {
            capacity,
            rate,
            tokens: capacity,
        }
    }

    fn accrue(&mut self, micros: u64) {
        let gained = self.rate.saturating_mul(micros);
        self.tokens = self.tokens.saturating_add(gained).min(self.capacity);
    }
}

fn time_cost(span: Duration) -> u64 {
    micros(span).saturating_mul(QUARTERS * WHOLE)
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
