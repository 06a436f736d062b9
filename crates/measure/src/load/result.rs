//! What became of the calls.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::arrivals::{Call, Route};
use hawthornwall_testkit::payload::Verdict;

/// What became of one call.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// The call.
    pub call: Call,
    /// Its idempotency key, if it has one.
    pub key: Option<String>,
    /// Time from the planned arrival until this process began to send the call.
    pub late: Duration,
    /// Time from the planned arrival to the whole answer; with a key, from the sending of the call.
    pub latency: Duration,
    /// `Hawthornwall-Outcome`; for a direct call derived from the status; empty if there is no whole
    /// answer; `not sent` if there was no connection or no key.
    pub outcome: String,
    /// `Hawthornwall-Reason`.
    pub reason: String,
    /// Status code, 0 if there is no whole answer.
    pub status: u16,
    /// What the body shows.
    pub verdict: Verdict,
}

impl CallResult {
    /// Whether the call went straight to a target.
    pub fn is_direct(&self) -> bool {
        matches!(self.call.route, Route::Direct(_))
    }

    /// Whether a target's whole answer arrived.
    pub fn is_answered(&self) -> bool {
        self.outcome == "answered"
    }
}

/// Number of calls by outcome and reason.
pub fn count_outcomes<'a>(
    results: impl IntoIterator<Item = &'a CallResult>,
) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for result in results {
        let name = match (result.outcome.as_str(), result.reason.as_str()) {
            ("", _) => "broken connection".to_owned(),
            ("answered", _) => format!("answered {}", result.status),
            (outcome, reason) => format!("{outcome} {reason}"),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

/// Quantiles of a set of durations, in microseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Quantiles {
    /// Number of durations.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 99 in 100 are at most this.
    pub p99: u64,
    /// 999 in 1,000 are at most this.
    pub p999: u64,
}

impl Quantiles {
    /// Quantiles of `durations`, exact to 3 digits.
    pub fn of(durations: impl IntoIterator<Item = Duration>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return Self::default();
        };
        for duration in durations {
            // The histogram grows as needed; its saturating method would clip at its first size.
            let _ = histogram.record(duration.as_micros() as u64);
        }
        Self {
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.5),
            p99: histogram.value_at_quantile(0.99),
            p999: histogram.value_at_quantile(0.999),
        }
    }
}
