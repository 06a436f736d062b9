//! How long requests of each route have lately taken, from their arrival to their answer.
//!
//! Rules kept here:
//! - a request that is still running counts with the time that it has taken so far, so that a slow service
//!   shows before its first answers;
//! - a refused request doesn't count, since it hasn't run.
//!
//! Invariant: memory use is bounded by the number of routes in use and of requests in flight.

use std::collections::BTreeMap;
use std::time::Duration;

use super::by_route::ByRoute;
use crate::routing::LatencyWindow;
use crate::time::Time;

/// Least number of requests of a route from which its times are known.
const MIN_SAMPLES: u32 = 8;
/// Quantile of the times that a request is expected to take.
const EXPECTED_QUANTILE: f64 = 0.75;

/// Number of a request in flight, by which its end is reported.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RunningId(u64);

/// How long requests of a route take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsualTimes {
    /// Time that most requests don't exceed.
    pub expected: Duration,
    /// Longest time of a recent request.
    pub longest: Duration,
}

/// Times of the recent requests by route.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::routes::AnswerTimes;
/// use hawthornwall_core::time::Time;
///
/// let mut times = AnswerTimes::default();
/// let end = Time::ZERO + Duration::from_millis(100);
/// for _ in 0..8 {
///     let id = times.start("a.example", "/x/", Time::ZERO);
///     times.end("a.example", "/x/", id, end);
/// }
/// let usual = times.usual("a.example", "/x/", end).unwrap();
/// assert!(usual.longest >= Duration::from_millis(100));
/// assert!(usual.longest < Duration::from_millis(120));
/// assert_eq!(times.usual("a.example", "/y/", end), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    next: u64,
    routes: ByRoute<Times>,
}

/// Times of the requests of one route.
#[derive(Clone, Debug, Default)]
struct Times {
    ended: LatencyWindow,
    /// When each request in flight has started; the first entry is the oldest.
    running: BTreeMap<RunningId, Time>,
}

impl AnswerTimes {
    /// Records that a request of a route begins.
    pub fn start(&mut self, host: &str, prefix: &str, now: Time) -> RunningId {
        let id = RunningId(self.next);
        self.next += 1;
        let times = self.routes.entry(host, prefix);
        times.running.insert(id, now);
        id
    }

    /// Records that a request has ended. If its caller left, it counts with the time until then, as its answer
    /// would have taken longer.
    pub fn end(&mut self, host: &str, prefix: &str, id: RunningId, now: Time) {
        // The record of the request is gone if all records were cleared meanwhile.
        if let Some(times) = self.routes.get_mut(host, prefix)
            && let Some(started) = times.running.remove(&id)
        {
            times.ended.add(now - started);
        }
    }

    /// Forgets a request that was refused.
    pub fn discard(&mut self, host: &str, prefix: &str, id: RunningId) {
        if let Some(times) = self.routes.get_mut(host, prefix) {
            times.running.remove(&id);
        }
    }

    /// The time that a share `quantile` of the ended requests of a route didn't exceed; `None` with fewer than
    /// `samples` of them.
    pub fn quantile(
        &mut self,
        host: &str,
        prefix: &str,
        quantile: f64,
        samples: u32,
    ) -> Option<Duration> {
        let times = self.routes.get_mut(host, prefix)?;
        let ended = Some(&times.ended).filter(|ended| ended.samples() >= samples);
        ended.and_then(|ended| ended.quantile(quantile))
    }

    /// How long requests of a route take; `None` if too few have ended to tell.
    pub fn usual(&mut self, host: &str, prefix: &str, now: Time) -> Option<UsualTimes> {
        let times = self.routes.get_mut(host, prefix)?;
        if times.ended.samples() < MIN_SAMPLES {
            return None;
        }
        let oldest = times.running.first_key_value();
        let oldest = oldest.map_or(Duration::ZERO, |(_, started)| now - *started);
        Some(UsualTimes {
            expected: times.ended.quantile(EXPECTED_QUANTILE)?,
            longest: times.ended.quantile(1.0)?.max(oldest),
        })
    }
}
