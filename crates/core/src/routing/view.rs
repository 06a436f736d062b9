//! What is believed about one target, and the cost estimate made from it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{InstanceId, ServiceId};
use crate::load::{LoadReport, TargetState};
use crate::time::Time;

/// Assumed while no report has named a service time.
const DEFAULT_SERVICE: Duration = Duration::from_millis(5);
/// Weight of a new round trip in the moving average.
const RTT_WEIGHT: f64 = 0.1;
/// A report's deviation from the mean halves its weight over about this many service times.
const REPORT_DECAY_SERVICES: f64 = 4.0;
/// Shortest life of a report, for very fast services.
const REPORT_DECAY_MIN: Duration = Duration::from_millis(10);
/// First pause after a target was unreachable; doubles with each further failure.
const BACKOFF_INITIAL: Duration = Duration::from_millis(50);
/// Longest pause before an unreachable target is tried again.
const BACKOFF_MAX: Duration = Duration::from_secs(5);
/// After this time without a newer report, a target that said it drains is tried again: it may have
/// been wrong, and its daemon refuses definitely while it does drain.
const DRAINING_MAX_AGE: Duration = Duration::from_secs(1);
/// Service times after which an attempt that ran out of time counts as a failure of the target.
const EXPIRED_MIN_SERVICES: u32 = 4;
/// Extra cost of a target right after a failure: more than a round trip or a short queue elsewhere,
/// less than the wait at targets that are overloaded.
const RECENT_FAILURE_COST: Duration = Duration::from_millis(50);
/// The extra cost fades over about this time, so that the target is tried again.
const RECENT_FAILURE_DECAY: Duration = Duration::from_secs(2);
/// A new instance's cost falls to normal over this time, so that it is not flooded while cold.
const RAMP_DURATION: Duration = Duration::from_secs(5);
/// Cost multiplier of an instance that has just appeared.
const RAMP_FACTOR: f64 = 4.0;
/// A reported service time above the mean fades over about this many of itself.
const SERVICE_DECAY_SERVICES: f64 = 4.0;
/// A service time within this factor of the service's mean counts as the mean. The reported average
/// covers about ten answers; all daemons would follow its chance deviations to the same target.
const SERVICE_BAND: f64 = 1.6;
/// Added to the cost for a target whose recent answers all failed while others' did not.
const FAILING_COST: Duration = Duration::from_millis(500);
/// The failures of a report weigh less by a factor of e with each such time, so that a target that
/// gets no work is tried again within about 5 s, the longest pause of an unreachable one.
const FAILING_DECAY: Duration = Duration::from_secs(1);
/// Share of the service time charged at full occupancy before any queue forms, since the
/// occupancy at arrival is uncertain.
const BUSY_COST: f64 = 0.5;

/// The usual time that work takes, in percent.
const NORMAL_SLOWDOWN: u32 = 100;
/// A reported slowdown of a machine weighs less by a factor of e with each such time.
const STRAIN_DECAY: Duration = Duration::from_millis(150);

/// The parts of a cost estimate, for traces.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Age of the report that it rests on; `None` without a report.
    pub age: Option<Duration>,
    /// Expected time to an answer.
    pub cost: Duration,
    /// Requests expected at the target on arrival.
    pub occupancy: f64,
    /// Time that a request is expected to hold a slot.
    pub service: Duration,
}

/// Averages over the targets of one service, toward which old reports decay.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    /// Share of recent answers that failed, in percent.
    pub failing: f64,
    /// Occupied share of the slots; above 1 when requests queue.
    pub load: f64,
    /// Service time, zero when unknown.
    pub service: Duration,
}

#[derive(Clone, Debug)]
pub(super) struct View {
    pub backoff_until: Time,
    pub domain: String,
    /// The last failure since the last success.
    pub failed_at: Option<Time>,
    pub failures: u32,
    pub former: Option<InstanceId>,
    pub instance: Option<InstanceId>,
    pub leaving: bool,
    pub ramp_start: Option<Time>,
    pub report: Option<(LoadReport, Time)>,
    pub rtt: Duration,
    pub sent: BTreeMap<u64, Time>,
    pub service: ServiceId,
    pub slots: u32,
}

impl View {
    pub fn new(service: ServiceId, domain: &str, slots: u32, rtt: Duration) -> Self {
        Self {
            backoff_until: Time::ZERO,
            domain: domain.to_owned(),
            failed_at: None,
            failures: 0,
            former: None,
            instance: None,
            leaving: false,
            ramp_start: None,
            report: None,
            rtt,
            sent: BTreeMap::new(),
            service,
            slots,
        }
    }

    /// Whether new work may be sent, apart from the pause after failures.
    pub fn accepts(&self, now: Time) -> bool {
        let draining = |(r, at): &(LoadReport, Time)| {
            r.state == TargetState::Draining && now - *at < DRAINING_MAX_AGE
        };
        !self.leaving && !self.report.as_ref().is_some_and(draining)
    }

    /// Takes over a report unless a newer one of the same instance is known.
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
        self.slots = report.slots.max(1);
    }

    /// Forgets what was known about an earlier instance and starts the ramp-up of the new one. The
    /// replaced instance never returns, but its last replies and a lagging list may still name it.
    pub fn replace_instance(&mut self, instance: InstanceId, now: Time) {
        if self.former == Some(instance) {
            return;
        }
        if self.instance.is_some() {
            self.former = self.instance;
            self.ramp_start = Some(now);
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

    /// Notes that the target could not be used; each failure doubles the pause. Failures during a
    /// pause belong to the outage that began it: all requests in flight fail at once when a target
    /// crashes, and doubling for each would keep it out for seconds after a short outage.
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

    /// Notes an attempt cancelled at `now`, as the slower of two is. A target that has sent nothing
    /// since the attempt was sent may have stalled; without this its cancelled attempts would
    /// leave no trace and it would look idle.
    pub fn record_cancelled(&mut self, sent: Time, now: Time) {
        let reported_since = self.report.is_some_and(|(_, at)| at > sent);
        let service = self.service_time(&Mean::default(), now);
        if !reported_since && now - sent > service * 2 + self.rtt {
            self.back_off(now);
        }
    }

    /// Notes an attempt that ran out of time while it ran. A short deadline alone says nothing about
    /// the target; a wait far beyond its service time does, also when its daemon still reports.
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
        let slots = f64::from(self.slots);
        let occupancy = self.expected_occupancy(mean, service, now);
        let waiting = (occupancy + 1.0 - slots).max(0.0) / slots;
        let busy = BUSY_COST * (occupancy / slots).min(1.0).powi(2);
        let mut cost = service.mul_f64(1.0 + waiting + busy) + self.rtt;
        cost += self.overdue(service, now);
        cost += self.strain_cost(service, now);
        cost += FAILING_COST.mul_f64(self.excess_failures(mean, now));
        cost += RECENT_FAILURE_COST.mul_f64(self.recent_failure(now));
        cost = cost.mul_f64(self.ramp_factor(now));
        Estimate {
            age: self.report.map(|(_, at)| now - at),
            cost,
            occupancy,
            service,
        }
    }

    /// Expected time to an answer at a target whose slots are all taken but where none waits.
    pub fn busy_time(&self, mean: &Mean, now: Time) -> Duration {
        self.service_time(mean, now).mul_f64(1.0 + BUSY_COST)
    }

    fn service_time(&self, mean: &Mean, now: Time) -> Duration {
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

    /// The reported service time, which fades toward the mean with the report's age: a target that is
    /// never picked sends no reports, so its recovery would not be noticed.
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

    /// Extra time that work is expected to take if the machine is still as slow as reported.
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

    /// How much later the oldest outstanding request is than expected. A target that stalls sends no
    /// reports, so silence itself must raise its cost.
    fn overdue(&self, service: Duration, now: Time) -> Duration {
        let oldest = self.sent.values().next();
        let elapsed = oldest.map_or(Duration::ZERO, |sent| now - *sent);
        elapsed.saturating_sub(service * 2 + self.rtt)
    }

    /// Share of failed answers above the service's mean. A target that fails fast looks idle and
    /// would otherwise attract the work of all others.
    fn excess_failures(&self, mean: &Mean, now: Time) -> f64 {
        let Some((report, at)) = self.report else {
            return 0.0;
        };
        let excess = (f64::from(report.failing) - mean.failing) / 100.0;
        let decay = (-(now - at).as_secs_f64() / FAILING_DECAY.as_secs_f64()).exp();
        excess.max(0.0) * decay
    }

    /// A target that failed last is tried again when its pause ends, but not before others that work.
    fn recent_failure(&self, now: Time) -> f64 {
        let Some(failed_at) = self.failed_at else {
            return 0.0;
        };
        (-(now - failed_at).as_secs_f64() / RECENT_FAILURE_DECAY.as_secs_f64()).exp()
    }

    fn ramp_factor(&self, now: Time) -> f64 {
        let Some(start) = self.ramp_start else {
            return 1.0;
        };
        let done = (now - start).as_secs_f64() / RAMP_DURATION.as_secs_f64();
        (RAMP_FACTOR - (RAMP_FACTOR - 1.0) * done).max(1.0)
    }
}
