//! Two token buckets that limit the number of probes and the slot time that they use.

use std::time::Duration;

use crate::time::Time;

/// The period that the limits refer to, in microseconds.
const PERIOD_US: u64 = 100_000_000;
/// One hundred percent in hundredths of a percent.
const HUNDRED_PERCENT: u64 = 10_000;
/// Tokens are counted in quarters, so that a quarter of any allowance is a whole number.
const QUARTERS: u64 = 4;

/// The limits on probes of one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbeLimits {
    /// Maximum number of probes in any 100 seconds; 0 disables probes.
    pub per_100s: u32,
    /// Maximum share of the target's slot time, in hundredths of a percent.
    pub slot_share: u32,
    /// Number of slots of the target.
    pub slots: u32,
}

/// The decision on a requested probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The probe may start; [`ProbeBudget::end`] must be called when it ends.
    Granted,
    /// The limit on the number of probes is reached.
    SkippedCount,
    /// The remaining slot time is less than the probe may take.
    SkippedTime,
}

/// Numbers of granted and denied probes, and their slot time, since the budget was created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProbeCounts {
    /// Number of granted probes.
    pub granted: u64,
    /// Number of probes denied by either limit.
    pub skipped: u64,
    /// Slot time used by ended probes and reserved by running ones.
    pub time: Duration,
}

/// The budget for probes of the local target.
///
/// Each bucket holds at most a quarter of the allowance for 100 seconds, or one probe if that is
/// more. The rest of the allowance accrues evenly, so no period of 100 seconds exceeds the
/// allowance. A probe reserves the longest time that it may take; the unused part is returned when
/// it ends.
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
    count_bucket: Bucket,
    counts: ProbeCounts,
    last: Time,
    limits: ProbeLimits,
    time_bucket: Bucket,
}

impl ProbeBudget {
    /// Creates a budget with full buckets.
    pub fn new(limits: ProbeLimits, now: Time) -> Self {
        Self {
            count_bucket: Bucket::of_count(u64::from(limits.per_100s)),
            counts: ProbeCounts::default(),
            last: now,
            limits,
            time_bucket: Bucket::of_time(&limits),
        }
    }

    /// Adapts the slot time to a new number of slots. Saved tokens never increase by this.
    pub fn set_slots(&mut self, slots: u32, now: Time) {
        if slots == self.limits.slots {
            return;
        }
        self.accrue(now);
        self.limits.slots = slots;
        let tokens = self.time_bucket.tokens;
        self.time_bucket = Bucket::of_time(&self.limits);
        self.time_bucket.tokens = self.time_bucket.tokens.min(tokens);
    }

    /// Requests a probe that is aborted after `longest`, and reserves that time if it is granted.
    pub fn ask(&mut self, longest: Duration, now: Time) -> Permit {
        self.accrue(now);
        let time = time_cost(longest);
        let permit = if self.count_bucket.tokens < QUARTERS * PERIOD_US {
            Permit::SkippedCount
        } else if self.time_bucket.tokens < time {
            Permit::SkippedTime
        } else {
            Permit::Granted
        };
        match permit {
            Permit::Granted => {
                self.count_bucket.tokens -= QUARTERS * PERIOD_US;
                self.time_bucket.tokens -= time;
                self.counts.granted += 1;
                self.counts.time += longest;
            }
            Permit::SkippedCount | Permit::SkippedTime => self.counts.skipped += 1,
        }
        permit
    }

    /// Returns the unused time of a granted probe that reserved `longest` and ran for `took`.
    pub fn end(&mut self, longest: Duration, took: Duration) {
        let unused = longest.saturating_sub(took);
        let tokens = time_cost(unused);
        self.time_bucket.tokens = (self.time_bucket.tokens + tokens).min(self.time_bucket.capacity);
        self.counts.time = self.counts.time.saturating_sub(unused);
    }

    /// The longest time that a probe can reserve; a longer request is always denied.
    pub fn longest(&self) -> Duration {
        Duration::from_micros(self.time_bucket.capacity / (QUARTERS * HUNDRED_PERCENT))
    }

    /// Numbers of probes and their slot time since the budget was created.
    pub fn counts(&self) -> ProbeCounts {
        self.counts
    }

    /// Describes each violated invariant; empty if there is none.
    pub fn verify(&self) -> Vec<String> {
        let buckets = [
            ("probes", &self.count_bucket),
            ("slot time", &self.time_bucket),
        ];
        let over = buckets.iter().filter(|(_, b)| b.tokens > b.capacity);
        over.map(|(name, _)| format!("the bucket of {name} exceeds its capacity"))
            .collect()
    }

    fn accrue(&mut self, now: Time) {
        let elapsed = micros(now - self.last);
        self.last = self.last.max(now);
        self.count_bucket.accrue(elapsed);
        self.time_bucket.accrue(elapsed);
    }
}

/// A token bucket; see [`QUARTERS`] for the unit.
#[derive(Clone, Debug)]
struct Bucket {
    capacity: u64,
    /// Tokens added per microsecond.
    rate: u64,
    tokens: u64,
}

impl Bucket {
    /// A bucket for `allowance` probes. It holds a quarter of them, but at least one probe.
    fn of_count(allowance: u64) -> Self {
        match allowance {
            0 => Self::full(0, 0),
            1..4 => Self::full(QUARTERS * PERIOD_US, QUARTERS * (allowance - 1).max(1)),
            _ => Self::full(allowance * PERIOD_US, (QUARTERS - 1) * allowance),
        }
    }

    fn of_time(limits: &ProbeLimits) -> Self {
        let allowance = u64::from(limits.slots) * u64::from(limits.slot_share);
        Self::full(
            allowance.saturating_mul(PERIOD_US),
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

fn time_cost(duration: Duration) -> u64 {
    micros(duration).saturating_mul(QUARTERS * HUNDRED_PERCENT)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
