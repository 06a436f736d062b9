//! Messages between the tasks of a daemon.
//!
//! Invariant: a message carries owned values and reply channels, never a reference to another task's
//! state. A dropped reply receiver means that nobody waits for the reply any more.

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

/// What is known of the instance beside a target.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name that the target must have to run a request, if it checks that.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expect: Option<Rc<str>>,
    /// Its run, if it has announced itself.
    pub instance: Option<InstanceId>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Address of its daemon.
    pub peer: SocketAddr,
}

/// Configuration in force and members, as `control` hands them to the other tasks.
#[derive(Clone, Debug, Default)]
pub struct World {
    /// The configuration in force.
    pub config: Configuration,
    /// The members by target.
    pub members: BTreeMap<TargetId, Member>,
    /// The target beside this daemon, if it is known.
    pub own: Option<TargetId>,
    /// Routes of requests; without them the configuration's services are found by host name or path.
    pub routes: Option<Rc<RouteTable>>,
}

/// What an attempt showed.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    /// From sending to the reply or its loss.
    pub elapsed: Duration,
    /// Time that the target's daemon held the request.
    pub held: Duration,
    /// The report on the reply.
    pub report: Option<LoadReport>,
    /// How the attempt ended.
    pub result: AttemptResult,
}

/// A ticket that ends exactly once: with what was observed, or as cancelled when it is dropped.
///
/// A ticket that never ended would make its target look stalled for ever.
#[derive(Debug)]
pub struct OpenTicket {
    router: RouterSender,
    ticket: Option<Ticket>,
}

impl OpenTicket {
    /// A ticket whose end is reported to `router`.
    pub fn new(router: RouterSender, ticket: Ticket) -> Self {
        Self {
            router,
            ticket: Some(ticket),
        }
    }

    /// Ends the ticket.
    pub fn close(mut self, seen: Seen) {
        self.report(seen);
    }

    fn report(&mut self, seen: Seen) {
        if let Some(ticket) = self.ticket.take() {
            let _ = self
                .router
                .unbounded_send(RouterMessage::Observe { seen, ticket });
        }
    }
}

impl Drop for OpenTicket {
    fn drop(&mut self) {
        let result = AttemptResult::Lost(Loss::Cancelled);
        self.report(Seen {
            elapsed: Duration::ZERO,
            held: Duration::ZERO,
            report: None,
            result,
        });
    }
}

/// A request that the router has let in.
#[derive(Clone, Debug)]
pub struct Opened {
    /// Time that the caller gives the request, or the service's default.
    pub left: Duration,
    /// Name of the service.
    pub name: String,
    /// The target beside this daemon, if the configuration names it.
    pub own: Option<TargetId>,
    /// The route that applies, where routes are published.
    pub route: Option<Rc<Route>>,
    /// Sharing rules of the service.
    pub rules: Rules,
    /// The service that the request is for.
    pub service: ServiceId,
    /// How much of the caller's time was over when the request arrived.
    pub spent: Duration,
    /// Version of the configuration that decided.
    pub version: Version,
}

/// A picked target.
#[derive(Debug)]
pub struct Picked {
    /// The choice.
    pub choice: Choice,
    /// Name that the target must have to run the request, if it checks that.
    pub expect: Option<Rc<str>>,
    /// The attempt's ticket.
    pub ticket: OpenTicket,
}

/// To the `router` task.
#[derive(Debug)]
pub enum RouterMessage {
    /// A request that was let in has ended.
    Close(ServiceId),
    /// An attempt ended.
    Observe {
        /// What it showed.
        seen: Seen,
        /// The attempt.
        ticket: Ticket,
    },
    /// Find the service of a request and count the request as in flight.
    Open {
        /// Time that the caller gives the request, if it states one.
        budget: Option<Duration>,
        /// Host name without port.
        host: String,
        /// Path and query.
        path: String,
        /// The service, or why the request is refused.
        reply: oneshot::Sender<Result<Opened, Refusal>>,
    },
    /// Pick a target.
    Pick {
        /// Why.
        kind: PickKind,
        /// The choice, or why none was made.
        reply: oneshot::Sender<Result<Picked, Refusal>>,
        /// The service.
        service: ServiceId,
        /// Targets that the call has tried.
        tried: Vec<TargetId>,
    },
    /// Register an attempt at a target that the call names.
    Pin {
        /// The attempt's ticket.
        reply: oneshot::Sender<OpenTicket>,
        /// The target.
        target: TargetId,
    },
    /// Configuration or members changed.
    World(Rc<World>),
}

/// What the probe task learned about the local target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbeResult {
    /// Whether the target says that it is draining; `None` if it says nothing.
    pub draining: Option<bool>,
    /// The load that it states.
    pub load: Option<TargetLoad>,
    /// Whether it can be reached at all.
    pub reachable: bool,
}

/// To the `probe` task.
#[derive(Debug)]
pub enum ProbeMessage {
    /// Ask the target for its load now.
    Ask,
    /// Configuration or members changed.
    World(Rc<World>),
}

/// A sender to the `probe` task.
pub type ProbeSender = mpsc::UnboundedSender<ProbeMessage>;

/// To the `gate` task.
#[derive(Debug)]
pub enum GateMessage {
    /// The sender no longer waits.
    Cancel(WorkId),
    /// Take no new work; reply when nothing is left.
    Drain(oneshot::Sender<()>),
    /// Issue an idempotency key.
    Issue {
        /// Repeated in the reply.
        id: hawthornwall_wire::peer::RequestId,
        /// The reply.
        reply: oneshot::Sender<RunReply>,
        /// The service.
        service: ServiceId,
        /// The target that the sender chose.
        target: TargetId,
    },
    /// The target was asked for its load; `None` if it has not told.
    Loaded(Option<TargetLoad>),
    /// A probe ended.
    Probed(ProbeResult),
    /// Run a request.
    Run {
        /// Repeated in the reply.
        id: hawthornwall_wire::peer::RequestId,
        /// The reply.
        reply: oneshot::Sender<RunReply>,
        /// The request.
        run: Box<RunRequest>,
        /// Identifies it in a cancellation.
        work: WorkId,
    },
    /// Report the load of the local target.
    Status(oneshot::Sender<GateStatus>),
    /// Configuration or members changed.
    World(Rc<World>),
}

/// State of the gate for operators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct GateStatus {
    /// Records of idempotency keys held.
    pub keys: usize,
    /// The load report that a reply would carry now.
    pub report: LoadReport,
    /// The local target's id, if the configuration names it.
    pub target: Option<TargetId>,
}

/// Why a request to a peer has no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerFault {
    /// Nothing was sent: as many requests are in flight to the peer as it allows.
    Busy,
    /// It was sent, and may have been received.
    Lost(Loss),
    /// Nothing was sent.
    Unreachable,
}

/// Whom to send a request to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerAddress {
    /// The daemon at an address.
    Socket(SocketAddr),
    /// The daemon beside a target.
    Target(TargetId),
}

/// To the `peers` task.
#[derive(Debug)]
pub enum PeersMessage {
    /// Close all connections once replies in hand are sent; reply when done.
    Close(oneshot::Sender<()>),
    /// Send a request to a peer.
    Send {
        /// The reply, or why there is none.
        reply: oneshot::Sender<Result<Reply, PeerFault>>,
        /// The request.
        request: Request,
        /// The peer.
        to: PeerAddress,
    },
    /// Report traffic.
    Status(oneshot::Sender<PeersStatus>),
    /// Configuration or members changed.
    World(Rc<World>),
}

/// Traffic with peers for operators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PeersStatus {
    /// Connections open.
    pub connections: usize,
    /// Bytes of exchanges received, without datagram overhead.
    pub control_received: u64,
    /// Bytes of exchanges sent, without datagram overhead.
    pub control_sent: u64,
    /// Bytes received in datagrams.
    pub received: u64,
    /// Bytes sent in datagrams.
    pub sent: u64,
}

/// To the `control` task.
#[derive(Debug)]
pub enum ControlMessage {
    /// A peer asks for news of the store's contents.
    Ask {
        /// What it knows.
        position: StorePosition,
        /// The news, once there are any.
        reply: oneshot::Sender<StoreUpdate>,
    },
    /// Hand out the configuration in force.
    Config(oneshot::Sender<Rc<World>>),
    /// A peer compares versions.
    Exchange {
        /// What the peer has.
        exchange: Box<Exchange>,
        /// What it lacks.
        reply: oneshot::Sender<Exchange>,
    },
    /// A request of `control` to a peer ended.
    Exchanged {
        /// The peer.
        peer: SocketAddr,
        /// The reply, or why there is none.
        result: Result<Box<Exchange>, PeerFault>,
        /// Position of the request in its conversation, from 0.
        round: u32,
    },
    /// This daemon takes no new work from now on.
    Leaving,
    /// A read of the platform ended.
    Platform(ReadEnd),
    /// Tell whether this daemon takes caller work.
    Ready(oneshot::Sender<bool>),
    /// Report configuration and members.
    Status(oneshot::Sender<ControlStatus>),
}

/// Configuration and membership for operators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlStatus {
    /// Digest of the configuration in force.
    pub digest: u64,
    /// Time since the version came into force, in milliseconds.
    pub in_force_ms: u64,
    /// Members by target name.
    pub members: BTreeMap<String, Member>,
    /// Peers that hear of news at once.
    pub neighbours: usize,
    /// Reads of the platform since the start.
    pub platform_reads: u64,
    /// Whether this daemon has what it needs to take caller work.
    pub ready: bool,
    /// Patches of the last document read that no daemon accepts, with the reasons.
    pub skipped: Vec<String>,
    /// Version in force.
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
    /// A sender whose work ids start at 0.
    pub fn new(sender: mpsc::UnboundedSender<GateMessage>) -> Self {
        Self {
            next: Rc::default(),
            sender,
        }
    }

    /// Sends a message. A gate that has ended takes none; its reply channels close.
    pub fn send(&self, message: GateMessage) {
        let _ = self.sender.unbounded_send(message);
    }

    /// An id that no other work of this process has.
    pub fn next_work(&self) -> WorkId {
        let id = self.next.get();
        self.next.set(id + 1);
        WorkId(id)
    }
}
