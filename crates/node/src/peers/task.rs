//! The task that owns the QUIC endpoint.

use std::cell::RefCell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use hawthornwall_settings::PeerSettings;
use hawthornwall_wire::peer::{Reply, Request};
use quinn::{Endpoint, EndpointConfig, IdleTimeout, TransportConfig, VarInt};

use super::dialer::Dialer;
use super::fleet_key::{self, SECRET_LENGTH};
use super::inbound::{self, Inbound};
use super::outbound::{Links, Outbound, deliver};
use super::quic_runtime::{MonoioRuntime, Traffic};
use crate::messages::{
    ControlSender, GateSender, PeerAddress, PeerFault, PeersMessage, PeersStatus, World,
};
use crate::start::StartError;

/// An unused connection closes after this time. Keep-alives would cost control traffic for each
/// pair of daemons, so idle connections send nothing.
const IDLE_TIMEOUT: Duration = Duration::from_mins(5);
/// Round trip assumed before the first sample; bounds how late a lost first packet is sent again.
const INITIAL_RTT: Duration = Duration::from_millis(50);
/// Requests that one peer may have in flight here; one more is refused at once.
///
/// quinn keeps state for each stream that a peer may open, open or not: 4,096 cost some 300 KB for
/// each end of each connection. A target runs and queues far fewer requests of one peer.
const STREAM_LIMIT: u32 = 256;
/// Members up to which connections are opened before they are needed. Each takes about 0.1 MB.
const CONNECT_AHEAD: usize = 48;
/// Bytes for datagrams, which carry no content.
const DATAGRAM_BUFFER: usize = 1024;
/// Code on connections closed by a planned stop.
const CLOSED: VarInt = VarInt::from_u32(0);
/// Longest wait for peers to confirm that connections are closed.
const CLOSE_WAIT: Duration = Duration::from_millis(500);

/// Payload bytes of exchanges.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ControlTraffic {
    received: u64,
    sent: u64,
}

impl ControlTraffic {
    pub fn add(&mut self, sent: usize, received: usize) {
        self.sent += sent as u64;
        self.received += received as u64;
    }
}

/// What the task needs at its start.
#[derive(Debug)]
pub struct PeersStart<'a> {
    /// Takes exchanges from peers.
    pub control: ControlSender,
    /// Takes requests from peers.
    pub gate: GateSender,
    /// Longest message in bytes.
    pub limit: usize,
    /// Messages of other tasks.
    pub receiver: mpsc::UnboundedReceiver<PeersMessage>,
    /// Addresses, secret and silence bound.
    pub settings: &'a PeerSettings,
}

/// The task and its state.
pub struct Peers {
    control: Rc<RefCell<ControlTraffic>>,
    endpoint: Endpoint,
    limit: usize,
    links: Links,
    own: SocketAddr,
    receiver: mpsc::UnboundedReceiver<PeersMessage>,
    silence: Duration,
    traffic: Traffic,
    world: Rc<World>,
}

impl std::fmt::Debug for Peers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Peers")
            .field("endpoint", &self.endpoint)
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
        let traffic = Traffic::default();
        let dialer = bind(start.settings, &traffic)?;
        let endpoint = dialer.common.clone();
        let control = Rc::new(RefCell::new(ControlTraffic::default()));
        let inbound = Inbound {
            control: start.control,
            gate: start.gate,
            limit: start.limit,
            traffic: Rc::clone(&control),
        };
        monoio::spawn(inbound::accept(endpoint.clone(), inbound));
        Ok(Self {
            control,
            endpoint,
            limit: start.limit,
            links: Links::new(dialer),
            own: start.settings.advertise.unwrap_or(start.settings.listen),
            receiver: start.receiver,
            silence: start.settings.silence,
            traffic,
            world: Rc::default(),
        })
    }

    /// Serves messages until it is told to close.
    pub async fn run(mut self) {
        while let Some(message) = self.receiver.next().await {
            match message {
                PeersMessage::Close(done) => {
                    self.endpoint.close(CLOSED, b"stopped");
                    let _ = monoio::time::timeout(CLOSE_WAIT, self.endpoint.wait_idle()).await;
                    let _ = done.send(());
                    return;
                }
                PeersMessage::Send { reply, request, to } => self.send(to, request, reply),
                PeersMessage::Status(reply) => {
                    let _ = reply.send(self.status());
                }
                PeersMessage::World(world) => {
                    self.world = world;
                    self.connect_ahead();
                }
            }
        }
    }

    /// Opens connections before the first request needs them, in a fleet small enough to keep one for
    /// each pair of daemons. A handshake takes a round trip and about a millisecond of work; at 11
    /// daemons first requests alone were 1% of 10,000 and so decided the p99 of the added latency.
    fn connect_ahead(&mut self) {
        if self.world.members.len() > CONNECT_AHEAD {
            return;
        }
        let peers = self.world.members.values().map(|member| member.peer);
        for peer in peers.filter(|peer| *peer != self.own) {
            monoio::spawn(self.links.connection(peer, self.silence));
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
            PeerAddress::Target(target) => self.world.members.get(&target).map(|m| m.peer),
        };
        let Some(address) = address else {
            let _ = reply.send(Err(PeerFault::Unreachable));
            return;
        };
        let outbound = Outbound {
            connection: self.links.connection(address, self.silence),
            limit: self.limit,
            request,
            silence: self.silence,
            traffic: Rc::clone(&self.control),
        };
        monoio::spawn(deliver(outbound, reply));
    }

    fn status(&mut self) -> PeersStatus {
        self.links.sweep();
        let control = *self.control.borrow();
        PeersStatus {
            connections: self.endpoint.open_connections(),
            control_received: control.received,
            control_sent: control.sent,
            received: self.traffic.received.get(),
            sent: self.traffic.sent.get(),
        }
    }
}

fn bind(settings: &PeerSettings, traffic: &Traffic) -> Result<Dialer, Report<StartError>> {
    let secret = parse_secret(&settings.secret).ok_or(StartError::Secret)?;
    let (mut client, mut server) =
        fleet_key::configs(&secret).change_context(StartError::Secret)?;
    // Each daemon opens connections of its own for its requests, so only accepted ones take streams.
    client.transport_config(Arc::new(transport(0)));
    server.transport_config(Arc::new(transport(STREAM_LIMIT)));
    let bind = StartError::Bind(settings.listen);
    let socket = UdpSocket::bind(settings.listen).change_context(bind.clone())?;
    let runtime = Arc::new(MonoioRuntime::new(traffic));
    let config = EndpointConfig::default();
    let common = Endpoint::new(config, Some(server), socket, runtime).change_context(bind)?;
    let (ip, traffic) = (settings.listen.ip(), traffic.clone());
    Ok(Dialer {
        client,
        common,
        ip,
        traffic,
    })
}

fn transport(streams: u32) -> TransportConfig {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::try_from(IDLE_TIMEOUT).expect("the timeout fits a QUIC integer");
    transport
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER))
        .initial_rtt(INITIAL_RTT)
        .max_concurrent_bidi_streams(VarInt::from_u32(streams))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .max_idle_timeout(Some(idle));
    transport
}

/// The bytes of a secret given as hexadecimal digits.
fn parse_secret(text: &str) -> Option<[u8; SECRET_LENGTH]> {
    if text.len() != 2 * SECRET_LENGTH || !text.is_ascii() {
        return None;
    }
    let mut secret = [0; SECRET_LENGTH];
    for (index, byte) in secret.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(secret)
}
