//! Messages between the tasks of a daemon.
//!
//! Invariant: a message contains owned values and reply channels, never a reference to another task's
//! state. A dropped reply receiver cancels the request.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use hawthornwall_core::admission::WorkId;
use hawthornwall_core::calls::PickKind;
use hawthornwall_core::catalog::StorePosition;
use hawthornwall_core::config::Rules;
use hawthornwall_core::prelude::*;
use hawthornwall_core::routes::{Route, RouteTable};
use hawthornwall_core::routing::{Choice, Ticket};
use hawthornwall_wire::peer::{Exchange, Reply, Request, RunReply, RunRequest, StoreUpdate};
use serde::Serialize;

use crate::platform::ReadEnd;
use crate::self_report::SelfReport;

/// The instance that serves a target.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name that requests state and the target compares with its own; `None` if the target does not
    /// check it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expect: Option<Rc<str>>,
    /// Id of the running instance; `None` if none has been announced.
    pub instance: Option<InstanceId>,
    /// Whether the instance is leaving and accepts no new work.
    pub leaving: bool,
    /// Address of the instance's daemon.
    pub peer: SocketAddr,
}

/// The configuration in force and the members, published to the tasks that route and admit requests.
#[derive(Clone, Debug, Default)]
pub struct RoutingState {
    /// The configuration in force.
    pub config: Configuration,
    /// The members by target; a target without a member can't be reached.
    pub members: BTreeMap<TargetId, Member>,
    /// The local target; `None` if the configuration does not contain it.
    pub own: Option<TargetId>,
    /// Routes of requests; if `None`, services are found by the host names and paths of the
    /// configuration.
    pub routes: Option<Rc<RouteTable>>,
}

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

/// A request that the router accepted and counts as in flight.
#[derive(Clone, Debug)]
pub struct Opened {
    /// Time limit set by the caller, or the default of the service.
    pub left: Duration,
    /// Name of the service.
    pub name: String,
    /// The local target; `None` if the configuration does not contain it.
    pub own: Option<TargetId>,
    /// The matching route; `None` if the configuration has no routes.
    pub route: Option<Rc<Route>>,
    /// Rules of the service.
    pub rules: Rules,
    /// The service that the host name and path select.
    pub service: ServiceId,
    /// Estimated part of the caller's time limit that had passed when the request arrived.
    pub spent: Duration,
    /// Version of the configuration that selected the service.
    pub version: Version,
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

/// A message to the `router` task.
#[derive(Debug)]
pub enum RouterMessage {
    /// A request accepted by [`RouterMessage::Open`] has ended; it no longer counts as in flight.
    Close(ServiceId),
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
    /// Pick a target for an attempt.
    Pick {
        /// The reason for the attempt; hedges and retries use the retry budget.
        kind: PickKind,
        /// Receives the picked target, or the refusal.
        reply: oneshot::Sender<Result<Picked, Refusal>>,
        /// The service whose targets are eligible.
        service: ServiceId,
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

/// Result of a probe of the local target.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeResult {
    /// Whether the target reports that it is draining; `None` if the response does not state it.
    pub draining: Option<bool>,
    /// Whether the target accepts connections.
    pub reachable: bool,
    /// What the head of the response states; `None` without a response.
    pub report: Option<SelfReport>,
}

/// A message to the `probe` task.
#[derive(Debug)]
pub enum ProbeMessage {
    /// Query the target's load now; a [`GateMessage::LoadAnswer`] follows.
    CheckLoad,
    /// The configuration or the members changed.
    RoutingState(Rc<RoutingState>),
}

/// A sender to the `probe` task.
pub type ProbeSender = mpsc::UnboundedSender<ProbeMessage>;

/// A message to the `gate` task.
#[derive(Debug)]
pub enum GateMessage {
    /// The sender cancelled the request.
    Cancel(WorkId),
    /// Accept no new work; reply when all accepted work has ended.
    Drain(oneshot::Sender<()>),
    /// Issue an idempotency key.
    IssueKey {
        /// Id of the request, repeated in the reply.
        id: hawthornwall_wire::peer::RequestId,
        /// Receives the key, or the refusal.
        reply: oneshot::Sender<RunReply>,
        /// The service that the key is for.
        service: ServiceId,
        /// The target that the sender picked; the gate refuses if it is not the local one.
        target: TargetId,
    },
    /// Result of [`ProbeMessage::CheckLoad`]; `None` if the query failed or the budget denied it.
    LoadAnswer(Option<SelfReport>),
    /// A periodic probe ended.
    Probed(ProbeResult),
    /// Run a request.
    Run {
        /// Id of the request, repeated in the reply.
        id: hawthornwall_wire::peer::RequestId,
        /// Receives the result.
        reply: oneshot::Sender<RunReply>,
        /// The request with its limits.
        run: Box<RunRequest>,
        /// Identifies the request in a [`GateMessage::Cancel`].
        work: WorkId,
    },
    /// Report the state of the gate: stored keys, load and id of the local target.
    Status(oneshot::Sender<GateStatus>),
    /// The configuration or the members changed.
    RoutingState(Rc<RoutingState>),
}

/// State of the gate on the status page.
#[derive(Clone, Debug, Default, Serialize)]
pub struct GateStatus {
    /// Number of stored idempotency keys.
    pub keys: usize,
    /// The load report that a reply sent now would contain.
    pub report: LoadReport,
    /// Id of the local target; `None` if the configuration does not contain it.
    pub target: Option<TargetId>,
}

/// The reason why a request to a peer got no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerFault {
    /// Nothing was sent: the limit of requests in flight to the peer is reached.
    Busy,
    /// The request was sent, at least in part, and may have run.
    Lost(Loss),
    /// Nothing was sent: no connection could be opened, or the address is unknown.
    Unreachable,
}

/// The recipient of a request to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerAddress {
    /// The daemon at an address.
    Socket(SocketAddr),
    /// The daemon that serves a target.
    Target(TargetId),
}

/// A message to the `peers` task.
#[derive(Debug)]
pub enum PeersMessage {
    /// Stop the link; reply when done. Over TCP, pending replies may still be sent for a limited time;
    /// over QUIC, all connections are closed at once.
    Close(oneshot::Sender<()>),
    /// Send a request to a peer.
    Send {
        /// Receives the reply of the peer, or the reason why there is none.
        reply: oneshot::Sender<Result<Reply, PeerFault>>,
        /// The request to send.
        request: Request,
        /// The recipient.
        to: PeerAddress,
    },
    /// Report connections and traffic.
    Status(oneshot::Sender<PeersStatus>),
    /// The configuration or the members changed.
    RoutingState(Rc<RoutingState>),
}

/// Traffic with peers on the status page. All counts start at the start of the daemon.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PeersStatus {
    /// Number of open connections.
    pub connections: usize,
    /// Payload bytes of control messages received.
    pub control_received: u64,
    /// Payload bytes of control messages sent.
    pub control_sent: u64,
    /// Bytes received: datagrams with their headers over QUIC, streams of closed connections over TCP.
    pub received: u64,
    /// Bytes sent, counted in the same way as `received`.
    pub sent: u64,
}

/// A message to the `control` task.
#[derive(Debug)]
pub enum ControlMessage {
    /// A peer requests the next update of the store's contents.
    StoreUpdate {
        /// State of the peer's copy.
        position: StorePosition,
        /// Receives the update as soon as there is one. Dropped by daemons without a store.
        reply: oneshot::Sender<StoreUpdate>,
    },
    /// Return the configuration in force.
    Config(oneshot::Sender<Rc<RoutingState>>),
    /// A peer compares its configuration and members with this daemon's.
    Exchange {
        /// State of the peer.
        exchange: Box<Exchange>,
        /// Receives the changes that the peer lacks.
        reply: oneshot::Sender<Exchange>,
    },
    /// An exchange that `control` sent to a peer ended.
    Exchanged {
        /// Address of the peer.
        peer: SocketAddr,
        /// The reply of the peer, or the reason why there is none.
        result: Result<Box<Exchange>, PeerFault>,
        /// Index of the request within its comparison, from 0.
        round: u32,
    },
    /// This daemon accepts no new work from now on; peers are informed.
    Leaving,
    /// A read of the platform ended.
    Platform(ReadEnd),
    /// Return whether this daemon accepts requests of callers.
    Ready(oneshot::Sender<bool>),
    /// Report configuration and members.
    Status(oneshot::Sender<ControlStatus>),
}

/// Configuration and membership on the status page.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlStatus {
    /// Digest of the configuration in force; daemons with the same version and digest agree.
    pub digest: u64,
    /// Time since the version took effect on this daemon, in milliseconds.
    pub in_force_ms: u64,
    /// Members by target name.
    pub members: BTreeMap<String, Member>,
    /// Number of peers that updates are pushed to.
    pub neighbours: usize,
    /// Number of platform reads since the start, including failed ones.
    pub platform_reads: u64,
    /// Whether this daemon has the data that it needs to accept requests of callers.
    pub ready: bool,
    /// Invalid patches of the last document read, which all daemons skip, with the reasons.
    pub skipped: Vec<String>,
    /// Version of the configuration in force.
    pub version: Version,
    /// Whether this daemon watches the platform for its failure domain.
    pub watching: bool,
}

/// A sender to the `router` task.
pub type RouterSender = mpsc::UnboundedSender<RouterMessage>;
/// A sender to the `peers` task.
pub type PeersSender = mpsc::UnboundedSender<PeersMessage>;
/// A sender to the `control` task.
pub type ControlSender = mpsc::UnboundedSender<ControlMessage>;

/// A sender to the `gate` task, with the source of work ids.
#[derive(Clone, Debug)]
pub struct GateSender {
    next: Rc<Cell<u64>>,
    sender: mpsc::UnboundedSender<GateMessage>,
}

impl GateSender {
    /// Creates a sender; its work ids start at 0.
    pub fn new(sender: mpsc::UnboundedSender<GateMessage>) -> Self {
        Self {
            next: Rc::default(),
            sender,
        }
    }

    /// Sends a message. After the gate task has ended, the message is dropped and its reply channel
    /// closes.
    pub fn send(&self, message: GateMessage) {
        let _ = self.sender.unbounded_send(message);
    }

    /// Returns an id that is unique within this process.
    pub fn next_work(&self) -> WorkId {
        let id = self.next.get();
        self.next.set(id + 1);
        WorkId(id)
    }
}
