//! The balancer: one view per target, picks and observations.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::view::{Mean, View};
use super::{Estimate, LatencyWindow, Policy};
use crate::config::Configuration;
use crate::ids::{InstanceId, ServiceId, TargetId};
use crate::load::LoadReport;
use crate::outcome::{AttemptResult, Loss, Refusal};
use crate::time::Time;

/// Random candidates compared by [`Policy::Expected`]. More would let all daemons that hold the
/// same reports choose the same target.
const CANDIDATES: usize = 3;
/// Random candidates of the own failure domain that are compared besides, where they are preferred.
const LOCAL_CANDIDATES: usize = 3;
/// Round trip assumed to a target of the own failure domain before any sample.
const INITIAL_LOCAL_RTT: Duration = Duration::from_micros(300);
/// Round trip assumed to a target of another failure domain before any sample.
const INITIAL_REMOTE_RTT: Duration = Duration::from_millis(3);
/// Share of the service time by which a target of another failure domain must be faster.
const REMOTE_COST_SHARE: f64 = 0.5;
/// Share of requests that are answered before a hedge is sent.
const HEDGE_QUANTILE: f64 = 0.95;
/// Samples needed before the hedge delay follows the latency window.
const HEDGE_SAMPLES: u32 = 50;
/// Hedge delay without enough samples.
const HEDGE_DEFAULT: Duration = Duration::from_millis(100);
/// Shortest hedge delay.
const HEDGE_MIN: Duration = Duration::from_millis(2);
/// Reports older than this don't count toward the service mean.
const MEAN_WINDOW: Duration = Duration::from_secs(1);

/// One attempt known to the balancer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// What a pick needs to know of the call.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// The service called.
    pub service: ServiceId,
    /// Targets that the call has tried already.
    pub tried: &'a [TargetId],
}

/// A picked target and why.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// How many other targets could take the call now.
    pub alternatives: usize,
    /// The estimate that decided.
    pub estimate: Estimate,
    /// When a hedge is due if no answer has arrived.
    pub hedge: Duration,
    /// The run of the target's daemon, as far as it is known.
    pub instance: Option<InstanceId>,
    /// Longest wait for a slot that is cheaper than asking another target.
    pub max_wait: Duration,
    /// The target.
    pub target: TargetId,
    /// Ends with [`Balancer::observe`].
    pub ticket: Ticket,
}

/// What an attempt showed.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// From sending to the reply or its loss.
    pub elapsed: Duration,
    /// Time that the target's daemon held the request.
    pub held: Duration,
    /// The report on the reply, if one arrived.
    pub report: Option<&'a LoadReport>,
    /// How the attempt ended.
    pub result: AttemptResult,
    /// The attempt.
    pub ticket: Ticket,
}

/// What the member list says about a target.
#[derive(Clone, Copy, Debug)]
pub struct MemberView {
    /// The running instance, if it has announced itself.
    pub instance: Option<InstanceId>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The target.
    pub target: TargetId,
}

/// This daemon's beliefs about all targets.
#[derive(Debug)]
pub struct Balancer {
    domain: String,
    issued: BTreeMap<Ticket, TargetId>,
    latency: BTreeMap<ServiceId, LatencyWindow>,
    next_ticket: u64,
    policy: Policy,
    /// Whether targets of the own failure domain are preferred.
    prefers_local: bool,
    rng: Pcg64Mcg,
    rotation: usize,
    views: BTreeMap<TargetId, View>,
}

impl Balancer {
    /// A balancer without targets, for a daemon in `domain`.
    pub fn new(domain: &str, policy: Policy, seed: u64) -> Self {
        Self {
            domain: domain.to_owned(),
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

    /// Prefers targets of the own failure domain, where traffic between domains has a price.
    pub fn prefer_local(&mut self) {
        self.prefers_local = true;
    }

    /// Takes over the targets of a configuration; what is known of kept ones stays.
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

    /// Takes over what the member list says.
    pub fn update_members(&mut self, members: &[MemberView], now: Time) {
        for member in members {
            let Some(view) = self.views.get_mut(&member.target) else {
                continue;
            };
            if member.instance.is_some() && member.instance == view.former {
                continue;
            }
            view.leaving = member.leaving;
            match member.instance {
                Some(instance) if view.instance != Some(instance) => {
                    view.replace_instance(instance, now);
                }
                Some(_) | None => {}
            }
        }
    }

    /// Picks a target.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoTarget`] if no target of the service may take the call.
    pub fn pick(&mut self, request: &PickRequest<'_>, now: Time) -> Result<Choice, Refusal> {
        let eligible = self.eligible(request, now);
        let mean = self.mean(request.service, now);
        let target = self
            .choose(&eligible, &mean, now)
            .ok_or(Refusal::NoTarget)?;
        let estimate = self.views[&target].estimate(&mean, now);
        let others: Vec<_> = eligible.into_iter().filter(|id| *id != target).collect();
        let max_wait = self.max_wait(target, &others, &mean, now);
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

    /// Registers an attempt at a target that the call names itself, as a keyed request does.
    pub fn pin(&mut self, target: TargetId, now: Time) -> Ticket {
        self.issue(target, now)
    }

    /// Learns from the end of an attempt. Unknown tickets are ignored.
    pub fn observe(&mut self, observation: &Observation<'_>, now: Time) {
        let Some(target) = self.issued.remove(&observation.ticket) else {
            return;
        };
        let Some(view) = self.views.get_mut(&target) else {
            return;
        };
        let sent = view.sent.remove(&observation.ticket.0).unwrap_or(now);
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
            // The share of failures in the report says whether to avoid the target.
            AttemptResult::Failed => {}
            AttemptResult::Lost(loss) => record_loss(view, loss, sent, now),
            AttemptResult::Refused(refusal) => record_refusal(view, refusal, now),
        }
    }

    /// Attempts that have not ended, for a target.
    pub fn outstanding(&self, target: TargetId) -> usize {
        self.views.get(&target).map_or(0, |v| v.sent.len())
    }

    /// Broken invariants.
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for (id, view) in &self.views {
            for ticket in view.sent.keys() {
                if self.issued.get(&Ticket(*ticket)) != Some(id) {
                    faults.push(format!(
                        "{id} counts ticket {ticket}, which is not issued to it"
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

    /// Targets that may take the call. If all of them are paused after failures, the one whose pause
    /// ends first is tried, since refusing everything would be worse.
    fn eligible(&self, request: &PickRequest<'_>, now: Time) -> Vec<TargetId> {
        let accepting = |id: &TargetId, v: &View| {
            v.service == request.service && v.accepts(now) && !request.tried.contains(id)
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
                let mut candidates: Vec<_> = eligible
                    .choose_multiple(&mut self.rng, CANDIDATES)
                    .collect();
                if self.prefers_local {
                    let local: Vec<_> = eligible
                        .iter()
                        .filter(|id| views[id].domain == *local_domain)
                        .collect();
                    candidates.extend(local.choose_multiple(&mut self.rng, LOCAL_CANDIDATES));
                }
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

    /// Longest wait for a slot that is cheaper than being refused and asking another target: at least
    /// the way to the other one. If all others are expected to answer late, waiting is cheaper even
    /// for long; otherwise the last attempt, which waits longest, would be at the worst target.
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

    fn mean(&self, service: ServiceId, now: Time) -> Mean {
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
            .filter(|w| w.samples() >= HEDGE_SAMPLES);
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
        Loss::KeyForgotten | Loss::KeyUnreachable => {}
    }
}

fn record_refusal(view: &mut View, refusal: Refusal, now: Time) {
    match refusal {
        Refusal::Down | Refusal::NotReady | Refusal::Unreachable | Refusal::WrongTarget => {
            view.record_failure(now);
        }
        Refusal::Budget
        | Refusal::Cancelled
        | Refusal::Draining
        | Refusal::Expired
        | Refusal::Full
        | Refusal::KeyInvalid
        | Refusal::KeyMismatch
        | Refusal::Malformed
        | Refusal::NoTarget
        | Refusal::Overload
        | Refusal::Shed
        | Refusal::Strained
        | Refusal::TooLarge
        | Refusal::UnknownService => {}
    }
}
