//! The recorded state of one target and the cost estimate derived from it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{InstanceId, ServiceId};
use crate::load::{LEAVING_MAX_AGE, LoadReport, TargetState};
use crate::time::Time;

/// Service time assumed while no report of the service contains one.
const DEFAULT_SERVICE: Duration = Duration::from_millis(5);
/// Weight of a new sample in the moving average of the round-trip time.
const RTT_WEIGHT: f64 = 0.1;
/// Number of service times in which the weight of a report's occupancy, relative to the mean of the
/// service, falls by a factor of e.
const REPORT_DECAY_SERVICES: f64 = 4.0;
/// Lower bound of the time set by [`REPORT_DECAY_SERVICES`], for very fast services.
const REPORT_DECAY_MIN: Duration = Duration::from_millis(10);
/// Backoff after the first failure of a target; doubles with each further one.
const BACKOFF_INITIAL: Duration = Duration::from_millis(50);
/// Upper bound of the backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(5);
/// Time after which a report of the draining state is ignored. The state may have been reported by
/// mistake, and the daemon of a target that does drain gives a definite refusal.
const DRAINING_MAX_AGE: Duration = Duration::from_secs(1);
/// An expired attempt counts as a failure of the target only if it lasted this many service times.
const EXPIRED_MIN_SERVICES: u32 = 4;
/// Extra cost of a target right after a failure: more than a round trip or a short queue at another
/// target, less than the wait at overloaded targets.
const RECENT_FAILURE_COST: Duration = Duration::from_millis(50);
/// Time in which the extra cost after a failure falls by a factor of e, so that the target is tried
/// again.
const RECENT_FAILURE_DECAY: Duration = Duration::from_secs(2);
/// Time over which the cost of a new instance falls to normal, so that it isn't overloaded while
/// cold.
const RAMP_DURATION: Duration = Duration::from_secs(5);
/// Initial cost multiplier of a new instance.
const RAMP_FACTOR: f64 = 4.0;
/// The excess of a reported service time over the mean falls by a factor of e in this many times
/// the reported service time.
const SERVICE_DECAY_SERVICES: f64 = 4.0;
/// A reported service time within this factor of the service's mean is replaced by the mean. The
/// reported average covers about ten answers, and all daemons would follow its random deviations to
/// the same target.
const SERVICE_BAND: f64 = 1.6;
/// Extra cost of a target whose recent answers all failed while those of the other targets did not.
const FAILING_COST: Duration = Duration::from_millis(500);
/// Time in which the weight of reported failures falls by a factor of e. A target that gets no work
/// is tried again within about 5 s, the longest backoff of an unreachable one.
const FAILING_DECAY: Duration = Duration::from_secs(1);
/// Share of the service time added to the cost when all slots are occupied and no request is
/// queued, since the occupancy on arrival is uncertain.
const BUSY_COST: f64 = 0.5;

/// Service time of a cold target as a multiple of the usual one, as its operators state it.
const COLD_SLOWDOWN: f64 = 2.0;
/// Time after the end of the cold time in which the capacity that is counted rises to all slots.
const COLD_RAMP: Duration = Duration::from_millis(1_500);
/// Lower bound of the counted capacity, in slots, so that the expected wait stays finite.
const MIN_CAPACITY: f64 = 0.05;

/// The slowdown of a machine that runs at its normal speed, in percent.
const NORMAL_SLOWDOWN: u32 = 100;
/// Time in which the weight of a reported slowdown falls by a factor of e.
const STRAIN_DECAY: Duration = Duration::from_millis(150);

/// Share of a target's slots that may be occupied with a copy of a late request. Targets may need longer for
/// each request when more are occupied.
const COPY_SLOT_SHARE: f64 = 0.8;
/// Greatest slowdown, in percent, of a target that gets a copy.
const COPY_MAX_SLOWDOWN: u32 = 120;
/// Share of failed answers above the mean from which a target gets no copy.
const COPY_MAX_FAILURES: f64 = 0.1;
/// Number of [`STRAIN_DECAY`] after which a reported slowdown is ignored.
const STRAIN_DECAY_TIMES: u32 = 3;
/// Cancelled attempts in a row, without a report of the target, that show that it has stalled.
const STALLED_LOSERS: u32 = 2;

/// A cost estimate and its inputs, as recorded in traces.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Age of the report that the estimate is based on; `None` without a report.
    pub age: Option<Duration>,
    /// Expected time to an answer, including penalties for failures and new instances.
    pub cost: Duration,
    /// Expected number of requests running or queued at the target on arrival.
    pub occupancy: f64,
    /// Expected time for which a request occupies a slot.
    pub service: Duration,
}

/// Averages over the fresh reports of one service. Old reports decay toward them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    /// Share of recent answers that failed, in percent.
    pub failing: f64,
    /// Running and queued requests as a share of the slots; above 1 when requests are queued.
    pub load: f64,
    /// Service time; zero if no fresh report contains one.
    pub service: Duration,
}

/// What the store states about a target that is cold or was so recently.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdTarget {
    /// Least time between two requests that the target bears on average while cold.
    pub interval: Duration,
    /// End of the cold time.
    pub until: Time,
}

/// The recorded state of one target.
#[derive(Clone, Debug)]
pub(super) struct View {
    /// When an answer of the target last stated that it leaves. The restart of its daemon doesn't
    /// change that.
    pub announced_leaving: Option<Time>,
    pub backoff_until: Time,
    /// Set while the store states an end of the target's cold time, also one that has passed.
    pub cold: Option<ColdTarget>,
    pub domain: String,
    /// Time of the last failure; `None` after a success.
    pub failed_at: Option<Time>,
    /// Number of backoffs since the last success.
    pub failures: u32,
    /// The instance that `instance` replaced; its late reports are ignored.
    pub former: Option<InstanceId>,
    pub instance: Option<InstanceId>,
    pub leaving: bool,
    /// Cancelled attempts since the last report that took longer than usual, while hedges are expected.
    pub losers: u32,
    /// Until when the link of the target's daemon counts as busy.
    pub link_busy_until: Time,
    /// When the current instance replaced an earlier one; `None` for the first instance.
    pub ramp: Option<Time>,
    /// The latest report and the time of its arrival.
    pub report: Option<(LoadReport, Time)>,
    /// Moving average of the round-trip time.
    pub rtt: Duration,
    /// When each outstanding attempt was sent, by ticket.
    pub sent: BTreeMap<u64, Time>,
    pub service: ServiceId,
    pub slots: u32,
}

impl View {
    pub fn new(service: ServiceId, domain: &str, slots: u32, rtt: Duration) -> Self {
        Self {
            announced_leaving: None,
            backoff_until: Time::ZERO,
            cold: None,
            domain: domain.to_owned(),
            failed_at: None,
            failures: 0,
            former: None,
            instance: None,
            leaving: false,
            losers: 0,
            link_busy_until: Time::ZERO,
            ramp: None,
            report: None,
            rtt,
            sent: BTreeMap::new(),
            service,
            slots,
        }
    }

    /// Whether the target accepts new work. Backoff after failures is not considered.
    pub fn accepts_work(&self, now: Time) -> bool {
        let draining = |(r, at): &(LoadReport, Time)| {
            r.state == TargetState::Draining && now - *at < DRAINING_MAX_AGE
        };
        let announced = |at: Time| now - at < LEAVING_MAX_AGE;
        let leaving = self.leaving || self.announced_leaving.is_some_and(announced);
        !leaving && !self.report.as_ref().is_some_and(draining)
    }

    /// Sets whether the member list shows the target as leaving. A target that is no longer shown so
    /// has restarted, and what the earlier run announced doesn't apply to it.
    pub fn set_leaving(&mut self, leaving: bool) {
        if self.leaving && !leaving {
            self.announced_leaving = None;
        }
        self.leaving = leaving;
    }

    /// Stores a report unless it is from a replaced instance or older than the stored one.
    pub fn record_report(&mut self, report: &LoadReport, now: Time) {
        if self.former == Some(report.instance) {
            return;
        }
        if self.instance != Some(report.instance) {
            self.replace_instance(report.instance, now);
        } else if self
            .report
            .is_some_and(|(known, _)| known.seq >= report.seq)
        {
            return;
        }
        self.report = Some((*report, now));
        self.losers = 0;
        self.slots = report.slots.max(1);
    }

    /// Resets the state of an earlier instance and starts the ramp-up of the new one. The replaced
    /// instance never returns, but its last replies and an outdated member list may still name it.
    pub fn replace_instance(&mut self, instance: InstanceId, now: Time) {
        if self.former == Some(instance) {
            return;
        }
        if self.instance.is_some() {
            self.former = self.instance;
            self.ramp = Some(now);
            self.report = None;
            self.failed_at = None;
            self.failures = 0;
            self.backoff_until = Time::ZERO;
        }
        self.instance = Some(instance);
    }

    pub fn record_rtt(&mut self, sample: Duration) {
        let old = self.rtt.as_secs_f64();
        let new = old + RTT_WEIGHT * (sample.as_secs_f64() - old);
        self.rtt = Duration::from_secs_f64(new);
    }

    /// Records a failure and starts a backoff, which doubles with each failure. Failures during a
    /// backoff don't extend it: all requests in flight fail at once when a target crashes, and
    /// doubling for each would exclude it for seconds after a short outage.
    pub fn record_failure(&mut self, now: Time) {
        self.failed_at = Some(now);
        self.back_off(now);
    }

    fn back_off(&mut self, now: Time) {
        if now < self.backoff_until {
            return;
        }
        let back_off = BACKOFF_INITIAL * (1 << self.failures.min(10));
        self.backoff_until = now + back_off.min(BACKOFF_MAX);
        self.failures += 1;
    }

    /// Records an attempt cancelled at `now`, such as the slower one of a hedged pair. A target
    /// that has sent no report since the attempt was sent may have stalled. Without a backoff it
    /// would appear idle once its attempts are cancelled.
    pub fn record_cancelled(&mut self, sent: Time, now: Time) {
        let reported_since = self.report.is_some_and(|(_, at)| at > sent);
        let service = self.service_time(&Mean::default(), now);
        if !reported_since && now - sent > service * 2 + self.rtt {
            self.back_off(now);
        }
    }

    /// Records an attempt that was cancelled while hedges are expected. It took longer than most, or else no
    /// hedge would have been sent, so that it shows a stalled target only if it took longer than any recent
    /// answer (`longest`; `None` if few are known), or if another one has ended so without a report in between.
    pub fn record_loser(&mut self, sent: Time, longest: Option<Duration>, now: Time) {
        let reported_since = self.report.is_some_and(|(_, at)| at > sent);
        let service = self.service_time(&Mean::default(), now);
        let elapsed = now - sent;
        if reported_since || elapsed <= service * 2 + self.rtt {
            return;
        }
        self.losers += 1;
        let exceeds_all = longest.is_some_and(|longest| elapsed > longest);
        if exceeds_all || self.losers >= STALLED_LOSERS {
            self.losers = 0;
            self.back_off(now);
        }
    }

    /// Records an attempt whose deadline expired while it ran. It counts as a failure only if it
    /// lasted far longer than the service time, since a short deadline may expire at a target
    /// without a fault. A report since then makes no difference: the daemon may report while its target
    /// stalls.
    pub fn record_expired(&mut self, sent: Time, now: Time) {
        let service = self.service_time(&Mean::default(), now);
        if now - sent > service * EXPIRED_MIN_SERVICES + self.rtt {
            self.record_failure(now);
        }
    }

    pub fn record_success(&mut self) {
        self.failed_at = None;
        self.failures = 0;
        self.backoff_until = Time::ZERO;
    }

    pub fn estimate(&self, mean: &Mean, now: Time) -> Estimate {
        let service = self.service_time(mean, now);
        let slots = self.capacity(service, now);
        let occupancy = self.expected_occupancy(mean, service, now);
        let waiting = (occupancy + 1.0 - slots).max(0.0) / slots;
        let busy = BUSY_COST * (occupancy / slots).min(1.0).powi(2);
        let mut cost = service.mul_f64(1.0 + waiting + busy) + self.rtt;
        cost += self.overdue_time(service, now);
        cost += self.strain_cost(service, now);
        cost += FAILING_COST.mul_f64(self.excess_failures(mean, now));
        cost += RECENT_FAILURE_COST.mul_f64(self.recent_failure_weight(now));
        cost = cost.mul_f64(self.ramp_factor(now));
        Estimate {
            age: self.report.map(|(_, at)| now - at),
            cost,
            occupancy,
            service,
        }
    }

    /// Whether a slot is expected to be free for another request.
    pub fn has_free_slot(&self, mean: &Mean, now: Time) -> bool {
        let service = self.service_time(mean, now);
        self.expected_occupancy(mean, service, now) + 1.0 <= self.capacity(service, now)
    }

    /// Whether the target can take a copy of a late request without delaying other requests: it isn't in
    /// backoff, starting, cold, strained or failing, and has slots left beyond [`COPY_SLOT_SHARE`]. The occupancy of a
    /// target that has not reported lately is taken to be the mean of the service.
    pub fn has_room_for_copy(&self, mean: &Mean, now: Time) -> bool {
        let service = self.service_time(mean, now);
        let occupied = self.expected_occupancy(mean, service, now) + 1.0;
        self.backoff_until <= now
            && self.link_busy_until <= now
            && !self.is_slowed(now)
            && self.overdue_time(service, now).is_zero()
            && self.ramp_factor(now) <= 1.0
            && self.excess_failures(mean, now) < COPY_MAX_FAILURES
            && !self.is_cold(now)
            && occupied <= self.capacity(service, now) * COPY_SLOT_SHARE
    }

    /// Whether a recent report states a slowdown above [`COPY_MAX_SLOWDOWN`].
    fn is_slowed(&self, now: Time) -> bool {
        self.report.is_some_and(|(report, at)| {
            now - at <= STRAIN_DECAY * STRAIN_DECAY_TIMES
                && report.slowdown.is_some_and(|s| s > COPY_MAX_SLOWDOWN)
        })
    }

    /// Expected time to an answer, excluding the round trip, if all slots are occupied and no
    /// request is queued.
    pub fn busy_time(&self, mean: &Mean, now: Time) -> Duration {
        self.service_time(mean, now).mul_f64(1.0 + BUSY_COST)
    }

    /// Whether the target is cold according to the store.
    pub fn is_cold(&self, now: Time) -> bool {
        self.cold.is_some_and(|cold| now < cold.until)
    }

    /// Number of requests that the target runs at once. A cold target bears only as many as its rate yields in
    /// a service time; when the cold time ends, the number rises to all slots in [`COLD_RAMP`].
    fn capacity(&self, service: Duration, now: Time) -> f64 {
        let slots = f64::from(self.slots);
        let Some(cold) = self.cold else {
            return slots;
        };
        let at_rate = service.as_secs_f64() / cold.interval.as_secs_f64().max(f64::EPSILON);
        let at_rate = at_rate.clamp(MIN_CAPACITY, slots.max(MIN_CAPACITY));
        let elapsed = (now - cold.until).as_secs_f64() / COLD_RAMP.as_secs_f64();
        at_rate + (slots - at_rate) * elapsed.min(1.0)
    }

    fn service_time(&self, mean: &Mean, now: Time) -> Duration {
        let usual = self.usual_service_time(mean, now);
        // A report from before the cold time doesn't show how long the work takes now.
        if self.is_cold(now) {
            usual.max(mean.service.mul_f64(COLD_SLOWDOWN))
        } else {
            usual
        }
    }

    fn usual_service_time(&self, mean: &Mean, now: Time) -> Duration {
        let reported = self.reported_service(mean, now);
        let mean_band = mean.service.div_f64(SERVICE_BAND)..mean.service.mul_f64(SERVICE_BAND);
        let first = if mean_band.contains(&reported) {
            mean.service
        } else {
            reported
        };
        let known = [first, mean.service].into_iter().find(|s| !s.is_zero());
        known.unwrap_or(DEFAULT_SERVICE)
    }

    /// The reported service time; zero without a report. A value above the mean decays toward it
    /// with the report's age: a target that is never picked sends no reports, so its recovery would
    /// not be detected.
    fn reported_service(&self, mean: &Mean, now: Time) -> Duration {
        let Some((report, at)) = self.report else {
            return Duration::ZERO;
        };
        if report.service <= mean.service || mean.service.is_zero() {
            return report.service;
        }
        let time_constant = report.service.as_secs_f64() * SERVICE_DECAY_SERVICES;
        let weight = (-(now - at).as_secs_f64() / time_constant).exp();
        mean.service + (report.service.saturating_sub(mean.service)).mul_f64(weight)
    }

    fn expected_occupancy(&self, mean: &Mean, service: Duration, now: Time) -> f64 {
        let mean_occupancy = mean.load * f64::from(self.slots);
        let Some((report, at)) = self.report else {
            return mean_occupancy + self.sent.len() as f64;
        };
        let time_constant = service.mul_f64(REPORT_DECAY_SERVICES).max(REPORT_DECAY_MIN);
        let weight = (-(now - at).as_secs_f64() / time_constant.as_secs_f64()).exp();
        let reported = f64::from(report.running + report.queued);
        let unreported = self
            .sent
            .values()
            .filter(|sent| **sent + self.rtt > at)
            .count();
        mean_occupancy + (reported - mean_occupancy) * weight + unreported as f64
    }

    /// Extra service time due to the reported slowdown of the machine, weighted by the report's
    /// age.
    fn strain_cost(&self, service: Duration, now: Time) -> Duration {
        let Some((report, at)) = self.report else {
            return Duration::ZERO;
        };
        let excess = report
            .slowdown
            .unwrap_or(NORMAL_SLOWDOWN)
            .saturating_sub(NORMAL_SLOWDOWN);
        let decay = (-(now - at).as_secs_f64() / STRAIN_DECAY.as_secs_f64()).exp();
        service.mul_f64(f64::from(excess) / f64::from(NORMAL_SLOWDOWN) * decay)
    }

    /// Time by which the oldest outstanding attempt exceeds its expected duration. A stalled target
    /// sends no reports, so the missing answers must raise its cost.
    fn overdue_time(&self, service: Duration, now: Time) -> Duration {
        let oldest = self.sent.values().next();
        let elapsed = oldest.map_or(Duration::ZERO, |sent| now - *sent);
        elapsed.saturating_sub(service * 2 + self.rtt)
    }

    /// Share of failed answers above the service's mean, from 0 to 1, weighted by the report's age.
    /// A target that fails fast appears idle and would otherwise attract the work of all others.
    fn excess_failures(&self, mean: &Mean, now: Time) -> f64 {
        let Some((report, at)) = self.report else {
            return 0.0;
        };
        let excess = (f64::from(report.failing) - mean.failing) / 100.0;
        let decay = (-(now - at).as_secs_f64() / FAILING_DECAY.as_secs_f64()).exp();
        excess.max(0.0) * decay
    }

    /// Weight of the extra cost after a failure, from 0 to 1. It makes targets that work preferable
    /// to one whose backoff has just ended.
    fn recent_failure_weight(&self, now: Time) -> f64 {
        let Some(failed_at) = self.failed_at else {
            return 0.0;
        };
        (-(now - failed_at).as_secs_f64() / RECENT_FAILURE_DECAY.as_secs_f64()).exp()
    }

    fn ramp_factor(&self, now: Time) -> f64 {
        let Some(start) = self.ramp else { return 1.0 };
        let done = (now - start).as_secs_f64() / RAMP_DURATION.as_secs_f64();
        (RAMP_FACTOR - (RAMP_FACTOR - 1.0) * done).max(1.0)
    }
}
