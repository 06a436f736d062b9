//! Target selection for one daemon, based on load reports and the results of its own attempts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::view::{ColdTarget, Mean, View};
use super::{Estimate, LatencyWindow, Policy};
use crate::config::Configuration;
use crate::ids::{InstanceId, ServiceId, TargetId};
use crate::link::OUTSTANDING;
use crate::load::LoadReport;
use crate::outcome::{AttemptResult, Loss, Refusal};
use crate::time::Time;

/// Number of random candidates compared by [`Policy::Expected`]. With more of them, daemons that
/// have the same reports would all choose the same target.
const CANDIDATES: usize = 3;
/// Number of additional random candidates from the local failure domain, compared if
/// [`Balancer::prefer_local`] was called.
const LOCAL_CANDIDATES: usize = 3;
/// Round-trip time assumed for a target in the local failure domain before the first sample.
const INITIAL_LOCAL_RTT: Duration = Duration::from_micros(300);
/// Round-trip time assumed for a target in another failure domain before the first sample.
const INITIAL_REMOTE_RTT: Duration = Duration::from_millis(3);
/// Share of the service time that is added to the cost of a target in another failure domain.
const REMOTE_COST_SHARE: f64 = 0.5;
/// Quantile of the latency window after which a hedge is sent.
const HEDGE_QUANTILE: f64 = 0.95;
/// Minimum number of latency samples for a hedge delay based on the quantile.
const HEDGE_MIN_SAMPLES: u32 = 50;
/// Hedge delay with fewer than [`HEDGE_MIN_SAMPLES`] samples.
const HEDGE_DEFAULT: Duration = Duration::from_millis(100);
const HEDGE_MIN: Duration = Duration::from_millis(2);
/// Time for which a target gets no large bodies after its daemon has refused one for its link: the bodies that
/// were granted before have arrived then.
const LINK_BUSY: Duration = OUTSTANDING;
/// Maximum age of a report that is included in the mean of a service.
const MEAN_WINDOW: Duration = Duration::from_secs(1);

/// Identifies an attempt from its registration until [`Balancer::observe`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// The properties of a call on which a pick depends.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// The service whose targets are eligible.
    pub service: ServiceId,
    /// Time that the request's body takes on the way to a target of another machine. A large body that
    /// moves from target to target saturates the links, so that it waits longer before it moves.
    pub transfer: Duration,
    /// Targets of earlier attempts of the same call; they are excluded.
    pub tried: &'a [TargetId],
}

/// A picked target, its cost estimate and the time limits of the attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Number of other eligible targets.
    pub alternatives: usize,
    /// The cost estimate of the target, computed under every policy.
    pub estimate: Estimate,
    /// Delay after which a hedge may be sent if no answer has arrived.
    pub hedge: Duration,
    /// The target's current instance; `None` until a report or the member list names one.
    pub instance: Option<InstanceId>,
    /// Maximum wait for a slot; beyond it, another target is expected to be faster.
    pub max_wait: Duration,
    /// The target to send to.
    pub target: TargetId,
    /// Must be passed to [`Balancer::observe`] when the attempt ends.
    pub ticket: Ticket,
}

/// The end of an attempt and its measurements.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Time from sending to the reply or to the loss of the attempt.
    pub elapsed: Duration,
    /// Part of `elapsed` that the request spent at the target's daemon, as stated in the reply.
    pub held: Duration,
    /// Whether the answer states that the target leaves.
    pub leaving: bool,
    /// The load report in the reply; `None` without a reply.
    pub report: Option<&'a LoadReport>,
    /// How the attempt ended.
    pub result: AttemptResult,
    /// The ticket of the attempt.
    pub ticket: Ticket,
}

/// The entry of a target in the member list.
#[derive(Clone, Copy, Debug)]
pub struct Membership {
    /// The running instance; `None` if none has been announced.
    pub instance: Option<InstanceId>,
    /// Whether the target is shutting down and must get no new work.
    pub leaving: bool,
    /// The target that the entry describes.
    pub target: TargetId,
}

/// Tracks the state of all targets as seen by this daemon and picks targets for attempts.
#[derive(Debug)]
pub struct Balancer {
    domain: String,
    /// Failure domains whose targets are not eligible.
    evacuated: BTreeSet<String>,
    issued: BTreeMap<Ticket, TargetId>,
    latency: BTreeMap<ServiceId, LatencyWindow>,
    next_ticket: u64,
    policy: Policy,
    /// Whether the losers of hedged requests are normal, so that one alone isn't taken for a stalled target.
    hedges: bool,
    /// Whether targets in other failure domains are charged an extra cost.
    prefers_local: bool,
    rng: Pcg64Mcg,
    rotation: usize,
    pub(super) views: BTreeMap<TargetId, View>,
}

impl Balancer {
    /// Creates a balancer without targets for a daemon in the failure domain `domain`.
    pub fn new(domain: &str, policy: Policy, seed: u64) -> Self {
        Self {
            domain: domain.to_owned(),
            evacuated: BTreeSet::new(),
            hedges: false,
            issued: BTreeMap::new(),
            latency: BTreeMap::new(),
            next_ticket: 0,
            policy,
            prefers_local: false,
            rng: Pcg64Mcg::seed_from_u64(seed),
            rotation: 0,
            views: BTreeMap::new(),
        }
    }

    /// Prefers targets in the local failure domain, for deployments where traffic between domains
    /// is billed. Applies to [`Policy::Expected`] only.
    pub fn prefer_local(&mut self) {
        self.prefers_local = true;
    }

    /// Tells that late requests are sent to a second target as a rule. The cancelled loser is then mostly an
    /// ordinary slow request; only several of them without a report show a stalled target.
    pub fn expect_hedges(&mut self) {
        self.hedges = true;
    }

    /// The service of a ticket's target; `None` if the ticket has ended or its target isn't configured.
    pub fn service_of(&self, ticket: Ticket) -> Option<ServiceId> {
        let target = self.issued.get(&ticket)?;
        self.views.get(target).map(|v| v.service)
    }

    /// The latency that a share `quantile` of a service's recent answers didn't exceed; `None` with fewer than
    /// `samples` of them.
    pub fn latency(&self, service: ServiceId, quantile: f64, samples: u32) -> Option<Duration> {
        let window = self.latency.get(&service)?;
        let known = Some(window).filter(|w| w.samples() >= samples);
        known.and_then(|w| w.quantile(quantile))
    }

    /// Replaces the set of targets. Recorded state is kept for targets that stay configured.
    pub fn configure(&mut self, config: &Configuration) {
        self.views.retain(|id, _| config.targets.contains_key(id));
        for (id, target) in &config.targets {
            let rtt = if target.domain == self.domain {
                INITIAL_LOCAL_RTT
            } else {
                INITIAL_REMOTE_RTT
            };
            let fresh = || View::new(target.service, &target.domain, target.slots, rtt);
            let view = self.views.entry(*id).or_insert_with(fresh);
            view.service = target.service;
            view.domain.clone_from(&target.domain);
            view.slots = target.slots;
        }
    }

    /// Replaces what the store states about cold targets. Those that aren't named are warm.
    pub fn set_cold(&mut self, cold: &BTreeMap<TargetId, ColdTarget>) {
        for (id, view) in &mut self.views {
            view.cold = cold.get(id).copied();
        }
    }

    /// Replaces the set of evacuated failure domains, whose targets get no attempts.
    pub fn evacuate(&mut self, domains: &BTreeSet<String>) {
        self.evacuated.clone_from(domains);
    }

    /// Applies changed entries of the member list. Unknown targets are ignored.
    pub fn update_members(&mut self, members: &[Membership], now: Time) {
        for member in members {
            let Some(view) = self.views.get_mut(&member.target) else {
                continue;
            };
            if member.instance.is_some() && member.instance == view.former {
                continue;
            }
            view.set_leaving(member.leaving);
            match member.instance {
                Some(instance) if view.instance != Some(instance) => {
                    view.replace_instance(instance, now);
                }
                Some(_) | None => {}
            }
        }
    }

    /// Picks a target according to the policy and registers an attempt at it.
    ///
    /// # Errors
    ///
    /// [`Refusal::Evacuated`] if all targets that would accept the request are in evacuated failure domains,
    /// [`Refusal::NoTarget`] if no target of the service is eligible for another reason.
    pub fn pick(&mut self, request: &PickRequest<'_>, now: Time) -> Result<Choice, Refusal> {
        let eligible = self.eligible(request, now);
        self.pick_among(&eligible.clone(), eligible, request, now)
    }

    /// Picks a target for a request with a large body: `own`, the target of this daemon, if it has a free
    /// slot, since the body then crosses no further link; else one whose daemon's link isn't known as busy.
    ///
    /// # Errors
    ///
    /// As for [`Balancer::pick`].
    pub fn pick_for_body(
        &mut self,
        request: &PickRequest<'_>,
        own: Option<TargetId>,
        now: Time,
    ) -> Result<Choice, Refusal> {
        let eligible = self.eligible(request, now);
        let mean = self.mean(request.service, now);
        let has_room = |id: &TargetId| self.views[id].has_free_slot(&mean, now);
        let own = own.filter(|id| eligible.contains(id) && has_room(id));
        let link_free = |id: &TargetId| self.views[id].link_busy_until <= now;
        let free: Vec<_> = eligible.iter().copied().filter(link_free).collect();
        let candidates = match own {
            Some(own) => vec![own],
            None if free.is_empty() => eligible.clone(),
            None => free,
        };
        self.pick_among(&candidates, eligible, request, now)
    }

    /// Picks one of `candidates`; the other eligible targets are its alternatives.
    pub(super) fn pick_among(
        &mut self,
        candidates: &[TargetId],
        eligible: Vec<TargetId>,
        request: &PickRequest<'_>,
        now: Time,
    ) -> Result<Choice, Refusal> {
        let mean = self.mean(request.service, now);
        let target = self
            .choose(candidates, &mean, now)
            .ok_or_else(|| self.refusal(request.service, now))?;
        let estimate = self.views[&target].estimate(&mean, now);
        let others: Vec<_> = eligible.into_iter().filter(|id| *id != target).collect();
        let max_wait = self.max_wait(target, &others, &mean, now) + request.transfer;
        let alternatives = others.len();
        let hedge = self.hedge_delay(request.service);
        let ticket = self.issue(target, now);
        Ok(Choice {
            alternatives,
            estimate,
            hedge,
            instance: self.views[&target].instance,
            max_wait,
            target,
            ticket,
        })
    }

    /// Registers an attempt at a given target, such as the one named by an idempotency key.
    pub fn pin(&mut self, target: TargetId, now: Time) -> Ticket {
        self.issue(target, now)
    }

    /// Records the end of an attempt. Unknown tickets are ignored.
    pub fn observe(&mut self, observation: &Observation<'_>, now: Time) {
        let Some(target) = self.issued.remove(&observation.ticket) else {
            return;
        };
        let Some(view) = self.views.get_mut(&target) else {
            return;
        };
        let sent = view.sent.remove(&observation.ticket.0).unwrap_or(now);
        if observation.leaving {
            view.announced_leaving = Some(now);
        }
        if let Some(report) = observation.report {
            view.record_report(report, now);
            view.record_rtt(observation.elapsed.saturating_sub(observation.held));
        }
        match observation.result {
            AttemptResult::Answered => {
                view.record_success();
                let service = view.service;
                self.latency
                    .entry(service)
                    .or_default()
                    .add(observation.elapsed);
            }
            // A failed answer changes the cost only through the share of failures in the report.
            AttemptResult::Failed => {}
            AttemptResult::Lost(Loss::Cancelled) if self.hedges => {
                let window = self.latency.get(&view.service);
                let known = window.filter(|w| w.samples() >= HEDGE_MIN_SAMPLES);
                let longest = known.and_then(|w| w.quantile(1.0));
                view.record_loser(sent, longest, now);
            }
            AttemptResult::Lost(loss) => record_loss(view, loss, sent, now),
            AttemptResult::Refused(refusal) => record_refusal(view, refusal, now),
        }
    }

    /// Number of attempts at a target that have not ended.
    pub fn outstanding(&self, target: TargetId) -> usize {
        self.views.get(&target).map_or(0, |v| v.sent.len())
    }

    /// Describes each violated invariant; empty if there is none.
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for (id, view) in &self.views {
            for ticket in view.sent.keys() {
                if self.issued.get(&Ticket(*ticket)) != Some(id) {
                    faults.push(format!(
                        "{id} counts ticket {ticket}, which was not issued for it"
                    ));
                }
            }
        }
        faults
    }

    fn issue(&mut self, target: TargetId, now: Time) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.issued.insert(ticket, target);
        if let Some(view) = self.views.get_mut(&target) {
            view.sent.insert(ticket.0, now);
        }
        ticket
    }

    /// Targets that accept new work and have not been tried. If all of them are in backoff, returns
    /// the one whose backoff ends first, since refusing every request would be worse.
    fn eligible(&self, request: &PickRequest<'_>, now: Time) -> Vec<TargetId> {
        let accepting = |id: &TargetId, v: &View| {
            v.service == request.service && self.accepts_work(v, now) && !request.tried.contains(id)
        };
        let all: Vec<_> = self
            .views
            .iter()
            .filter(|(id, v)| accepting(id, v))
            .collect();
        let ready: Vec<_> = all
            .iter()
            .filter(|(_, v)| v.backoff_until <= now)
            .map(|(id, _)| **id)
            .collect();
        if !ready.is_empty() {
            return ready;
        }
        let first = all.iter().min_by_key(|(_, v)| v.backoff_until);
        first.map(|(id, _)| **id).into_iter().collect()
    }

    /// Whether a target accepts new work and its failure domain isn't evacuated.
    pub(super) fn accepts_work(&self, view: &View, now: Time) -> bool {
        !self.is_evacuated(view) && view.accepts_work(now)
    }

    /// Whether the failure domain of a target is evacuated.
    pub(super) fn is_evacuated(&self, view: &View) -> bool {
        self.evacuated.contains(&view.domain)
    }

    /// Why no target of a service is eligible. What the targets of an evacuated domain last reported doesn't
    /// matter: their gates report them as draining.
    fn refusal(&self, service: ServiceId, now: Time) -> Refusal {
        let of_service = || self.views.values().filter(|v| v.service == service);
        let accepting = of_service().any(|v| self.accepts_work(v, now));
        let evacuated = of_service().any(|v| !v.leaving && self.evacuated.contains(&v.domain));
        if evacuated && !accepting {
            Refusal::Evacuated
        } else {
            Refusal::NoTarget
        }
    }

    fn choose(&mut self, eligible: &[TargetId], mean: &Mean, now: Time) -> Option<TargetId> {
        match self.policy {
            Policy::Expected => {
                let views = &self.views;
                let local_domain = &self.domain;
                let cost = |id: &TargetId| {
                    let estimate = views[id].estimate(mean, now);
                    let remote = self.prefers_local && views[id].domain != *local_domain;
                    estimate.cost
                        + estimate
                            .service
                            .mul_f64(if remote { REMOTE_COST_SHARE } else { 0.0 })
                };
                let (cold, warm): (Vec<_>, Vec<_>) =
                    eligible.iter().partition(|id| views[id].is_cold(now));
                // A cold target is picked over warm ones only when it is expected to answer earlier.
                let (preferred, other) = if warm.is_empty() {
                    (cold, warm)
                } else {
                    (warm, cold)
                };
                let mut candidates: Vec<&TargetId> = preferred
                    .choose_multiple(&mut self.rng, CANDIDATES)
                    .copied()
                    .collect();
                if self.prefers_local {
                    let local: Vec<_> = preferred
                        .iter()
                        .filter(|id| views[id].domain == *local_domain)
                        .collect();
                    let local = local.choose_multiple(&mut self.rng, LOCAL_CANDIDATES);
                    candidates.extend(local.map(|id| **id));
                }
                candidates.extend(other.choose(&mut self.rng));
                candidates.into_iter().min_by_key(|id| cost(id)).copied()
            }
            Policy::LeastOutstanding => {
                let start = self.rng.random_range(0..eligible.len().max(1));
                let rotated = eligible[start..].iter().chain(&eligible[..start]);
                rotated.min_by_key(|id| self.outstanding(**id)).copied()
            }
            Policy::Random => eligible.choose(&mut self.rng).copied(),
            Policy::RoundRobin => {
                self.rotation = self.rotation.wrapping_add(1);
                eligible.get(self.rotation % eligible.len().max(1)).copied()
            }
            Policy::TwoChoices => {
                let pair: Vec<_> = eligible.choose_multiple(&mut self.rng, 2).collect();
                pair.into_iter()
                    .min_by_key(|id| self.reported_load(**id))
                    .copied()
            }
        }
    }

    /// Maximum wait for a slot before a reroute is expected to be faster: at least the shortest
    /// round trip to another target, and more if all others are expected to answer much later than
    /// this one. Otherwise a call would be refused by working targets in turn, and its last
    /// attempt, whose wait is unlimited, would be at the worst target.
    fn max_wait(&self, target: TargetId, others: &[TargetId], mean: &Mean, now: Time) -> Duration {
        let view = |id: &TargetId| &self.views[id];
        let min_rtt = others.iter().map(|id| view(id).rtt).min();
        let min_rtt = min_rtt.unwrap_or_default();
        match self.policy {
            Policy::Expected => {
                let cost = others.iter().map(|id| view(id).estimate(mean, now).cost);
                let busy = view(&target).busy_time(mean, now);
                min_rtt.max(cost.min().unwrap_or_default().saturating_sub(busy))
            }
            Policy::LeastOutstanding | Policy::Random | Policy::RoundRobin | Policy::TwoChoices => {
                min_rtt
            }
        }
    }

    fn reported_load(&self, target: TargetId) -> u32 {
        self.views[&target]
            .report
            .map_or(0, |(r, _)| r.running + r.queued)
    }

    pub(super) fn mean(&self, service: ServiceId, now: Time) -> Mean {
        let of_service = self.views.values().filter(|v| v.service == service);
        let fresh: Vec<_> = of_service
            .filter_map(|v| v.report)
            .filter(|(_, at)| now - *at <= MEAN_WINDOW)
            .map(|(r, _)| r)
            .collect();
        let count = fresh.len().max(1) as f64;
        let load = |r: &LoadReport| f64::from(r.running + r.queued) / f64::from(r.slots.max(1));
        let known = fresh.iter().filter(|r| !r.service.is_zero()).count().max(1) as u32;
        Mean {
            failing: fresh.iter().map(|r| f64::from(r.failing)).sum::<f64>() / count,
            load: fresh.iter().map(load).sum::<f64>() / count,
            service: fresh.iter().map(|r| r.service).sum::<Duration>() / known,
        }
    }

    fn hedge_delay(&self, service: ServiceId) -> Duration {
        let window = self
            .latency
            .get(&service)
            .filter(|w| w.samples() >= HEDGE_MIN_SAMPLES);
        let delay = window
            .and_then(|w| w.quantile(HEDGE_QUANTILE))
            .unwrap_or(HEDGE_DEFAULT);
        delay.max(HEDGE_MIN)
    }
}

fn record_loss(view: &mut View, loss: Loss, sent: Time, now: Time) {
    match loss {
        Loss::Closed | Loss::Malformed => view.record_failure(now),
        Loss::Cancelled => view.record_cancelled(sent, now),
        Loss::Expired => view.record_expired(sent, now),
        Loss::KeyForgotten | Loss::KeyUnreachable | Loss::Stopped => {}
    }
}

fn record_refusal(view: &mut View, refusal: Refusal, now: Time) {
    match refusal {
        Refusal::Down
        | Refusal::Misdirected
        | Refusal::NotReady
        | Refusal::Unreachable
        | Refusal::WrongTarget => {
            view.record_failure(now);
        }
        Refusal::PeerLink => view.link_busy_until = now + LINK_BUSY,
        Refusal::Budget
        | Refusal::Cancelled
        | Refusal::Cold
        | Refusal::Dependency
        | Refusal::Draining
        | Refusal::Evacuated
        | Refusal::Expired
        | Refusal::Full
        | Refusal::KeyInvalid
        | Refusal::KeyMismatch
        | Refusal::Link
        | Refusal::Malformed
        | Refusal::Memory
        | Refusal::NoTarget
        | Refusal::Overload
        | Refusal::Shed
        | Refusal::Stopping
        | Refusal::Strained
        | Refusal::TooLarge
        | Refusal::UnknownService => {}
    }
}
