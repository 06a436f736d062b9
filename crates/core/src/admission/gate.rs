//! The gate in front of one target.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::queue::{Queue, Waiting};
use super::saturation::{Occupancy, Saturation};
use super::service::ServiceTimes;
use super::strain::{Strain, Verdict};
use crate::ids::InstanceId;
use crate::load::{LoadReport, TargetLoad, TargetState};
use crate::outcome::Refusal;
use crate::time::Time;

/// Weight of a new answer in the moving share of failures.
const FAILING_WEIGHT: f64 = 0.1;
/// Queue places per slot.
const QUEUE_PER_SLOT: usize = 8;
/// Service time assumed for the expected wait while none has been seen.
const ASSUMED_SERVICE: Duration = Duration::from_millis(5);

/// Wait for a strained machine to recover that a sender must accept, or its request goes elsewhere.
const STRAIN_WAIT: Duration = Duration::from_millis(75);
/// Share of the usual service time of its kind that hardly any request needs less of.
const LEAST_SHARE: f64 = 0.4;
/// Age at which a stated slowdown is no longer worth passing on.
const STATED_LIFE: Duration = Duration::from_millis(100);

/// One request held by the gate.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkId(pub u64);

impl fmt::Display for WorkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "work{}", self.0)
    }
}

/// What the configuration allows the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Longest expected wait at which a request is still queued.
    pub queue_wait: Duration,
    /// Requests that run at once.
    pub slots: u32,
}

/// Which of two waiting requests starts first: the one of the lower rank, then the one whose answer is
/// wanted sooner. Calls made by running work are wanted soonest, and what turning one away would waste
/// has already been worked on.
///
/// Urgencies are compared by their fields in this order; a lower one goes first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Urgency {
    /// Rank of the request's route, 0 first.
    pub rank: u8,
    /// Time within which an answer is worth most.
    pub objective: Duration,
}

/// A request that reached the gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// When its answer is useless.
    pub deadline: Time,
    /// Identifies it in effects.
    pub id: WorkId,
    /// Longest expected wait at which the sender prefers this target to another.
    pub patience: Duration,
    /// Its place among others that wait.
    pub urgency: Urgency,
    /// Until when its answer is in time; `None` if no time is known.
    pub wanted: Option<Time>,
}

/// A request that holds a slot.
#[derive(Clone, Copy, Debug)]
struct Running {
    /// Slots taken at the start, if the machine worked as usual then.
    start: Option<Occupancy>,
    started: Time,
    urgency: Urgency,
}

/// What happens to a gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A request arrived.
    Arrive(Arrival),
    /// The sender no longer wants an answer.
    Cancel(WorkId),
    /// New limits came into force.
    Configure(Limits),
    /// The target or its daemon begins to leave.
    Drain,
    /// A started request ended.
    Finish {
        /// Whether the answer was a server error or broken.
        failed: bool,
        /// The request.
        id: WorkId,
    },
    /// The target has answered [`Effect::Ask`], or can't be asked.
    Loaded(Option<TargetLoad>),
    /// The target became reachable or unreachable.
    Reachable(bool),
    /// The target says whether it takes new work. Unlike [`Event::Drain`] it may be taken back, since
    /// a target's word is sometimes wrong.
    TargetDrains(bool),
    /// Time has passed.
    Tick,
}

/// What the owner of a gate must do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Cancel the request at the target; its `Finish` still follows.
    Abort(WorkId),
    /// Ask the target for its load; [`Event::Loaded`] follows.
    Ask,
    /// Nothing runs or waits any more after a drain.
    Drained,
    /// Tell the sender that the request was not run.
    Refuse(WorkId, Refusal),
    /// Send the request to the target.
    Start(WorkId),
}

/// Slots, queue and state of the local target.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::admission::{Arrival, Effect, Event, Gate, Limits, Urgency, WorkId};
/// use hawthornwall_core::prelude::*;
///
/// let limits = Limits { queue_wait: Duration::from_millis(50), slots: 1 };
/// let mut gate = Gate::new(InstanceId(1), limits);
/// let arrival = |id| Event::Arrive(Arrival {
///     deadline: Time::from_micros(1_000_000),
///     id: WorkId(id),
///     patience: Duration::ZERO,
///     urgency: Urgency::default(),
///     wanted: None,
/// });
/// let now = Time::ZERO;
/// assert_eq!(gate.on(&arrival(1), now), vec![Effect::Start(WorkId(1))]);
/// assert_eq!(gate.on(&arrival(2), now), vec![Effect::Refuse(WorkId(2), Refusal::Full)]);
/// ```
#[derive(Debug)]
pub struct Gate {
    draining: bool,
    failing: f64,
    instance: InstanceId,
    limits: Limits,
    queue: Queue,
    reachable: bool,
    running: BTreeMap<WorkId, Running>,
    saturation: Saturation,
    seq: u64,
    services: ServiceTimes,
    strain: Strain,
    target_drains: bool,
    /// Slots out of all that are in use.
    usable: u32,
}

impl Gate {
    /// An idle gate.
    pub fn new(instance: InstanceId, limits: Limits) -> Self {
        Self {
            draining: false,
            failing: 0.0,
            instance,
            limits,
            queue: Queue::default(),
            reachable: true,
            running: BTreeMap::new(),
            saturation: Saturation::default(),
            seq: 0,
            services: ServiceTimes::default(),
            strain: Strain::default(),
            target_drains: false,
            usable: limits.slots,
        }
    }

    /// Takes one event and returns what must be done, in order.
    pub fn on(&mut self, event: &Event, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.drop_expired(now, &mut effects);
        match *event {
            Event::Arrive(arrival) => effects.extend(self.admit(&arrival, now)),
            Event::Cancel(id) => self.cancel(id, &mut effects),
            Event::Configure(limits) => self.configure(limits, &mut effects),
            Event::Drain => self.draining = true,
            Event::Finish { failed, id } => self.finish(id, failed, now),
            Event::Loaded(load) => self.strain.answered(load, now),
            Event::Reachable(reachable) => self.set_reachable(reachable, &mut effects),
            Event::TargetDrains(drains) => self.target_drains = drains,
            Event::Tick => {}
        }
        self.start_waiting(now, &mut effects);
        if self.draining && self.running.is_empty() && self.queue.is_empty() {
            effects.push(Effect::Drained);
        }
        effects
    }

    /// Begins to ask the target for its load before work starts.
    pub fn check_strain(&mut self) {
        self.strain.enable();
    }

    /// Takes in the load that the target stated on an answer.
    pub fn note_load(&mut self, load: TargetLoad, now: Time) {
        self.strain.note(load, now);
    }

    /// The report that goes out with the next reply.
    pub fn report(&mut self, now: Time) -> LoadReport {
        self.seq += 1;
        LoadReport {
            failing: (self.failing * 100.0).round() as u8,
            instance: self.instance,
            queued: self.queue.len() as u32,
            running: self.running.len() as u32,
            seq: self.seq,
            service: self.service_estimate(now),
            slowdown: self.stated_slowdown(now),
            slots: self.usable,
            state: self.state(),
        }
    }

    /// Whether the target takes new work.
    pub fn state(&self) -> TargetState {
        match (self.draining || self.target_drains, self.reachable) {
            (true, _) => TargetState::Draining,
            (false, true) => TargetState::Serving,
            (false, false) => TargetState::Down,
        }
    }

    /// Slots in use out of all, fewer than all where the target does more work with fewer.
    pub fn usable_slots(&self) -> u32 {
        self.usable
    }

    /// Requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Broken invariants.
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let limit = self.queue_limit();
        if self.queue.len() > limit {
            faults.push(format!("{} requests wait, {limit} may", self.queue.len()));
        }
        for waiting in self.queue.iter() {
            let id = waiting.arrival.id;
            if self.running.contains_key(&id) {
                faults.push(format!("{id} runs and waits"));
            }
        }
        let free = self.running.len() < self.usable as usize;
        if !self.queue.is_empty() && free && !self.strain.holding {
            faults.push("a request waits while a slot is free".to_owned());
        }
        faults
    }

    fn admit(&mut self, arrival: &Arrival, now: Time) -> Option<Effect> {
        let refusal = self.check(arrival, now).err();
        if refusal.is_none() {
            let services = &self.services;
            self.queue.push(*arrival, |u| services.usual(u), now);
        }
        refusal.map(|refusal| Effect::Refuse(arrival.id, refusal))
    }

    fn check(&self, arrival: &Arrival, now: Time) -> Result<(), Refusal> {
        if self.draining || self.target_drains {
            return Err(Refusal::Draining);
        }
        if !self.reachable {
            return Err(Refusal::Down);
        }
        if self.is_too_late(arrival, now) {
            return Err(Refusal::Expired);
        }
        if self.running.len() + self.queue.len() < self.usable as usize {
            return Ok(());
        }
        let wait = self.expected_wait(arrival, now);
        let allowed = arrival
            .patience
            .min(self.limits.queue_wait)
            .min(arrival.deadline - now);
        if self.queue.len() >= self.queue_limit() || wait > allowed {
            return Err(Refusal::Full);
        }
        Ok(())
    }

    fn expected_wait(&self, arrival: &Arrival, now: Time) -> Duration {
        let seen = self.service_estimate(now);
        let service = if seen.is_zero() {
            ASSUMED_SERVICE
        } else {
            seen
        };
        let ahead = self
            .queue
            .ahead_of(arrival, |u| self.services.usual(u), now);
        let needed = |u: Urgency| self.kind_service(u).unwrap_or(service);
        let total: Duration = ahead.iter().map(|w| needed(w.arrival.urgency)).sum();
        (total + service) / self.usable.max(1)
    }

    fn queue_limit(&self) -> usize {
        self.limits.slots as usize * QUEUE_PER_SLOT
    }

    /// Fewer slots mean a shorter queue; the requests that would start last leave it.
    fn configure(&mut self, limits: Limits, effects: &mut Vec<Effect>) {
        if limits.slots != self.limits.slots {
            self.saturation = Saturation::default();
            self.usable = limits.slots;
        }
        self.limits = limits;
        let limit = self.queue_limit();
        let excess = |at: usize, _: &Waiting| (at >= limit).then_some(Refusal::Full);
        refuse(self.queue.remove(excess), effects);
    }

    fn cancel(&mut self, id: WorkId, effects: &mut Vec<Effect>) {
        if self.running.contains_key(&id) {
            effects.push(Effect::Abort(id));
            return;
        }
        let cancelled =
            |_: usize, waiting: &Waiting| (waiting.arrival.id == id).then_some(Refusal::Cancelled);
        refuse(self.queue.remove(cancelled), effects);
    }

    fn finish(&mut self, id: WorkId, failed: bool, now: Time) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        let sample = if failed { 1.0 } else { 0.0 };
        self.failing += FAILING_WEIGHT * (sample - self.failing);
        // A failure says nothing about how long an answer takes.
        if !failed {
            self.learn(&running, now);
        }
    }

    fn learn(&mut self, running: &Running, now: Time) {
        let Running {
            start,
            started,
            urgency,
        } = *running;
        self.services.learn(urgency, now - started);
        // Requests without an objective may differ by any factor.
        if let Some(start) = start.filter(|_| !urgency.objective.is_zero()) {
            self.saturation.learn(start, urgency, now - started, now);
            self.usable = self.saturation.useful_slots(self.limits.slots, now);
        }
    }

    fn set_reachable(&mut self, reachable: bool, effects: &mut Vec<Effect>) {
        self.reachable = reachable;
        if !reachable {
            refuse(self.queue.remove(|_, _| Some(Refusal::Down)), effects);
        }
    }

    /// Comes before every event: after a pause, expired work must neither start nor take up places
    /// that a new arrival needs.
    fn drop_expired(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort(|u| self.services.usual(u), now);
        let next = self.usable as usize;
        let expired = queue.remove(|at, waiting| {
            let given_up = at >= next && waits_in_vain(waiting, now);
            (given_up || self.is_too_late(&waiting.arrival, now)).then_some(Refusal::Expired)
        });
        refuse(expired, effects);
        self.queue = queue;
    }

    /// Whether the answer could not be ready before the deadline even if work began now.
    fn is_too_late(&self, arrival: &Arrival, now: Time) -> bool {
        let usual = self.kind_service(arrival.urgency).unwrap_or_default();
        arrival.deadline <= now + usual.mul_f64(LEAST_SHARE)
    }

    /// Usual service time of a request's kind. Requests without an objective may differ by any factor,
    /// so that nothing is known of one of them.
    fn kind_service(&self, urgency: Urgency) -> Option<Duration> {
        (!urgency.objective.is_zero()).then(|| self.services.usual(urgency))
    }

    fn start_waiting(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.strain.holding = false;
        while self.running.len() < self.usable as usize {
            if self.queue.is_empty() || !self.may_start(now, effects) {
                break;
            }
            let Some(waiting) = self.queue.pop() else {
                break;
            };
            let Arrival { id, urgency, .. } = waiting.arrival;
            let taken = Occupancy {
                slots: self.limits.slots,
                taken: self.running.len() as u32 + 1,
            };
            let running = Running {
                start: (!self.strain.is_strained()).then_some(taken),
                started: now,
                urgency,
            };
            self.running.insert(id, running);
            effects.push(Effect::Start(id));
        }
    }

    /// Whether the request that waits longest may start. While the machine is strained, requests that
    /// may go elsewhere are refused, and others wait for it to recover.
    fn may_start(&mut self, now: Time, effects: &mut Vec<Effect>) -> bool {
        match self.strain.verdict(now) {
            Verdict::Calm => return true,
            Verdict::Strained(slowdown) => {
                self.refuse_impatient(effects);
                let first = self.queue.first();
                let held_enough = first.is_some_and(|waiting| {
                    let known = self.kind_service(waiting.arrival.urgency);
                    let usual = known.filter(|s| !s.is_zero());
                    let usual = usual.unwrap_or_else(|| self.usual_service());
                    now - waiting.arrived >= Strain::hold_limit(usual, slowdown)
                });
                if held_enough {
                    return true;
                }
            }
            Verdict::Unknown => {
                if self.strain.ask(now) {
                    effects.push(Effect::Ask);
                }
            }
        }
        self.strain.holding = true;
        false
    }

    fn refuse_impatient(&mut self, effects: &mut Vec<Effect>) {
        let impatient = |_: usize, waiting: &Waiting| {
            (waiting.arrival.patience < STRAIN_WAIT).then_some(Refusal::Strained)
        };
        refuse(self.queue.remove(impatient), effects);
    }

    fn usual_service(&self) -> Duration {
        let overall = self.services.overall();
        if overall.is_zero() {
            ASSUMED_SERVICE
        } else {
            overall
        }
    }

    fn stated_slowdown(&self, now: Time) -> Option<u32> {
        let (slowdown, at) = self.strain.slowdown()?;
        (now - at < STATED_LIFE).then_some(slowdown)
    }

    /// The average service time, raised by the requests that already run longer. A target that
    /// stalls finishes nothing, so its average alone would stay low.
    fn service_estimate(&self, now: Time) -> Duration {
        let ages = self.running.values().map(|r| now - r.started);
        let mean_age = ages.sum::<Duration>() / (self.running.len().max(1) as u32);
        self.services.overall().max(mean_age)
    }
}

fn refuse(removed: Vec<(WorkId, Refusal)>, effects: &mut Vec<Effect>) {
    let refused = removed.into_iter();
    effects.extend(refused.map(|(id, refusal)| Effect::Refuse(id, refusal)));
}

/// Whether a request that won't start soon has waited for as long as its answer was wanted in. Another
/// target would only let it wait longer; its caller has more of knowing than of an answer that is late for
/// certain. One that is among the next to start is kept: a call of running work would fail that work too.
fn waits_in_vain(waiting: &Waiting, now: Time) -> bool {
    let objective = waiting.arrival.urgency.objective;
    !objective.is_zero() && now - waiting.arrived >= objective
}
