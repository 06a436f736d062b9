//! Results of calls and their statistics.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::arrivals::{Call, Route};
use hawthornwall_testkit::payload::Verdict;

/// Result of a call.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// The call, as it was planned.
    pub call: Call,
    /// Idempotency key, if one was issued.
    pub key: Option<String>,
    /// Time from the planned arrival to the start of the call's task. It measures how far the
    /// generator is behind its schedule.
    pub lateness: Duration,
    /// Time from the planned arrival to the end of the answer. For a call with a newly issued key
    /// it starts when the key was issued.
    pub latency: Duration,
    /// Value of `Hawthornwall-Outcome`. For a direct call it is derived from the answer's headers.
    /// Empty without a complete answer; `not sent` if there was no connection or no key.
    pub outcome: String,
    /// Value of `Hawthornwall-Reason`.
    pub reason: String,
    /// Status code, 0 without a complete answer.
    pub status: u16,
    /// Result of verifying the answer's body.
    pub verdict: Verdict,
}

impl CallResult {
    /// Whether the call was sent directly to a target.
    pub fn is_direct(&self) -> bool {
        matches!(self.call.route, Route::Direct(_))
    }

    /// Whether a target's complete answer was received.
    pub fn is_answered(&self) -> bool {
        self.outcome == "answered"
    }
}

/// Number of calls by outcome and reason; answered calls are counted by status.
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

/// Quantiles of a set of durations in microseconds, with the histogram's precision.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Quantiles {
    /// Number of recorded durations.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
}

impl Quantiles {
    /// Computes the quantiles of `durations` to 3 significant digits.
    pub fn of(durations: impl IntoIterator<Item = Duration>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return Self::default();
        };
        for duration in durations {
            // `record` resizes the histogram as needed; `saturating_record` would clip values at
            // its initial range.
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
