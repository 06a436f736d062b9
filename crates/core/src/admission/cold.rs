//! The limit on requests while the target is cold.
//!
//! A target crashes if it gets many more requests per second than the operators allow for a cold one. It
//! states whether it is cold only in answers to load checks, so that it may be cold for some time before the
//! gate learns of it. All its requests pass through the gate beside it, which keeps the limit alone.
//!
//! Two counts are kept:
//! - *starts*: requests started in the last second and not proved warm. While the target is cold they are limited to
//!   the rate, and to [`BURST`] at a time, so that a request of a high rank soon gets its turn;
//! - *exposed* requests: those that the target may have received in the last second while cold, because it has
//!   not been proved warm since. A request counts from its start until a second after the target must have
//!   received it, which a pause of this process delays. The target shares the machine of this process.
//!
//! A request is proved warm by two load checks: one answered before its start, one sent after it. This requires
//! that a target that turns cold stays so for [`SHORTEST_COLD`].
//!
//! Invariants:
//! - in any second a target gets at most [`Quota::exposed`] requests while cold from one gate, and from two
//!   gates of which the second replaces the first at most [`OVER`] times the rate plus [`SLACK`];
//! - nothing is started on an answer older than [`ANSWER_MAX_AGE`] as if the target were warm;
//! - load checks are sent at least [`CHECK_INTERVAL`] apart, and [`INITIAL_CHECK_INTERVAL`] in the first second,
//!   so that with those of a predecessor there are fewer than 60 in any second.

use std::collections::VecDeque;
use std::time::Duration;

use super::WorkId;
use crate::catalog::ServiceLimits;
use crate::time::Time;

/// Requests in a second that may reach a cold target, as a multiple of its rate; agreed with the operators.
pub const OVER: f64 = 1.5;
/// Requests in a second that may reach a cold target beyond [`OVER`] times its rate; agreed with the operators.
pub const SLACK: f64 = 8.0;
/// Shortest time for which a target is cold. A shorter one could begin and end between two load checks.
pub const SHORTEST_COLD: Duration = Duration::from_secs(1);
/// Shortest time between two load checks. The platform allows 60 a second, and the probe budget of the settings
/// template gains 37.5 a second. A target that turns cold gets at most [`Quota::exposed`] requests in this time
/// and the duration of a check, 21 at a rate of 14 a second.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(27);
/// The same in the first second of a gate, whose predecessor may have sent load checks in that second.
pub const INITIAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Period of the limit. The excess over a second covers the time from a start to the writing of the request.
const WINDOW: Duration = Duration::from_millis(1_010);
/// Number of requests that may start at once at a cold target.
const BURST: usize = 2;
/// Requests per second while the rate is unknown. With it, [`SLACK`] alone covers this gate and its
/// predecessor, which may have sent five at the lowest rate.
const UNCONFIGURED: Quota = Quota {
    burst: 3,
    exposed: 3,
    initial: 3,
    interval: Duration::from_millis(333),
    starts: 3,
    window: WINDOW,
};
/// Error of the interval between requests, which is published in whole microseconds. Without it, seven requests a
/// second would count as six.
const INTERVAL_ERROR: Duration = Duration::from_micros(1);
/// Interval of load checks while requests start at a cold target, which may turn warm early.
const COLD_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the last answer, from the sending of its load check, from which a load check precedes a start.
const ANSWER_MAX_AGE: Duration = Duration::from_millis(60);
/// Time without an answer after which requests start as if the target were cold.
const CHECK_TIMEOUT: Duration = Duration::from_millis(25);
/// Time after a failed load check in which requests start as if the target were cold, before the next one.
const RETRY_INTERVAL: Duration = CHECK_INTERVAL;
/// Longest time from a start until the target has received the request, if neither is paused.
const TRANSIT: Duration = Duration::from_millis(5);
/// Time between two events above which this process may have been paused between a start and the writing of its
/// request.
const GAP: Duration = Duration::from_millis(3);
/// The same for a request that was already delayed so once. Events may always be a few milliseconds apart, and
/// a request that takes long would never count as received.
const LONG_GAP: Duration = Duration::from_millis(20);
/// Time in which the limit doubles after the target has turned warm, so that the load rises without a step.
const RAMP_DOUBLING: Duration = Duration::from_millis(250);
/// Time after which the limit no longer applies. It has then reached 64 times the rate.
const RAMP: Duration = Duration::from_millis(1_500);

/// Numbers of requests that a rate allows.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Quota {
    /// Number of requests that may start at once.
    burst: usize,
    /// Number of exposed requests; see the module.
    exposed: usize,
    /// Number of exposed requests while the requests of a predecessor may count too.
    initial: usize,
    /// Time between two requests at the rate.
    interval: Duration,
    /// Number of requests that start in a `window`.
    starts: usize,
    window: Duration,
}

impl Quota {
    /// The quota of a rate of one request per `interval`. What is allowed beyond the rate is divided between
    /// requests that were started before the target was found cold, and those of a predecessor.
    fn new(interval: Duration) -> Self {
        let rate = 1.0 / interval.as_secs_f64();
        let shortest = interval.saturating_sub(INTERVAL_ERROR).max(INTERVAL_ERROR);
        let starts = ((1.0 / shortest.as_secs_f64()) as usize).max(1);
        let beyond = ((OVER - 1.0) * rate + SLACK) as usize;
        let exposed = starts + beyond / 2;
        Self {
            burst: BURST.min(starts),
            exposed,
            initial: ((OVER * rate + SLACK) as usize).saturating_sub(exposed),
            interval,
            starts,
            window: WINDOW.max(interval),
        }
    }

    /// The quota at `factor` times the rate.
    fn scaled(self, factor: f64) -> Self {
        Self {
            interval: self.interval.div_f64(factor),
            starts: (self.starts as f64 * factor) as usize,
            ..self
        }
    }

    /// When the next request may start, not before `at`.
    fn next(&self, starts: &VecDeque<Time>, at: Time) -> Time {
        let after = |count: usize, period: Duration| {
            let before = starts.len().checked_sub(count);
            before.map_or(at, |index| starts[index] + period)
        };
        at.max(after(self.starts, self.window))
            .max(after(self.burst, self.burst_period()))
    }

    /// Time in which at most `burst` requests start.
    fn burst_period(&self) -> Duration {
        let burst = u32::try_from(self.burst).unwrap_or(u32::MAX);
        self.interval.saturating_mul(burst)
    }
}

/// What the operators state about the service of the target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Limit {
    /// A cold target bears as much as a warm one.
    #[default]
    None,
    /// The configuration has not been read.
    Unread,
    Rate {
        /// Time for which a target is cold after its start.
        cold: Duration,
        quota: Quota,
    },
}

/// What the last answer, or a later entry of the store, states about the target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Knowledge {
    /// The target is cold until [`Cold::until`].
    Cold,
    /// There has been no answer, or the last load check was not answered.
    #[default]
    Unknown,
    /// The target is warm.
    Warm,
}

/// How the next start is decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// A load check must be answered first.
    Asking,
    /// The target is cold, or whether it is can't be found out.
    Cold,
    Unlimited,
    Warm,
}

/// Whether a request may start now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    /// The request may start.
    Start,
    /// A load check must be answered first.
    Ask,
    /// The quota is spent.
    Hold,
}

/// A request that the target may have received while cold.
#[derive(Clone, Copy, Debug)]
struct Exposed {
    /// Whether `received_by` allows for a pause after the start.
    delayed: bool,
    /// When the request ended; `None` while it runs.
    ended: Option<Time>,
    id: WorkId,
    /// Time by which the target has received the request, unless it is paused.
    received_by: Time,
    started: Time,
}

/// The limit in force, what is known of the target, and the requests that count.
#[derive(Clone, Debug, Default)]
pub(super) struct Cold {
    /// When the load check was sent that the last answer belongs to.
    answered: Option<Time>,
    /// When the outstanding load check was sent.
    check_sent: Option<Time>,
    exposed: Vec<Exposed>,
    /// Whether requests wait for the limit, or for a load check, although slots are free.
    pub holding: bool,
    knowledge: Knowledge,
    /// When the last load check was sent.
    last_check: Option<Time>,
    limit: Limit,
    /// When the target was found warm after it was cold.
    ramp: Option<Time>,
    /// End of the cold time that the store last stated.
    published: Time,
    /// When the limit was first kept; a predecessor may have started requests until then.
    since: Time,
    /// Time of the last event.
    seen: Time,
    starts: VecDeque<Time>,
    /// When a load check last failed.
    unanswered: Option<Time>,
    /// Latest end of the cold time that was stated.
    until: Time,
    /// When the first of an unbroken series of answers was received that state a warm target.
    warm_since: Option<Time>,
}

impl Cold {
    /// Records that a configuration may state a limit that isn't known yet.
    pub fn expect_limit(&mut self) {
        self.limit = Limit::Unread;
    }

    /// Sets or lifts the limit, from the configuration.
    pub fn set_limit(&mut self, limits: Option<ServiceLimits>, now: Time) {
        let limits = limits.filter(|l| !l.cold_interval.is_zero());
        let limit = limits.map_or(Limit::None, |limits| Limit::Rate {
            cold: limits.cold,
            quota: Quota::new(limits.cold_interval),
        });
        if self.quota().is_none() {
            // Requests started without a limit weren't counted.
            self.since = now;
        }
        self.limit = limit;
    }

    /// Records the time at which an event is handled. Requests that were started shortly before a pause of
    /// this process may only now be sent.
    pub fn observe_time(&mut self, now: Time) {
        let seen = std::mem::replace(&mut self.seen, now);
        if now - seen > GAP {
            let unsent = |e: &&mut Exposed| {
                let delayed = now - seen > LONG_GAP || !e.delayed;
                e.ended.is_none() && e.received_by > seen && delayed
            };
            for exposed in self.exposed.iter_mut().filter(unsent) {
                (exposed.received_by, exposed.delayed) = (now + TRANSIT, true);
            }
        }
        self.exposed.retain(|e| now - e.received_by <= WINDOW);
        let counted = self
            .quota()
            .map_or(WINDOW, |q| q.window.max(q.burst_period()));
        while self.starts.front().is_some_and(|at| now - *at >= counted) {
            self.starts.pop_front();
        }
    }

    /// Records the end of the cold time that the target's entry in the store states.
    pub fn observe_entry(&mut self, until: Time, now: Time) {
        if until == self.published {
            return;
        }
        self.published = until;
        if until > now {
            self.set_cold(until);
        }
    }

    /// Records what an answer to a load check states: the time for which the target stays cold; zero if it is warm, or
    /// if the answer states no cold time, as targets state it only while they are cold.
    pub fn observe(&mut self, remaining: Duration, now: Time) {
        let sent = self.check_sent.take();
        self.unanswered = None;
        if remaining.is_zero() {
            self.prove_warm(sent, now);
            if self.knowledge == Knowledge::Cold {
                self.ramp = Some(now);
            }
            (self.knowledge, self.until) = (Knowledge::Warm, Time::ZERO);
        } else {
            self.set_cold(now + remaining);
        }
        self.answered = Some(sent.unwrap_or(now));
    }

    /// Records that an outstanding load check has ended without an answer.
    pub fn fail_check(&mut self, now: Time) {
        if self.check_sent.take().is_some() {
            (self.unanswered, self.warm_since) = (Some(now), None);
        }
    }

    /// Records that another run of the target serves the address. It has just started.
    pub fn replace_target(&mut self, now: Time) {
        let cold = match self.limit {
            Limit::None | Limit::Unread => Duration::ZERO,
            Limit::Rate { cold, .. } => cold,
        };
        (self.answered, self.ramp, self.warm_since) = (None, None, None);
        (self.knowledge, self.until) = (Knowledge::Unknown, Time::ZERO);
        if !cold.is_zero() {
            self.set_cold(now + cold);
        }
    }

    /// Whether the target was last stated to be cold.
    pub fn is_cold(&self) -> bool {
        self.quota().is_some() && self.knowledge == Knowledge::Cold
    }

    /// Whether a request may start now.
    pub fn verdict(&self, now: Time) -> Verdict {
        let Some(quota) = self.quota() else {
            return Verdict::Start;
        };
        if self.phase(now) == Phase::Asking {
            return Verdict::Ask;
        }
        let pace = self.pace(quota, now);
        let in_pace = pace.is_none_or(|pace| pace.next(&self.starts, now) <= now);
        if in_pace && self.exposed.len() < self.max_exposed(quota, now) {
            Verdict::Start
        } else {
            Verdict::Hold
        }
    }

    /// Expected time until a request may start that `ahead` others precede; zero while the rate isn't limited.
    pub fn wait(&self, ahead: usize, now: Time) -> Duration {
        let Some(quota) = self.quota() else {
            return Duration::ZERO;
        };
        let Some(pace) = self.pace(quota, now) else {
            return Duration::ZERO;
        };
        let mut starts = self.starts.clone();
        let mut at = now;
        for _ in 0..=ahead {
            at = pace.next(&starts, at);
            starts.push_back(at);
        }
        let exposed = self.exposed.len() + ahead + 1;
        let excess = exposed.saturating_sub(self.max_exposed(quota, now));
        let excess = u32::try_from(excess).unwrap_or(u32::MAX);
        (at - now).max(pace.interval.saturating_mul(excess))
    }

    /// Records that a request starts.
    pub fn start(&mut self, id: WorkId, now: Time) {
        if self.quota().is_none() {
            return;
        }
        self.starts.push_back(now);
        self.exposed.push(Exposed {
            delayed: false,
            ended: None,
            id,
            received_by: now + TRANSIT,
            started: now,
        });
    }

    /// Records that a request has ended.
    pub fn end(&mut self, id: WorkId, now: Time) {
        if let Some(exposed) = self.exposed.iter_mut().find(|e| e.id == id) {
            exposed.ended = Some(now);
        }
    }

    /// Whether the limit on load checks allows another one.
    pub fn may_check(&self, now: Time) -> bool {
        let interval = if self.is_initial(now) {
            INITIAL_CHECK_INTERVAL
        } else {
            CHECK_INTERVAL
        };
        self.quota().is_none() || self.last_check.is_none_or(|at| now - at >= interval)
    }

    /// Whether a load check is due since requests start.
    pub fn check_due(&self, now: Time) -> bool {
        let interval = match self.phase(now) {
            Phase::Unlimited => return false,
            Phase::Asking | Phase::Warm => Duration::ZERO,
            Phase::Cold => COLD_CHECK_INTERVAL,
        };
        self.may_check(now) && self.last_check.is_none_or(|at| now - at >= interval)
    }

    /// Records that a load check is sent.
    pub fn begin_check(&mut self, now: Time) {
        if self.quota().is_some() {
            (self.check_sent, self.last_check) = (Some(now), Some(now));
        }
    }

    /// The quota in force. It applies to warm targets too, which may turn cold at any time.
    fn quota(&self) -> Option<Quota> {
        match self.limit {
            Limit::None => None,
            Limit::Rate { quota, .. } => Some(quota),
            Limit::Unread => Some(UNCONFIGURED),
        }
    }

    fn phase(&self, now: Time) -> Phase {
        if self.quota().is_none() {
            return Phase::Unlimited;
        }
        let is_fresh = self.answered.is_some_and(|at| now - at < ANSWER_MAX_AGE);
        let known = match self.knowledge {
            Knowledge::Cold if self.until > now => Some(Phase::Cold),
            Knowledge::Warm if is_fresh => Some(Phase::Warm),
            Knowledge::Cold | Knowledge::Unknown | Knowledge::Warm => None,
        };
        let may_ask = match (self.check_sent, self.unanswered) {
            (Some(sent), _) => now - sent < CHECK_TIMEOUT,
            (None, Some(at)) if now - at < RETRY_INTERVAL => false,
            (None, _) => self.may_check(now),
        };
        known.unwrap_or(if may_ask { Phase::Asking } else { Phase::Cold })
    }

    /// Whether requests of a predecessor may have reached the target in the last second.
    fn is_initial(&self, now: Time) -> bool {
        now - self.since < WINDOW
    }

    fn max_exposed(&self, quota: Quota, now: Time) -> usize {
        if self.is_initial(now) {
            quota.initial
        } else {
            quota.exposed
        }
    }

    /// The rate at which requests start; `None` without a limit, as long after the end of a cold time.
    fn pace(&self, quota: Quota, now: Time) -> Option<Quota> {
        match self.phase(now) {
            Phase::Asking | Phase::Unlimited => None,
            Phase::Cold => Some(quota),
            Phase::Warm => {
                let elapsed = self.ramp.map(|at| now - at).filter(|t| *t < RAMP)?;
                let doublings = elapsed.as_secs_f64() / RAMP_DOUBLING.as_secs_f64();
                Some(quota.scaled(doublings.exp2()))
            }
        }
    }

    fn set_cold(&mut self, until: Time) {
        self.until = self.until.max(until);
        self.knowledge = Knowledge::Cold;
        (self.ramp, self.warm_since) = (None, None);
    }

    /// Drops the requests that the target received between two answers that state a warm target, of which the
    /// last belongs to the load check sent at `sent`.
    fn prove_warm(&mut self, sent: Option<Time>, now: Time) {
        let Some(sent) = sent else {
            return;
        };
        let unbroken = self.answered.is_some_and(|at| now - at < SHORTEST_COLD);
        let since = match self.warm_since.filter(|_| unbroken) {
            Some(since) => since,
            None => *self.warm_since.insert(now),
        };
        self.exposed.retain(|e| {
            let received = e.ended.is_some_and(|at| at <= sent) || e.received_by <= sent;
            e.started < since || !received
        });
        // Otherwise a target that turns cold would get nothing for a second after many warm requests.
        self.starts = self.exposed.iter().map(|e| e.started).collect();
    }
}
