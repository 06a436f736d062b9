//! The limit on requests per second that the target states.
//!
//! All requests for a target pass through the gate beside it, so the gate alone keeps the limit of all
//! daemons.
//!
//! Invariants:
//! - in any period, at most [`BURST`] requests more than the limit allows start;
//! - a limit below one request per [`MAX_INTERVAL`] counts as that rate, since only answers show that the
//!   limit has ended.

use std::time::Duration;

use crate::load::RateLimit;
use crate::time::Time;

/// Number of requests that may start at once after a pause.
const BURST: f64 = 2.0;
/// Longest time between two requests, however low the limit is.
const MAX_INTERVAL: Duration = Duration::from_secs(2);

/// The limit in force and the requests that may start under it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    bucket: Option<Bucket>,
    /// Whether requests wait for the limit although slots are free.
    pub holding: bool,
}

/// A token bucket; each request that starts takes a token.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    limit: RateLimit,
    /// Tokens at `refilled`, at most [`BURST`].
    tokens: f64,
    refilled: Time,
}

impl Rate {
    /// Sets or lifts the limit; returns whether it has changed.
    pub fn set(&mut self, limit: Option<RateLimit>, now: Time) -> bool {
        let known = self.bucket.map(|b| b.limit);
        self.bucket = limit.map(|limit| Bucket {
            limit,
            tokens: self.bucket.map_or(0.0, |b| b.tokens_at(now)),
            refilled: now,
        });
        known != limit
    }

    /// Time until a request may start that `ahead` others precede; zero without a limit.
    pub fn wait(&self, ahead: usize, now: Time) -> Duration {
        let Some(bucket) = self.bucket else {
            return Duration::ZERO;
        };
        let missing = ahead as f64 + 1.0 - bucket.tokens_at(now);
        Duration::from_secs_f64((missing / bucket.rate()).max(0.0))
    }

    /// Records that a request starts.
    pub fn take(&mut self, now: Time) {
        if let Some(bucket) = &mut self.bucket {
            bucket.tokens = bucket.tokens_at(now) - 1.0;
            bucket.refilled = now;
        }
    }
}

impl Bucket {
    /// Tokens added per second.
    fn rate(&self) -> f64 {
        self.limit.per_second.max(1.0 / MAX_INTERVAL.as_secs_f64())
    }

    fn tokens_at(&self, now: Time) -> f64 {
        let added = (now - self.refilled).as_secs_f64() * self.rate();
        (self.tokens + added).min(BURST)
    }
}
