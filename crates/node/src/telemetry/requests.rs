//! One log line for a caller's request that says how its end was decided.
//!
//! Rules kept here:
//! - the number of lines in a second is bounded; what is left out is counted and told with the next
//!   line;
//! - requests without an answer go before answered ones: these only use what the others leave.

use std::fmt::Write as _;
use std::time::Duration;

use hawthornwall_core::prelude::*;

use super::counters::attempt_name;
use super::log;

/// Lines in a second, and how many may be saved up.
const LINES_PER_S: f64 = 40.0;
/// Lines that answered requests leave for those without an answer.
const RESERVE: f64 = 20.0;

/// One attempt, as it decided what followed.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// From the request's arrival to the attempt's end; `None` while it is open.
    pub ended: Option<(Duration, AttemptResult)>,
    /// Age of the report that the choice rested on.
    pub report_age: Option<Duration>,
    /// From the request's arrival to the attempt's start.
    pub sent: Duration,
    /// Name of the target.
    pub target: String,
}

/// What is told of a request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The attempts in order.
    pub attempts: Vec<AttemptRecord>,
    /// Time that it had on arrival.
    pub budget: Duration,
    /// From its arrival to its end.
    pub elapsed: Duration,
    /// The caller's id, or an empty text.
    pub id: String,
    /// What the caller is told.
    pub outcome: Outcome,
    /// The route's prefix, or an empty text.
    pub route: String,
    /// The service, or an empty text.
    pub service: String,
    /// Version of the configuration that decided.
    pub version: Version,
}

impl RequestRecord {
    /// Whether the log has a line for it: not for a request that its first attempt answered.
    pub fn is_told(&self) -> bool {
        self.outcome != Outcome::Answered || self.attempts.len() > 1
    }
}

/// Bounds the lines that a daemon writes of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestLog {
    at: Option<Time>,
    left_out: u64,
    lines: f64,
}

impl RequestLog {
    /// Writes a line if the bound allows it.
    pub fn write(&mut self, record: &RequestRecord, now: Time) {
        if !self.allows(record.outcome == Outcome::Answered, now) {
            self.left_out += 1;
            return;
        }
        let left_out = std::mem::take(&mut self.left_out);
        let attempts = describe(&record.attempts);
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

    fn allows(&mut self, answered: bool, now: Time) -> bool {
        let passed = self.at.map_or(Duration::from_secs(1), |at| now - at);
        self.at = Some(now);
        self.lines = (self.lines + passed.as_secs_f64() * LINES_PER_S).min(LINES_PER_S);
        let needed = if answered { RESERVE + 1.0 } else { 1.0 };
        let allowed = self.lines >= needed;
        if allowed {
            self.lines -= 1.0;
        }
        allowed
    }
}

/// Each attempt as `target sent..ended result report=age`, all in milliseconds.
fn describe(attempts: &[AttemptRecord]) -> String {
    let mut text = String::new();
    for attempt in attempts {
        if !text.is_empty() {
            text.push_str("; ");
        }
        let _ = write!(text, "{} {}..", attempt.target, attempt.sent.as_millis());
        match attempt.ended {
            Some((at, result)) => {
                let _ = write!(text, "{} {}", at.as_millis(), attempt_name(result));
            }
            None => text.push_str(" open"),
        }
        if let Some(age) = attempt.report_age {
            let _ = write!(text, " report={}", age.as_millis());
        }
    }
    text
}
