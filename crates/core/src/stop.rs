//! The schedule of a planned stop.
//!
//! Rules kept here:
//! - nothing of a request is left when the process is ended from outside: whatever still runs near the end
//!   is answered before;
//! - a request that can't be finished in time is refused when it arrives, not cut later;
//! - each span is a share of the grace, so that a short grace shortens all of them.

use std::time::Duration;

use crate::outcome::Refusal;
use crate::time::Time;

/// Share of the grace that the announcement takes at most. The rest is for requests that arrive at its end.
const MAX_ANNOUNCE_SHARE: f64 = 0.4;
/// Share of the grace that is kept for writing the last answers.
const ANSWER_SHARE: f64 = 1.0 / 12.0;
/// Longest time that is kept for writing the last answers.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(500);

/// The times of a planned stop.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::prelude::*;
/// use hawthornwall_core::stop::StopPlan;
///
/// let plan = StopPlan::new(Time::ZERO, Duration::from_secs(6), Duration::from_secs(2));
/// assert_eq!(plan.drain_at(), Time::ZERO + Duration::from_secs(2));
/// let last = plan.answer_by();
/// assert_eq!(plan.admit(Duration::from_secs(1), Time::ZERO), Ok(last));
/// assert_eq!(plan.admit(Duration::from_secs(1), last), Err(Refusal::Stopping));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopPlan {
    answer: Time,
    drain: Time,
    end: Time,
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

    /// Decides about a request that arrives at `now` and usually takes up to `objective`; returns the
    /// deadline that it can have at most.
    ///
    /// # Errors
    ///
    /// [`Refusal::Stopping`] if the request can't be expected to finish in time.
    pub fn admit(&self, objective: Duration, now: Time) -> Result<Time, Refusal> {
        if now + objective < self.answer {
            Ok(self.answer)
        } else {
            Err(Refusal::Stopping)
        }
    }
}
