//! Log lines of callers' requests, one per request, with the attempts that led to its outcome.
//!
//! Rules kept here:
//! - the number of lines per second is bounded; the next line states how many were left out before it;
//! - part of the bound is reserved for requests without an answer, so that answered ones can't displace
//!   them.

use std::fmt;
use std::time::Duration;

use hawthornwall_core::calls::PickKind;
use hawthornwall_core::prelude::*;

use super::counters::{attempt_name, pick_name};
use super::log;

/// Lines per second, and the most lines in a burst.
const LINES_PER_SECOND: f64 = 40.0;
/// Lines of a burst that only requests without an answer may use.
const UNANSWERED_RESERVE: f64 = 20.0;

/// One attempt of a request. Its text form has times in milliseconds; the kind of a first attempt is left
/// out.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::calls::PickKind;
/// use hawthornwall_core::prelude::*;
/// use hawthornwall_node::telemetry::AttemptRecord;
///
/// let ms = Duration::from_millis;
/// let attempt = AttemptRecord {
///     ended: Some((ms(9), AttemptResult::Refused(Refusal::Shed))),
///     kind: Some(PickKind::Reroute),
///     report_age: Some(ms(20)),
///     sent: ms(4),
///     target: "i-1".to_owned(),
/// };
/// assert_eq!(attempt.to_string(), "reroute i-1 4..9 target-shed report=20");
/// ```
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Time from the request's arrival to the attempt's end, and its result; `None` while it is in flight.
    pub ended: Option<(Duration, AttemptResult)>,
    /// Why the target was picked; `None` for a repeat at the target of an earlier attempt.
    pub kind: Option<PickKind>,
    /// Age of the load report that the choice was based on; `None` if there was no report.
    pub report_age: Option<Duration>,
    /// Time from the request's arrival to the attempt's start.
    pub sent: Duration,
    /// Name of the target.
    pub target: String,
}

impl fmt::Display for AttemptRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            Some(PickKind::First) => {}
            Some(kind @ (PickKind::Hedge | PickKind::Reroute | PickKind::Retry)) => {
                write!(f, "{} ", pick_name(kind))?;
            }
            None => f.write_str("repeat ")?,
        }
        write!(f, "{} {}..", self.target, self.sent.as_millis())?;
        match self.ended {
            Some((at, result)) => write!(f, "{} {}", at.as_millis(), attempt_name(result))?,
            None => f.write_str(" open")?,
        }
        match self.report_age {
            Some(age) => write!(f, " report={}", age.as_millis()),
            None => Ok(()),
        }
    }
}

/// The logged data of one request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The attempts in order.
    pub attempts: Vec<AttemptRecord>,
    /// Time that was left until its deadline when it arrived.
    pub budget: Duration,
    /// Time from its arrival to its end.
    pub elapsed: Duration,
    /// The caller's id of the request; empty if there is none.
    pub id: String,
    /// The outcome reported to the caller.
    pub outcome: Outcome,
    /// Prefix of the route; empty if there is none.
    pub route: String,
    /// Name of the service; empty if none was found.
    pub service: String,
    /// Version of the configuration that applied to the request.
    pub version: Version,
}

impl RequestRecord {
    /// Whether the request is logged. Requests answered by their first and only attempt are not.
    pub fn is_logged(&self) -> bool {
        self.outcome != Outcome::Answered || self.attempts.len() > 1
    }
}

/// Writes the log lines of requests at a bounded rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestLog {
    /// When the tokens were last refilled; `None` before the first request.
    last_refill: Option<Time>,
    /// Lines left out since the last written one.
    left_out: u64,
    /// Lines that may be written now, at most [`LINES_PER_SECOND`].
    tokens: f64,
}

impl RequestLog {
    /// Writes a line unless the rate is exceeded; otherwise counts it as left out.
    pub fn write(&mut self, record: &RequestRecord, now: Time) {
        if !self.take_token(record.outcome == Outcome::Answered, now) {
            self.left_out += 1;
            return;
        }
        let left_out = std::mem::take(&mut self.left_out);
        let attempts: Vec<_> = record.attempts.iter().map(ToString::to_string).collect();
        let attempts = attempts.join("; ");
        let (id, route) = (record.id.as_str(), record.route.as_str());
        let (service, version) = (record.service.as_str(), record.version);
        let budget_ms = record.budget.as_millis() as u64;
        let elapsed_ms = record.elapsed.as_millis() as u64;
        let reason = record.outcome.reason().unwrap_or_default();
        let outcome = record.outcome.name();
        log::info!("request ended", kv: {
            id, outcome, reason, service, route, version:, budget_ms, elapsed_ms, attempts, left_out
        });
    }

    /// Takes the token for one line; false if none is available.
    fn take_token(&mut self, answered: bool, now: Time) -> bool {
        let passed = self
            .last_refill
            .map_or(Duration::from_secs(1), |at| now - at);
        self.last_refill = Some(now);
        self.tokens = (self.tokens + passed.as_secs_f64() * LINES_PER_SECOND).min(LINES_PER_SECOND);
        let needed = if answered {
            UNANSWERED_RESERVE + 1.0
        } else {
            1.0
        };
        let allowed = self.tokens >= needed;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
