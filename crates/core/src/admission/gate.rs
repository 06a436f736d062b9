//! Admission control for one target: which requests start, which wait, and which are refused.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use super::cold::{self, Cold};
use super::event::{Arrival, Effect, Event, Limits, Priority, RunEnd, WorkId};
use super::holdover::Holdover;
use super::name::StatedName;
use super::queue::{Queue, Waiting};
use super::rate::Rate;
use super::saturation::{Occupancy, Saturation};
use super::service::ServiceTimes;
use super::strain::{Strain, Verdict};
use crate::catalog::ServiceLimits;
use crate::ids::InstanceId;
use crate::load::{LEAVING_MAX_AGE, LoadReport, RateLimit, TargetLoad, TargetState};
use crate::outcome::Refusal;
use crate::routes::UsualTimes;
use crate::stop::{Expectation, StopPlan};
use crate::time::Time;

/// Weight of the newest result in the moving average of the failure share.
const FAILURE_WEIGHT: f64 = 0.1;
/// Maximum queue length per configured slot.
const QUEUE_PER_SLOT: usize = 8;
/// Service time used to estimate queueing delay before any request has finished.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(5);

/// While the target's machine is strained, or other requests hold its slots, waiting requests whose `max_wait`
/// is shorter than this are refused, so that their senders can try another target.
const STRAIN_RECOVERY_WAIT: Duration = Duration::from_millis(75);
/// Share of the usual service time of its kind that nearly every request takes at least. A request
/// with less time left before its deadline is refused.
const MIN_SERVICE_SHARE: f64 = 0.4;
/// Age from which a slowdown that the target reported is left out of load reports.
const SLOWDOWN_MAX_AGE: Duration = Duration::from_millis(100);

/// Whether a failure domain takes requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DomainState {
    Evacuated,
    InUse,
}

/// A request that holds a slot.
#[derive(Clone, Copy, Debug)]
struct Running {
    deadline: Time,
    /// Slots taken when the request started; `None` if the machine was strained then.
    occupancy: Option<Occupancy>,
    started: Time,
    priority: Priority,
}

/// Admission control for the local target: its slots, queue and state.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::admission::{Arrival, Effect, Event, Gate, Limits, Priority, WorkId};
/// use hawthornwall_core::prelude::*;
///
/// let limits = Limits { queue_wait: Duration::from_millis(50), slots: 1 };
/// let mut gate = Gate::new(InstanceId(1), limits);
/// let arrival = |id| Event::Arrive(Arrival {
///     deadline: Time::from_micros(1_000_000),
///     id: WorkId(id),
///     max_wait: Duration::ZERO,
///     priority: Priority::default(),
///     objective_deadline: None,
/// });
/// let now = Time::ZERO;
/// assert_eq!(gate.on(&arrival(1), now), vec![Effect::Start(WorkId(1))]);
/// assert_eq!(gate.on(&arrival(2), now), vec![Effect::Refuse(WorkId(2), Refusal::Full)]);
/// ```
#[derive(Debug)]
pub struct Gate {
    cold: Cold,
    /// State of the target's failure domain.
    domain: DomainState,
    draining: bool,
    failure_share: f64,
    holdover: Holdover,
    instance: InstanceId,
    /// When the target last stated that it leaves; `None` if it has not.
    leaving: Option<Time>,
    limits: Limits,
    queue: Queue,
    rate: Rate,
    reachable: bool,
    running: BTreeMap<WorkId, Running>,
    saturation: Saturation,
    seq: u64,
    service_times: ServiceTimes,
    stated_name: StatedName,
    /// Set once the daemon stops.
    stop: Option<StopPlan>,
    strain: Strain,
    target_drains: bool,
    /// Number of requests that may run at once, at most `limits.slots`.
    usable: u32,
}

impl Gate {
    /// Creates a gate without requests, for a target that is reachable and not draining.
    pub fn new(instance: InstanceId, limits: Limits) -> Self {
        Self {
            cold: Cold::default(),
            domain: DomainState::InUse,
            draining: false,
            failure_share: 0.0,
            holdover: Holdover::default(),
            instance,
            leaving: None,
            limits,
            queue: Queue::default(),
            rate: Rate::default(),
            reachable: true,
            running: BTreeMap::new(),
            saturation: Saturation::default(),
            seq: 0,
            service_times: ServiceTimes::default(),
            stated_name: StatedName::default(),
            stop: None,
            strain: Strain::default(),
            target_drains: false,
            usable: limits.slots,
        }
    }

    /// Applies one event and returns the resulting actions in the order in which they must be
    /// performed.
    pub fn on(&mut self, event: &Event, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.cold.observe_time(now);
        self.drop_expired(now, &mut effects);
        match *event {
            Event::Abandon(id) => self.abandon(id, now),
            Event::Arrive(arrival) => effects.extend(self.admit(&arrival, now)),
            Event::Cancel(id) => self.cancel(id, &mut effects),
            Event::Configure(limits) => self.configure(limits, &mut effects),
            Event::Drain => self.draining = true,
            Event::Evacuate(evacuated) => self.evacuate(evacuated, &mut effects),
            Event::Finish { end, id } => self.finish(id, end, now),
            Event::LoadAnswer(load) => {
                if let Some(load) = load {
                    self.holdover.observe(load, self.running.len(), now);
                }
                self.cold.fail_check(now);
                self.strain.finish_check(load, now);
            }
            Event::Stop(plan) => {
                self.stop = Some(plan);
                self.drop_expired(now, &mut effects);
            }
            Event::Reachable(reachable) => self.set_reachable(reachable, &mut effects),
            Event::TargetDrains(drains) => self.set_target_drains(drains, &mut effects),
            Event::TargetLeaves => {
                self.leaving = Some(now);
                self.refuse_waiting(Refusal::Draining, &mut effects);
            }
            Event::TargetReplaced => {
                self.replace_target(now);
                self.cold.replace_target(now);
            }
            Event::Tick => {}
        }
        self.start_waiting(now, &mut effects);
        if self.draining && self.running.is_empty() && self.queue.is_empty() {
            effects.push(Effect::Drained);
        }
        effects
    }

    /// Enables load checks before requests start, for targets that have a load endpoint.
    pub fn enable_load_checks(&mut self) {
        self.strain.enable();
    }

    /// Keeps requests back until the first [`Self::limit_cold`], as far as any limit on cold targets could
    /// require it, since the configuration hasn't been read.
    pub fn expect_cold_limit(&mut self) {
        self.cold.expect_limit();
    }

    /// Sets or lifts the limit on requests per second while the target is cold, from the configuration.
    pub fn limit_cold(&mut self, limits: Option<ServiceLimits>, now: Time) {
        self.cold.set_limit(limits, now);
    }

    /// Records the end of the cold time that the target's entry in the store states.
    pub fn observe_cold_entry(&mut self, until: Time, now: Time) {
        self.cold.observe_entry(until, now);
    }

    /// Records for how long the target stays cold according to its answer to a load check, zero if it is warm;
    /// `None` if the answer states no cold time. The [`Event::LoadAnswer`] of that check follows.
    pub fn observe_cold(&mut self, remaining: Option<Duration>, now: Time) {
        self.cold.observe(remaining.unwrap_or_default(), now);
    }

    /// Whether the target was last stated to be cold, and its service limits the requests to cold targets.
    pub fn is_cold(&self) -> bool {
        self.cold.is_cold()
    }

    /// Records the load that the target reported along with an answer.
    pub fn observe_load(&mut self, load: TargetLoad, now: Time) {
        // The answer's own request still counts as running here and no longer at the target.
        self.holdover
            .observe(load, self.running.len().saturating_sub(1), now);
        self.strain.observe(load, now);
    }

    /// Sets or lifts the limit on requests per second that the target stated in an answer; returns
    /// whether it has changed.
    pub fn limit_rate(&mut self, limit: Option<RateLimit>, now: Time) -> bool {
        self.rate.set(limit, now)
    }

    /// Records the name that the target stated in an answer; returns whether it differs from the last
    /// one. Another name is that of another run, to which nothing applies that the earlier run stated.
    pub fn observe_name(&mut self, name: &str, now: Time) -> bool {
        let known = self.stated_name.is_known();
        let changed = self.stated_name.record(name, now);
        if changed {
            self.replace_target(now);
        }
        if changed && known {
            self.cold.replace_target(now);
        }
        changed
    }

    /// Whether the target would reject a request that names `expected`, since it recently stated
    /// another name.
    pub fn is_misdirected(&self, expected: &str, now: Time) -> bool {
        self.stated_name.differs_from(expected, now)
    }

    /// Creates the load report for the next reply and advances the sequence number. Slots that the
    /// rate limit or the limit on cold targets keeps free now count as taken.
    pub fn report(&mut self, now: Time) -> LoadReport {
        self.seq += 1;
        let queued = self.queue.len();
        let limited = !(self.rate.wait(queued, now) + self.cold.wait(queued, now)).is_zero();
        let withheld = if limited { self.usable } else { 0 };
        // What the target reports isn't bounded; it takes no more slots than there are.
        let reported = self.occupied(now).min(self.usable as usize);
        let reported = reported.max(self.running.len());
        LoadReport {
            failing: (self.failure_share * 100.0).round() as u8,
            instance: self.instance,
            queued: self.queue.len() as u32,
            running: withheld.max(reported as u32),
            seq: self.seq,
            service: self.service_estimate(now),
            slowdown: self.recent_slowdown(now),
            slots: self.usable,
            state: self.state(now),
        }
    }

    /// Whether the target's failure domain is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.domain == DomainState::Evacuated
    }

    /// Whether the target has stated that it leaves.
    pub fn target_leaves(&self, now: Time) -> bool {
        self.leaving.is_some_and(|at| now - at < LEAVING_MAX_AGE)
    }

    /// State of the target as stated in load reports. A target in an evacuated domain is stated as draining,
    /// so that daemons that don't know of the evacuation yet send it no further requests.
    pub fn state(&self, now: Time) -> TargetState {
        match (self.accepts_none(now), self.reachable) {
            (true, _) => TargetState::Draining,
            (false, true) => TargetState::Serving,
            (false, false) => TargetState::Down,
        }
    }

    /// Number of requests that may run at once. It is below the configured number of slots while
    /// the target completes more work with fewer slots.
    pub fn usable_slots(&self) -> u32 {
        self.usable
    }

    /// Number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Checks the invariants and returns a description of each violation.
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let limit = self.queue_limit();
        if self.queue.len() > limit {
            faults.push(format!(
                "{} requests are queued; the limit is {limit}",
                self.queue.len()
            ));
        }
        for waiting in self.queue.iter() {
            let id = waiting.arrival.id;
            if self.running.contains_key(&id) {
                faults.push(format!("{id} is both running and queued"));
            }
        }
        let free = self.running.len() < self.usable as usize;
        let holding =
            self.strain.holding || self.cold.holding || self.rate.holding || self.holdover.holding;
        if !self.queue.is_empty() && free && !holding {
            faults.push("a request is queued while a slot is free".to_owned());
        }
        if !self.queue.is_empty() && self.target_drains {
            faults.push("a request is queued for a target that drains".to_owned());
        }
        if !self.queue.is_empty() && self.is_evacuated() {
            faults.push("a request is queued in an evacuated failure domain".to_owned());
        }
        faults
    }

    fn admit(&mut self, arrival: &Arrival, now: Time) -> Option<Effect> {
        let refusal = self.check(arrival, now).err();
        if refusal.is_none() {
            let service_times = &self.service_times;
            self.queue.push(*arrival, |p| service_times.usual(p), now);
        }
        refusal.map(|refusal| Effect::Refuse(arrival.id, refusal))
    }

    /// Whether the daemon or the target takes no new requests.
    fn accepts_none(&self, now: Time) -> bool {
        self.is_evacuated() || self.draining || self.target_drains || self.target_leaves(now)
    }

    /// Whether a request that arrives now is admitted.
    ///
    /// # Errors
    ///
    /// The reason why it would be refused.
    pub fn check(&self, arrival: &Arrival, now: Time) -> Result<(), Refusal> {
        if self.is_evacuated() {
            return Err(Refusal::Evacuated);
        }
        if self.accepts_none(now) {
            return Err(Refusal::Draining);
        }
        if !self.reachable {
            return Err(Refusal::Down);
        }
        if self.is_too_late(arrival, now) {
            return Err(Refusal::Expired);
        }
        if self.outlasts_daemon(arrival, now, now) {
            return Err(Refusal::Draining);
        }
        let cold_wait = self.cold_wait(arrival, now);
        let wait = self.expected_wait(arrival, now).max(cold_wait);
        if wait.is_zero() {
            return Ok(());
        }
        let allowed = self.allowed_wait(arrival).min(arrival.deadline - now);
        if cold_wait > allowed {
            return Err(Refusal::Cold);
        }
        if self.queue.len() >= self.queue_limit() || wait > allowed {
            return Err(Refusal::Full);
        }
        Ok(())
    }

    /// Longest time from its arrival for which a request may wait.
    fn allowed_wait(&self, arrival: &Arrival) -> Duration {
        arrival.max_wait.min(self.limits.queue_wait)
    }

    /// Expected time until the limit on cold targets lets a request start that arrives now.
    fn cold_wait(&self, arrival: &Arrival, now: Time) -> Duration {
        let usual = |p| self.service_times.usual(p);
        let ahead = self.queue.ahead_of(arrival, usual, now).len();
        self.cold.wait(ahead, now)
    }

    /// Expected time until a request starts that arrives now; zero if it can start at once.
    fn expected_wait(&self, arrival: &Arrival, now: Time) -> Duration {
        let ahead = self
            .queue
            .ahead_of(arrival, |p| self.service_times.usual(p), now);
        // Later requests of higher priority may start earlier, so the whole queue counts.
        let rate_wait = self.rate.wait(self.queue.len(), now);
        if self.occupied(now) + self.queue.len() < self.usable as usize {
            return rate_wait;
        }
        rate_wait.max(self.slot_wait(ahead, now))
    }

    /// Expected time until a slot is free for a request that starts after those `ahead`.
    fn slot_wait(&self, ahead: &[Waiting], now: Time) -> Duration {
        let estimate = self.service_estimate(now);
        let service_time = if estimate.is_zero() {
            DEFAULT_SERVICE_TIME
        } else {
            estimate
        };
        let time_of = |p: Priority| self.kind_service_time(p).unwrap_or(service_time);
        let total: Duration = ahead.iter().map(|w| time_of(w.arrival.priority)).sum();
        (total + service_time) / self.usable.max(1)
    }

    fn queue_limit(&self) -> usize {
        self.limits.slots as usize * QUEUE_PER_SLOT
    }

    /// A lower slot count also lowers the queue limit; the requests that would start last are
    /// refused.
    fn configure(&mut self, limits: Limits, effects: &mut Vec<Effect>) {
        if limits.slots != self.limits.slots {
            self.saturation = Saturation::default();
            self.usable = limits.slots;
        }
        self.limits = limits;
        let limit = self.queue_limit();
        let excess = |at: usize, _: &Waiting| (at >= limit).then_some(Refusal::Full);
        refuse(self.queue.remove_if(excess), effects);
    }

    fn cancel(&mut self, id: WorkId, effects: &mut Vec<Effect>) {
        if self.running.contains_key(&id) {
            effects.push(Effect::Abort(id));
            return;
        }
        let cancelled =
            |_: usize, waiting: &Waiting| (waiting.arrival.id == id).then_some(Refusal::Cancelled);
        refuse(self.queue.remove_if(cancelled), effects);
    }

    /// Only the duration of a completed request is a measure of service time: failures and
    /// rejections may take no time at all.
    fn finish(&mut self, id: WorkId, end: RunEnd, now: Time) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        self.cold.end(id, now);
        match end {
            RunEnd::Completed => {
                self.record_failure_sample(0.0);
                self.record(&running, now);
            }
            RunEnd::Failed => self.record_failure_sample(1.0),
            RunEnd::NotRun => {}
        }
    }

    /// The target may run the request until its deadline.
    fn abandon(&mut self, id: WorkId, now: Time) {
        if let Some(running) = self.running.get(&id) {
            self.holdover.abandon(running.deadline, now);
        }
    }

    /// Number of slots that are taken, or may be by requests that the gate no longer counts.
    fn occupied(&self, now: Time) -> usize {
        self.running.len() + self.holdover.slots(now)
    }

    fn record_failure_sample(&mut self, sample: f64) {
        self.failure_share += FAILURE_WEIGHT * (sample - self.failure_share);
    }

    fn record(&mut self, running: &Running, now: Time) {
        let Running {
            occupancy,
            started,
            priority,
            ..
        } = *running;
        self.service_times.record(priority, now - started);
        // Service times of requests without an objective vary too much to be compared.
        if let Some(occupancy) = occupancy.filter(|_| !priority.objective.is_zero()) {
            self.saturation
                .record(occupancy, priority, now - started, now);
            self.usable = self.saturation.best_slots(self.limits.slots, now);
        }
    }

    fn replace_target(&mut self, now: Time) {
        self.holdover.clear();
        self.leaving = None;
        self.rate.set(None, now);
    }

    /// A target that is no longer published as draining has restarted, so that it doesn't leave. Requests that
    /// wait when it starts to drain could reach it as it ends; another target can still run them.
    fn set_target_drains(&mut self, drains: bool, effects: &mut Vec<Effect>) {
        if self.target_drains && !drains {
            self.leaving = None;
        }
        self.target_drains = drains;
        if drains {
            self.refuse_waiting(Refusal::Draining, effects);
        }
    }

    fn set_reachable(&mut self, reachable: bool, effects: &mut Vec<Effect>) {
        self.reachable = reachable;
        if !reachable {
            self.refuse_waiting(Refusal::Down, effects);
        }
    }

    /// Requests that run may finish; those that wait can still run in another domain.
    fn evacuate(&mut self, evacuated: bool, effects: &mut Vec<Effect>) {
        if evacuated {
            self.domain = DomainState::Evacuated;
            self.refuse_waiting(Refusal::Evacuated, effects);
        } else {
            self.domain = DomainState::InUse;
        }
    }

    fn refuse_waiting(&mut self, refusal: Refusal, effects: &mut Vec<Effect>) {
        refuse(self.queue.remove_if(|_, _| Some(refusal)), effects);
    }

    /// Runs before every event, and after a stop, so that after a delay of the daemon expired requests neither start
    /// nor occupy queue positions that a new arrival needs.
    fn drop_expired(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort(|p| self.service_times.usual(p), now);
        let next = self.usable as usize;
        let expired = queue.remove_if(|at, waiting| {
            let objective_missed = at >= next && has_missed_objective(waiting, now);
            if objective_missed || self.is_too_late(&waiting.arrival, now) {
                return Some(Refusal::Expired);
            }
            self.outlasts_daemon(&waiting.arrival, waiting.arrived, now)
                .then_some(Refusal::Draining)
        });
        refuse(expired, effects);
        self.queue = queue;
    }

    /// Whether the request could not be answered before its deadline even if it started now.
    fn is_too_late(&self, arrival: &Arrival, now: Time) -> bool {
        let service_time = self.kind_service_time(arrival.priority).unwrap_or_default();
        arrival.deadline <= now + service_time.mul_f64(MIN_SERVICE_SHARE)
    }

    /// Whether the daemon stops before a request that arrived at `arrived` and starts now can be relied on to
    /// finish. Another target can still run it.
    fn outlasts_daemon(&self, arrival: &Arrival, arrived: Time, now: Time) -> bool {
        let usual = self.kind_service_time(arrival.priority);
        let request = Expectation {
            deadline: arrival.deadline,
            objective: arrival.priority.objective,
            usual: usual.map(|usual| UsualTimes {
                expected: usual,
                longest: usual,
            }),
        };
        self.stop
            .is_some_and(|plan| now >= plan.limits(&request, arrived).send)
    }

    /// Usual service time of a request's kind; `None` for requests without an objective, whose
    /// service times vary too much for an estimate.
    fn kind_service_time(&self, priority: Priority) -> Option<Duration> {
        (!priority.objective.is_zero()).then(|| self.service_times.usual(priority))
    }

    fn start_waiting(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.strain.holding = false;
        self.rate.holding = false;
        self.cold.holding = false;
        while self.occupied(now) < self.usable as usize && !self.queue.is_empty() {
            self.rate.holding = !self.rate.wait(0, now).is_zero();
            if self.rate.holding || !self.cold_allows(now, effects) || !self.may_start(now, effects)
            {
                break;
            }
            let Some(waiting) = self.queue.pop() else {
                break;
            };
            let Arrival {
                deadline,
                id,
                priority,
                ..
            } = waiting.arrival;
            let taken = Occupancy {
                slots: self.limits.slots,
                taken: self.running.len() as u32 + 1,
            };
            let running = Running {
                deadline,
                occupancy: (!self.strain.is_strained()).then_some(taken),
                started: now,
                priority,
            };
            self.running.insert(id, running);
            self.rate.take(now);
            self.cold.start(id, now);
            effects.push(Effect::Start(id));
        }
        let usable = self.usable as usize;
        self.holdover.holding = self.running.len() < usable && self.occupied(now) >= usable;
        if self.holdover.holding {
            self.refuse_short_max_wait(Refusal::Full, effects);
        }
    }

    /// Whether the first request in the queue may start. While the machine is strained, requests
    /// with a short `max_wait` are refused and the others wait for it to recover.
    fn may_start(&mut self, now: Time, effects: &mut Vec<Effect>) -> bool {
        match self.strain.verdict(now) {
            Verdict::Normal => return true,
            Verdict::Strained(slowdown) => {
                self.refuse_short_max_wait(Refusal::Strained, effects);
                let first = self.queue.first();
                let hold_expired = first.is_some_and(|waiting| {
                    let known = self.kind_service_time(waiting.arrival.priority);
                    let known = known.filter(|s| !s.is_zero());
                    let service_time = known.unwrap_or_else(|| self.usual_service_time());
                    now - waiting.arrived >= Strain::max_hold(service_time, slowdown)
                });
                if hold_expired {
                    return true;
                }
            }
            Verdict::Unknown => {
                self.begin_check(now, effects);
                // The limit on load checks of a target that may be cold leaves an older answer in force.
                if !self.strain.is_checking() && !self.strain.is_strained() {
                    return true;
                }
            }
        }
        self.strain.holding = true;
        false
    }

    /// Whether the limit on cold targets lets the first request in the queue start. Requests that would wait
    /// for it for too long are refused, so that their senders can try another target.
    fn cold_allows(&mut self, now: Time, effects: &mut Vec<Effect>) -> bool {
        if self.cold.check_due(now) {
            self.begin_check(now, effects);
        }
        match self.cold.verdict(now) {
            cold::Verdict::Start => return true,
            cold::Verdict::Ask => {}
            cold::Verdict::Hold => self.refuse_cold(now, effects),
        }
        self.cold.holding = true;
        false
    }

    fn refuse_cold(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let ahead = Cell::new(0);
        let mut queue = std::mem::take(&mut self.queue);
        let too_late = |_: usize, waiting: &Waiting| {
            let wait = self.cold.wait(ahead.get(), now);
            let late = now - waiting.arrived + wait > self.allowed_wait(&waiting.arrival);
            if late && !wait.is_zero() {
                return Some(Refusal::Cold);
            }
            ahead.set(ahead.get() + 1);
            None
        };
        refuse(queue.remove_if(too_late), effects);
        self.queue = queue;
    }

    /// Sends a load check, unless one is in progress or the last one to a target that may be cold was sent too
    /// recently.
    fn begin_check(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.cold.may_check(now) && self.strain.begin_check(now) {
            self.cold.begin_check(now);
            effects.push(Effect::CheckLoad);
        }
    }

    fn refuse_short_max_wait(&mut self, refusal: Refusal, effects: &mut Vec<Effect>) {
        let short_max_wait = |_: usize, waiting: &Waiting| {
            (waiting.arrival.max_wait < STRAIN_RECOVERY_WAIT).then_some(refusal)
        };
        refuse(self.queue.remove_if(short_max_wait), effects);
    }

    fn usual_service_time(&self) -> Duration {
        let overall = self.service_times.overall();
        if overall.is_zero() {
            DEFAULT_SERVICE_TIME
        } else {
            overall
        }
    }

    fn recent_slowdown(&self, now: Time) -> Option<u32> {
        let (slowdown, at) = self.strain.slowdown()?;
        (now - at < SLOWDOWN_MAX_AGE).then_some(slowdown)
    }

    /// Average service time, or the mean age of the running requests if that is higher. A stalled
    /// target finishes nothing, so the average alone would stay low.
    fn service_estimate(&self, now: Time) -> Duration {
        let ages = self.running.values().map(|r| now - r.started);
        let mean_age = ages.sum::<Duration>() / (self.running.len().max(1) as u32);
        self.service_times.overall().max(mean_age)
    }
}

fn refuse(removed: Vec<(WorkId, Refusal)>, effects: &mut Vec<Effect>) {
    let refused = removed.into_iter();
    effects.extend(refused.map(|(id, refusal)| Effect::Refuse(id, refusal)));
}

/// Whether a request has waited for its whole latency objective, so that its answer is certainly
/// late. At another target it would only wait again, and an early refusal is more useful to the
/// caller than a late answer. The requests that start next are exempt from this rule: refusing a
/// call made by a running request would fail that request too.
fn has_missed_objective(waiting: &Waiting, now: Time) -> bool {
    let objective = waiting.arrival.priority.objective;
    !objective.is_zero() && now - waiting.arrived >= objective
}
