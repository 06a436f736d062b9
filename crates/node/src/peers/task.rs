//! The task that owns the links to other daemons.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use error_stack::Report;
use futures::channel::{mpsc, oneshot};
use futures::{StreamExt, select_biased};
use hawthornwall_core::link::Rate;
use hawthornwall_settings::{LinkKind, PeerSettings};
use hawthornwall_wire::peer::{Reply, Request};

use super::bodies::{Bodies, Direction};
use super::inbound::Inbound;
use super::link::{Delivery, ExchangeSize, OwnMachine};
use super::quic::QuicLink;
use super::tcp::TcpLink;
use crate::clock::Clock;
use crate::memory::Memory;
use crate::messages::{
    ControlSender, GateSender, PeerAddress, PeerFault, PeersMessage, PeersStatus, RouterSender,
    RoutingState,
};
use crate::open_count::OpenCount;
use crate::start::StartError;
use crate::telemetry::{Telemetry, log};

/// Interval at which pending replies are counted at the end of a planned stop.
const FINISH_POLL: Duration = Duration::from_millis(10);
/// Maximum time to send pending replies.
const FINISH_LIMIT: Duration = Duration::from_secs(30);

/// Payload bytes of control messages since the start.
#[derive(Clone, Copy, Debug, Default)]
struct ControlTraffic {
    received: u64,
    sent: u64,
}

impl ControlTraffic {
    fn add(&mut self, size: ExchangeSize) {
        self.received += size.received as u64;
        self.sent += size.sent as u64;
    }
}

/// The transport selected by the settings.
enum Link {
    Quic(Box<QuicLink>),
    Tcp(Box<TcpLink>),
}

/// Parameters of the peers task.
#[derive(Debug)]
pub struct PeersStart<'a> {
    /// Clock shared by the tasks of this process.
    pub clock: Clock,
    /// Handles control requests from peers.
    pub control: ControlSender,
    /// Handles caller requests that peers forward.
    pub gate: GateSender,
    /// Maximum message size in bytes.
    pub limit: usize,
    /// Budget of buffered bytes and connections.
    pub memory: Memory,
    /// Rate of the network link in each direction, in megabits per second; `None` if it isn't set.
    pub link_mbps: Option<f64>,
    /// Messages from other tasks.
    pub receiver: mpsc::UnboundedReceiver<PeersMessage>,
    /// Learns of changes of the own link.
    pub router: RouterSender,
    /// Addresses, kind of link, secret and silence timeout.
    pub settings: &'a PeerSettings,
    /// Receives counts of bodies admitted to the own link.
    pub telemetry: Telemetry,
}

/// The state of the peers task.
pub struct Peers {
    control: ControlTraffic,
    exchange_sizes: mpsc::UnboundedReceiver<ExchangeSize>,
    link: Link,
    own: SocketAddr,
    /// Number of requests of callers that peers have sent, and whose replies have not been sent.
    pending: Rc<OpenCount>,
    receiver: mpsc::UnboundedReceiver<PeersMessage>,
    routing: Rc<RoutingState>,
}

impl std::fmt::Debug for Peers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Peers")
            .field("own", &self.own)
            .finish_non_exhaustive()
    }
}

impl Peers {
    /// Binds the socket and starts to accept connections.
    ///
    /// # Errors
    ///
    /// If the address is in use or the secret is malformed.
    pub fn start(start: PeersStart<'_>) -> Result<Self, Report<StartError>> {
        let settings = start.settings;
        let (sender, exchange_sizes) = mpsc::unbounded();
        let own = OwnMachine {
            clock: start.clock,
            link: start.link_mbps.map(Rate::from_mbps),
            router: start.router,
        };
        let telemetry = &start.telemetry;
        let admit =
            |rate| Bodies::start(rate, Direction::Receiving, start.clock, telemetry.clone());
        let pending = Rc::new(OpenCount::default());
        let inbound = Inbound {
            bodies: own.link.map(admit),
            clock: start.clock,
            control: start.control,
            gate: start.gate,
            limit: start.limit,
            memory: start.memory,
            pending: Rc::clone(&pending),
        };
        let link = match settings.link {
            LinkKind::Quic => Link::Quic(Box::new(QuicLink::start(settings, inbound, sender)?)),
            LinkKind::Tcp => Link::Tcp(Box::new(TcpLink::start(
                settings,
                inbound,
                sender,
                own,
                start.telemetry,
            )?)),
        };
        Ok(Self {
            control: ControlTraffic::default(),
            exchange_sizes,
            link,
            own: settings.advertise.unwrap_or(settings.listen),
            pending,
            receiver: start.receiver,
            routing: Rc::default(),
        })
    }

    /// Handles messages until [`PeersMessage::Close`] or until all senders are dropped.
    pub async fn run(mut self) {
        loop {
            let message = select_biased! {
                size = self.exchange_sizes.next() => {
                    self.control.add(size.unwrap_or_default());
                    continue;
                }
                message = self.receiver.next() => message,
            };
            match message {
                Some(PeersMessage::Close(done)) => {
                    match &mut self.link {
                        Link::Quic(link) => link.close().await,
                        Link::Tcp(link) => link.close().await,
                    }
                    let _ = done.send(());
                    return;
                }
                Some(PeersMessage::Finish(done)) => {
                    monoio::spawn(finish(Rc::clone(&self.pending), done));
                }
                Some(PeersMessage::Send { reply, request, to }) => self.send(to, request, reply),
                Some(PeersMessage::Status(reply)) => {
                    let _ = reply.send(self.status().await);
                }
                Some(PeersMessage::RoutingState(routing)) => {
                    self.routing = routing;
                    self.preconnect();
                }
                None => return,
            }
        }
    }

    /// Opens connections before they are needed. Only QUIC does so: a TCP connection opens within a
    /// round trip and without cryptographic work.
    fn preconnect(&mut self) {
        match &mut self.link {
            Link::Quic(link) => {
                let peers = self.routing.members.values().map(|member| member.peer);
                let others: Vec<_> = peers.filter(|peer| *peer != self.own).collect();
                link.preconnect(&others);
            }
            Link::Tcp(_) => {}
        }
    }

    fn send(
        &mut self,
        to: PeerAddress,
        request: Request,
        reply: oneshot::Sender<Result<Reply, PeerFault>>,
    ) {
        let address = match to {
            PeerAddress::Socket(address) => Some(address),
            PeerAddress::Target(target) => self.routing.members.get(&target).map(|m| m.peer),
        };
        let Some(to) = address else {
            let _ = reply.send(Err(PeerFault::Unreachable));
            return;
        };
        let delivery = Delivery {
            offers: false,
            reply,
            request,
            to,
        };
        match &mut self.link {
            Link::Quic(link) => link.send(delivery),
            Link::Tcp(link) => link.send(delivery),
        }
    }

    async fn status(&mut self) -> PeersStatus {
        let traffic = match &mut self.link {
            Link::Quic(link) => link.traffic(),
            Link::Tcp(link) => link.traffic().await,
        };
        PeersStatus {
            connections: traffic.connections,
            control_received: self.control.received,
            control_sent: self.control.sent,
            received: traffic.received,
            sent: traffic.sent,
        }
    }
}

/// Replies on `done` once the replies to all requests of callers have been sent to peers, or after [`FINISH_LIMIT`].
async fn finish(pending: Rc<OpenCount>, done: oneshot::Sender<()>) {
    let sent = async {
        while pending.get() > 0 {
            monoio::time::sleep(FINISH_POLL).await;
        }
    };
    if monoio::time::timeout(FINISH_LIMIT, sent).await.is_err() {
        let pending = pending.get();
        log::warn!("stopping with unsent replies to other daemons", kv: { pending });
    }
    let _ = done.send(());
}
