//! The schedule of a planned stop.
//!
//! Rules kept here:
//! - nothing of a request is left when the process is ended from outside: whatever still runs near the end
//!   is answered before;
//! - a request that can't be finished in time is refused when it arrives, not cut later. While callers may
//!   not have noticed the stop, it is taken if it is expected to finish; later, only if nothing suggests
//!   that it won't;
//! - each span is a share of the grace, so that a short grace shortens all of them.

use std::time::Duration;

use crate::outcome::Refusal;
use crate::routes::UsualTimes;
use crate::time::Time;

/// Share of the grace that the announcement takes at most. The rest is for requests that arrive at its end.
const MAX_ANNOUNCE_SHARE: f64 = 0.4;
/// Share of the grace that is kept for writing the last answers.
const ANSWER_SHARE: f64 = 1.0 / 12.0;
/// Longest time that is kept for writing the last answers.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(500);
/// Time in which callers notice the stop: a health check each second takes an instance out at its second miss.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// Most that [`NOTICE_TIME`] takes of a short grace.
const MAX_NOTICE_SHARE: f64 = 0.5;
/// How much longer than all recent requests of its route a request may take.
const LONGEST_FACTOR: u32 = 2;

/// What is known of the time that a request takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Expectation {
    /// When the request ends at the latest, by its deadline or by the timeout of its route.
    pub deadline: Time,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Times of recent requests of the route, if known.
    pub usual: Option<UsualTimes>,
}

impl Expectation {
    /// Time that the request probably takes.
    fn expected(&self) -> Duration {
        let usual = self.usual.map_or(Duration::ZERO, |usual| usual.expected);
        self.objective.max(usual)
    }

    /// Time that the request hardly exceeds; `None` if it isn't known.
    fn longest(&self) -> Option<Duration> {
        Some(self.usual?.longest * LONGEST_FACTOR)
    }
}

/// What a stop allows of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopLimits {
    /// When the request must have an answer.
    pub answer: Time,
    /// Until when the request may be sent to a target.
    pub send: Time,
}

/// The times of a planned stop.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::prelude::*;
/// use hawthornwall_core::stop::{Expectation, StopPlan};
///
/// let plan = StopPlan::new(Time::ZERO, Duration::from_secs(6), Duration::from_secs(2));
/// assert_eq!(plan.drain_at(), Time::ZERO + Duration::from_secs(2));
/// let request = Expectation {
///     deadline: Time::ZERO + Duration::from_secs(8),
///     objective: Duration::from_secs(1),
///     usual: None,
/// };
/// assert_eq!(plan.admit(&request, Time::ZERO).unwrap().answer, plan.answer_by());
/// let late = Time::ZERO + Duration::from_secs(4);
/// assert_eq!(plan.admit(&request, late), Err(Refusal::Stopping));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopPlan {
    answer: Time,
    drain: Time,
    end: Time,
    /// Until when callers may not have noticed the stop.
    noticed: Time,
}

impl StopPlan {
    /// The plan of a stop that is requested at `now`, with `grace` until the process is ended from outside.
    /// The stop is announced for `announce` before the drain begins, or shorter if the grace is short.
    pub fn new(now: Time, grace: Duration, announce: Duration) -> Self {
        let announce = announce.min(grace.mul_f64(MAX_ANNOUNCE_SHARE));
        let answering = grace.mul_f64(ANSWER_SHARE).min(MAX_ANSWER_TIME);
        Self {
            answer: now + grace.saturating_sub(answering),
            drain: now + announce,
            end: now + grace,
            noticed: now + NOTICE_TIME.min(grace.mul_f64(MAX_NOTICE_SHARE)),
        }
    }

    /// When every request must have an answer.
    pub fn answer_by(&self) -> Time {
        self.answer
    }

    /// When the announcement ends: from then on the target gets no new work, and answers close their
    /// connections.
    pub fn drain_at(&self) -> Time {
        self.drain
    }

    /// When the process is ended from outside.
    pub fn end(&self) -> Time {
        self.end
    }

    /// Until when connections are accepted. Until the target has been drained, its running work may make
    /// requests, which fail that work if they aren't accepted.
    pub fn accept_until(&self) -> Time {
        self.drain + (self.answer - self.drain) / 2
    }

    /// Decides about a request that arrives at `now`.
    ///
    /// # Errors
    ///
    /// [`Refusal::Stopping`] if the request can't be relied on to finish in time.
    pub fn admit(&self, request: &Expectation, now: Time) -> Result<StopLimits, Refusal> {
        let limits = self.limits(request, now);
        if now < limits.send {
            Ok(limits)
        } else {
            Err(Refusal::Stopping)
        }
    }

    /// What the stop allows of a request that arrived at `arrived`, before or after the signal.
    pub fn limits(&self, request: &Expectation, arrived: Time) -> StopLimits {
        let longest = if arrived <= self.noticed {
            Some(request.expected())
        } else {
            request.longest()
        };
        let send = if request.deadline <= self.answer {
            request.deadline
        } else {
            longest.map_or(Time::ZERO, |longest| self.answer - longest)
        };
        StopLimits {
            answer: self.answer,
            send,
        }
    }
}
