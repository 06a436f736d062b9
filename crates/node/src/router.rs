//! The task that owns the balancer, the retry budgets and the counts of requests in flight.
//!
//! Invariants:
//! - a target is picked for a hedge or retry only if the retry budget of the service allows it;
//! - requests in flight are limited per service, so that an overloaded service does not block the
//!   others.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::mpsc;
use hawthornwall_core::calls::{
    Hedge, HedgeConditions, Hedging, MIN_HEDGE_SAMPLES, PickKind, RetryBudget,
};
use hawthornwall_core::link::LinkChange;
use hawthornwall_core::prelude::*;
use hawthornwall_core::routes::{AnswerTimes, Repeatability, Route, Splitter, UsualBudgets};
use hawthornwall_core::routing::{
    Balancer, Choice, ColdTarget, Membership, Observation, PickRequest, Policy, Ticket,
};

use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::messages::{
    HedgeDenied, InFlightRequest, LateRequest, Observed, OpenTicket, Opened, Picked, Routed,
    RouterMessage, RouterSender, RoutingState,
};
use crate::telemetry::log;

/// Quantile of the recent answer times of a service that a hedge is expected to take, if the configuration has
/// no routes.
const USUAL_QUANTILE: f64 = 0.75;

/// Parameters of the router task.
#[derive(Debug)]
pub struct RouterStart<'a> {
    /// Clock shared by the tasks of this process.
    pub clock: Clock,
    /// Protocol conventions; the platform's dialect prefers local targets.
    pub dialect: Dialect,
    /// Failure domain of this instance.
    pub domain: &'a str,
    /// Maximum number of second copies of late requests per hundred requests.
    pub hedge_percent: u32,
    /// Algorithm that picks targets.
    pub policy: Policy,
    /// Messages from other tasks.
    pub receiver: mpsc::UnboundedReceiver<RouterMessage>,
    /// Seed of random choices.
    pub seed: u64,
    /// Sender of the same channel, used by tickets to report their ends.
    pub sender: RouterSender,
    /// Maximum number of requests in flight per service.
    pub service_limit: usize,
}

/// The state of the router task.
#[derive(Debug)]
pub struct Router {
    answer_times: AnswerTimes,
    balancer: Balancer,
    budgets: BTreeMap<ServiceId, RetryBudget>,
    /// Usual time limits by host name and route, from which [`Opened::spent`] is estimated.
    caller_budgets: UsualBudgets,
    clock: Clock,
    /// Picks refused since the evacuations last changed, because all targets were evacuated.
    evacuated_refusals: u64,
    /// `None` if the settings have no share for hedges.
    hedging: Option<Hedging>,
    inflight: BTreeMap<ServiceId, usize>,
    limit: usize,
    /// Whether the own link is saturated.
    link_saturated: bool,
    receiver: mpsc::UnboundedReceiver<RouterMessage>,
    sender: RouterSender,
    splitter: Splitter,
    routing: Rc<RoutingState>,
}

impl Router {
    /// Creates a router; it refuses all requests until the first [`RouterMessage::RoutingState`].
    pub fn new(start: RouterStart<'_>) -> Self {
        let mut balancer = Balancer::new(start.domain, start.policy, start.seed);
        match start.dialect {
            Dialect::Own => {}
            Dialect::Platform => balancer.prefer_local(),
        }
        let hedging = Hedging::new(start.hedge_percent);
        if hedging.is_some() {
            balancer.expect_hedges();
        }
        Self {
            answer_times: AnswerTimes::default(),
            balancer,
            budgets: BTreeMap::new(),
            caller_budgets: UsualBudgets::default(),
            clock: start.clock,
            evacuated_refusals: 0,
            hedging,
            inflight: BTreeMap::new(),
            limit: start.service_limit,
            link_saturated: false,
            receiver: start.receiver,
            sender: start.sender,
            splitter: Splitter::default(),
            routing: Rc::default(),
        }
    }

    /// Handles messages until all senders are dropped.
    pub async fn run(mut self) {
        while let Some(message) = self.receiver.next().await {
            match message {
                RouterMessage::Close { inflight, ran } => self.close(&inflight, ran),
                RouterMessage::Hedge { late, reply } => {
                    let picked = self.pick_hedge(&late);
                    let _ = reply.send(picked.map(|choice| self.picked(choice)));
                }
                RouterMessage::Observe { observed, ticket } => self.observe(&observed, ticket),
                RouterMessage::Open {
                    budget,
                    host,
                    path,
                    reply,
                } => {
                    let opened = self.open(host, &path, budget);
                    // A cancelled requester sends no Close, so the count is decremented here.
                    if let Err(Ok(opened)) = reply.send(opened) {
                        self.close(&opened.inflight, false);
                    }
                }
                RouterMessage::OwnLink(change) => {
                    self.link_saturated = match change {
                        LinkChange::Saturated => true,
                        LinkChange::Free => false,
                    };
                }
                RouterMessage::Pick {
                    kind,
                    large,
                    reply,
                    service,
                    transfer,
                    tried,
                } => {
                    let request = PickRequest {
                        service,
                        transfer,
                        tried: &tried,
                    };
                    let picked = self.pick(kind, &request, large);
                    let _ = reply.send(picked.map(|choice| self.picked(choice)));
                }
                RouterMessage::Pin { reply, target } => {
                    let ticket = self.balancer.pin(target, self.clock.now());
                    let _ = reply.send(self.open_ticket(ticket));
                }
                RouterMessage::RoutingState(routing) => self.configure(routing),
            }
        }
    }

    fn configure(&mut self, routing: Rc<RoutingState>) {
        self.balancer.configure(&routing.config);
        let members: Vec<_> = routing
            .members
            .iter()
            .map(|(target, m)| Membership {
                instance: m.instance,
                leaving: m.leaving,
                target: *target,
            })
            .collect();
        self.balancer.update_members(&members, self.clock.now());
        self.balancer.set_cold(&cold_targets(&routing));
        if self.routing.evacuated != routing.evacuated {
            self.evacuate(&routing.evacuated);
        }
        let services = &routing.config.services;
        self.budgets.retain(|id, _| services.contains_key(id));
        if let Some(hedging) = &mut self.hedging {
            hedging.retain(|id| services.contains_key(&id));
        }
        for (id, service) in &routing.config.services {
            let percent = service.rules.retry_percent;
            let budget = self
                .budgets
                .entry(*id)
                .or_insert_with(|| RetryBudget::new(percent));
            budget.set_percent(percent);
            if self.hedging.is_some() {
                budget.allow_hedges();
            }
            if routing.routes.is_some() {
                budget.share(routing.members.len());
            }
        }
        if self.routing.config.version != routing.config.version {
            self.splitter.reset();
        }
        self.routing = routing;
    }

    /// Passes the evacuations to the balancer, and logs how many picks the earlier ones have refused.
    fn evacuate(&mut self, domains: &BTreeSet<String>) {
        self.balancer.evacuate(domains);
        let refused = std::mem::take(&mut self.evacuated_refusals);
        let domains: Vec<_> = domains.iter().map(String::as_str).collect();
        let domains = domains.join(" ");
        log::info!("evacuated failure domains changed", kv: { domains, refused });
    }

    fn open(
        &mut self,
        host: String,
        path: &str,
        budget: Option<Duration>,
    ) -> Result<Opened, Refusal> {
        let config = &self.routing.config;
        if config.version == Version(0) {
            return Err(Refusal::NotReady);
        }
        let (service, route) = self.find(&host, path).ok_or(Refusal::UnknownService)?;
        let config = &self.routing.config;
        let inflight = self.inflight.entry(service).or_default();
        if *inflight >= self.limit {
            return Err(Refusal::Overload);
        }
        *inflight += 1;
        let spent = match (&route, budget) {
            (Some(route), Some(budget)) => self.caller_budgets.spent(&host, &route.prefix, budget),
            (Some(_) | None, _) => Duration::ZERO,
        };
        let (name, rules) = {
            let found = &config.services[&service];
            (found.name.clone(), found.rules.clone())
        };
        let now = self.clock.now();
        let hedge = self.hedge(&host, route.as_deref(), service, rules.hedge);
        let times = &mut self.answer_times;
        let usual = route
            .as_ref()
            .and_then(|route| times.usual(&host, &route.prefix, now));
        let routed = route.map(|route| Routed {
            id: times.start(&host, &route.prefix, now),
            host,
            route,
        });
        Ok(Opened {
            hedge,
            inflight: InFlightRequest { routed, service },
            left: budget.unwrap_or(rules.deadline),
            name,
            own: self.routing.own,
            rules,
            spent,
            usual,
            version: self.routing.config.version,
        })
    }

    /// Whether and when a hedge of a new request is due. Routes come without rules of their services, so that
    /// the setting alone allows hedges there.
    fn hedge(
        &mut self,
        host: &str,
        route: Option<&Route>,
        service: ServiceId,
        by_rules: bool,
    ) -> Hedge {
        let allowed = route.map_or(by_rules, |r| r.repeats == Repeatability::Idempotent);
        let time = match (&self.hedging, route) {
            (None, _) if by_rules => return Hedge::AfterChoice,
            (Some(hedging), Some(route)) if allowed => {
                let (times, quantile) = (&mut self.answer_times, hedging.quantile());
                times.quantile(host, &route.prefix, quantile, MIN_HEDGE_SAMPLES)
            }
            (Some(hedging), None) if allowed => {
                let quantile = hedging.quantile();
                self.balancer.latency(service, quantile, MIN_HEDGE_SAMPLES)
            }
            (None | Some(_), _) => return Hedge::Never,
        };
        time.map_or(Hedge::Never, |time| Hedge::After(Hedging::delay(time)))
    }

    /// The service of a request and the matching route, if routes are configured.
    fn find(&mut self, host: &str, path: &str) -> Option<(ServiceId, Option<Rc<Route>>)> {
        let config = &self.routing.config;
        let Some(routes) = &self.routing.routes else {
            return config.route(host, path).map(|service| (service, None));
        };
        let route = routes.find(host, path)?;
        let service = config.service_id_by_name(self.splitter.pick(host, route))?;
        Some((service, Some(Rc::clone(route))))
    }

    fn close(&mut self, ended: &InFlightRequest, ran: bool) {
        if let Some(inflight) = self.inflight.get_mut(&ended.service) {
            *inflight = inflight.saturating_sub(1);
        }
        let Some(Routed { host, id, route }) = &ended.routed else {
            return;
        };
        let times = &mut self.answer_times;
        if ran {
            times.end(host, &route.prefix, *id, self.clock.now());
        } else {
            times.discard(host, &route.prefix, *id);
        }
    }

    fn pick(
        &mut self,
        kind: PickKind,
        request: &PickRequest<'_>,
        large: bool,
    ) -> Result<Choice, Refusal> {
        let budget = self
            .budgets
            .get_mut(&request.service)
            .ok_or(Refusal::UnknownService)?;
        match kind {
            PickKind::First => {
                budget.deposit();
                if let Some(hedging) = &mut self.hedging {
                    hedging.deposit(request.service);
                }
            }
            PickKind::Reroute => {}
            PickKind::Hedge | PickKind::Retry => {
                if !budget.withdraw() {
                    return Err(Refusal::Budget);
                }
            }
        }
        let now = self.clock.now();
        let picked = if large {
            self.balancer.pick_for_body(request, self.routing.own, now)
        } else {
            self.balancer.pick(request, now)
        };
        if picked == Err(Refusal::Evacuated) {
            self.evacuated_refusals += 1;
        }
        picked
    }

    fn pick_hedge(&mut self, late: &LateRequest) -> Result<Choice, HedgeDenied> {
        let request = PickRequest {
            service: late.service,
            transfer: late.transfer,
            tried: &late.tried,
        };
        let (Some(hedging), Some(retries)) =
            (&mut self.hedging, self.budgets.get_mut(&late.service))
        else {
            let picked = self.pick(PickKind::Hedge, &request, late.large);
            return picked.map_err(HedgeDenied::Refused);
        };
        let now = self.clock.now();
        let balancer = &mut self.balancer;
        let of_service = || balancer.latency(late.service, USUAL_QUANTILE, MIN_HEDGE_SAMPLES);
        let conditions = HedgeConditions {
            body: late.body,
            evacuated: balancer.evacuation_affects(late.service),
            expected: late.expected.or_else(of_service),
            left: late.left,
            link_saturated: self.link_saturated,
            targets: balancer.hedge_targets(&request, now),
        };
        hedging
            .decide(late.service, &conditions, retries)
            .map_err(HedgeDenied::Suppressed)?;
        let picked = balancer.pick_for_copy(&request, now);
        picked.map_err(HedgeDenied::Refused)
    }

    fn picked(&self, choice: Choice) -> Picked {
        let member = self.routing.members.get(&choice.target);
        Picked {
            choice,
            expect: member.and_then(|m| m.expect.clone()),
            ticket: self.open_ticket(choice.ticket),
        }
    }

    fn open_ticket(&self, ticket: Ticket) -> OpenTicket {
        OpenTicket::new(self.sender.clone(), ticket)
    }

    fn observe(&mut self, observed: &Observed, ticket: Ticket) {
        let observation = Observation {
            elapsed: observed.elapsed,
            held: observed.held,
            leaving: observed.leaving,
            report: observed.report.as_ref(),
            result: observed.result,
            ticket,
        };
        if let Some(hedging) = &mut self.hedging
            && let Some(service) = self.balancer.service_of(ticket)
        {
            hedging.record(service, observed.result);
        }
        self.balancer.observe(&observation, self.clock.now());
    }
}

/// The targets that the store states to be cold, with the limits of their services.
fn cold_targets(routing: &RoutingState) -> BTreeMap<TargetId, ColdTarget> {
    let stated = routing.cold_until.iter();
    let cold = stated.filter_map(|(id, until)| {
        let service = routing.config.targets.get(id)?.service;
        let limits = routing.service_limits.get(&service)?;
        let cold = ColdTarget {
            interval: limits.cold_interval,
            until: *until,
        };
        Some((*id, cold))
    });
    cold.collect()
}
