//! Messages to the `router` task, and what its replies contain.

use std::rc::Rc;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use hawthornwall_core::calls::{Hedge, PickKind, Suppression};
use hawthornwall_core::config::Rules;
use hawthornwall_core::link::LinkChange;
use hawthornwall_core::prelude::*;
use hawthornwall_core::routes::{Route, RunningId, UsualTimes};
use hawthornwall_core::routing::{Choice, Ticket};

use super::RoutingState;

/// Measurements and result of a finished attempt.
#[derive(Clone, Copy, Debug)]
pub struct Observed {
    /// Time from sending to the reply or to the loss of the attempt.
    pub elapsed: Duration,
    /// Part of `elapsed` that the request spent at the target's daemon; zero without a reply.
    pub held: Duration,
    /// Whether the answer states that the target leaves.
    pub leaving: bool,
    /// The load report in the reply; `None` without a reply.
    pub report: Option<LoadReport>,
    /// How the attempt ended.
    pub result: AttemptResult,
}

/// A ticket that is closed exactly once: with an observation, or as cancelled when it is dropped.
///
/// The balancer would count a ticket that is never closed as a request in flight and treat its target as
/// stalled.
#[derive(Debug)]
pub struct OpenTicket {
    router: RouterSender,
    ticket: Option<Ticket>,
}

impl OpenTicket {
    /// Wraps a ticket; its end is reported to `router`.
    pub fn new(router: RouterSender, ticket: Ticket) -> Self {
        Self {
            router,
            ticket: Some(ticket),
        }
    }

    /// Closes the ticket with the observation of its attempt.
    pub fn close(mut self, observed: Observed) {
        self.report(observed);
    }

    fn report(&mut self, observed: Observed) {
        if let Some(ticket) = self.ticket.take() {
            let _ = self
                .router
                .unbounded_send(RouterMessage::Observe { observed, ticket });
        }
    }
}

impl Drop for OpenTicket {
    fn drop(&mut self) {
        let result = AttemptResult::Lost(Loss::Cancelled);
        self.report(Observed {
            elapsed: Duration::ZERO,
            held: Duration::ZERO,
            leaving: false,
            report: None,
            result,
        });
    }
}

/// What the router counts as in flight of a request.
#[derive(Clone, Debug)]
pub struct InFlightRequest {
    /// The route of the request, and its number among the running ones; `None` if the configuration has no
    /// routes.
    pub routed: Option<Routed>,
    /// The service that gets the request.
    pub service: ServiceId,
}

/// A request in flight on a route.
#[derive(Clone, Debug)]
pub struct Routed {
    /// Host name without port.
    pub host: String,
    /// Number of the request.
    pub id: RunningId,
    /// The matching route.
    pub route: Rc<Route>,
}

/// A request that the router accepted and counts as in flight.
#[derive(Clone, Debug)]
pub struct Opened {
    /// Whether and when a second attempt may be sent, if the request may run more than once.
    pub hedge: Hedge,
    /// What is returned when the request has ended.
    pub inflight: InFlightRequest,
    /// Time limit set by the caller, or the default of the service.
    pub left: Duration,
    /// Name of the service.
    pub name: String,
    /// The local target; `None` if the configuration does not contain it.
    pub own: Option<TargetId>,
    /// Rules of the service.
    pub rules: Rules,
    /// Estimated part of the caller's time limit that had passed when the request arrived.
    pub spent: Duration,
    /// Times of recent requests of the route, if known.
    pub usual: Option<UsualTimes>,
    /// Version of the configuration that selected the service.
    pub version: Version,
}

impl Opened {
    /// The matching route; `None` if the configuration has no routes.
    pub fn route(&self) -> Option<&Route> {
        self.inflight.routed.as_ref().map(|r| &*r.route)
    }

    /// The service that the host name and path select.
    pub fn service(&self) -> ServiceId {
        self.inflight.service
    }
}

/// A picked target.
#[derive(Debug)]
pub struct Picked {
    /// The choice of the balancer.
    pub choice: Choice,
    /// Name that the request states and the target compares with its own; `None` if the target does
    /// not check it.
    pub expect: Option<Rc<str>>,
    /// Reports the end of the attempt to the router.
    pub ticket: OpenTicket,
}

/// Why no hedge is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeDenied {
    /// No target was picked, or the retry budget is used up. Without a share for hedges in the settings, this is
    /// the only reason.
    Refused(Refusal),
    /// The conditions for a hedge aren't met.
    Suppressed(Suppression),
}

/// A late request for which a hedge is due.
#[derive(Debug)]
pub struct LateRequest {
    /// Length of the body in bytes.
    pub body: usize,
    /// Time that most requests of the route take, if known.
    pub expected: Option<Duration>,
    /// Whether the request has a large body and the rate of the own link is set.
    pub large: bool,
    /// Time until the deadline.
    pub left: Duration,
    /// The service whose targets are eligible.
    pub service: ServiceId,
    /// Time that the request's body takes on the way to a target of another machine.
    pub transfer: Duration,
    /// Targets that the call has already tried.
    pub tried: Vec<TargetId>,
}

/// A message to the `router` task.
#[derive(Debug)]
pub enum RouterMessage {
    /// A request accepted by [`RouterMessage::Open`] has ended; it no longer counts as in flight.
    Close {
        /// What was returned when the request was accepted.
        inflight: InFlightRequest,
        /// Whether the request was passed on and not refused.
        ran: bool,
    },
    /// Pick a target for a hedge, if one may be sent.
    Hedge {
        /// The request.
        late: LateRequest,
        /// Receives the picked target, or the reason why there is none.
        reply: oneshot::Sender<Result<Picked, HedgeDenied>>,
    },
    /// An attempt ended.
    Observe {
        /// Measurements and result of the attempt.
        observed: Observed,
        /// The ticket that was issued for the attempt.
        ticket: Ticket,
    },
    /// Find the service of a request and count the request as in flight.
    Open {
        /// Time limit set by the caller; `None` selects the default of the service.
        budget: Option<Duration>,
        /// Host name without port.
        host: String,
        /// Path and query.
        path: String,
        /// Receives the accepted request, or the refusal.
        reply: oneshot::Sender<Result<Opened, Refusal>>,
    },
    /// The state of the own link changed.
    OwnLink(LinkChange),
    /// Pick a target for an attempt other than a hedge.
    Pick {
        /// The reason for the attempt; retries use the retry budget.
        kind: PickKind,
        /// Whether the request has a large body and the rate of the own link is set.
        large: bool,
        /// Receives the picked target, or the refusal.
        reply: oneshot::Sender<Result<Picked, Refusal>>,
        /// The service whose targets are eligible.
        service: ServiceId,
        /// Time that the request's body takes on the way to a target of another machine.
        transfer: Duration,
        /// Targets that the call has already tried.
        tried: Vec<TargetId>,
    },
    /// Register an attempt at a target that an idempotency key determines.
    Pin {
        /// Receives the ticket of the attempt.
        reply: oneshot::Sender<OpenTicket>,
        /// The target of the key.
        target: TargetId,
    },
    /// The configuration or the members changed.
    RoutingState(Rc<RoutingState>),
}

/// A sender to the `router` task.
pub type RouterSender = mpsc::UnboundedSender<RouterMessage>;
