//! The link that owns the QUIC endpoint and the connections to peers.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use hawthornwall_settings::PeerSettings;
use quinn::{Endpoint, EndpointConfig, IdleTimeout, TransportConfig, VarInt};

use super::super::inbound::Inbound;
use super::super::link::{Delivery, ExchangeReports, LinkTraffic};
use super::accept::Accept;
use super::dialer::Dialer;
use super::fleet_key::{self, SECRET_LENGTH};
use super::outbound::{Links, Outbound, deliver};
use super::runtime::{MonoioRuntime, Traffic};
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

/// The endpoint and its connections.
pub(in crate::peers) struct QuicLink {
    endpoint: Endpoint,
    limit: usize,
    links: Links,
    exchanges: ExchangeReports,
    silence: Duration,
    traffic: Traffic,
}

impl QuicLink {
    /// Binds the socket and starts to accept connections.
    ///
    /// # Errors
    ///
    /// If the address is in use or the secret is malformed.
    pub fn start(
        settings: &PeerSettings,
        inbound: Inbound,
        exchanges: ExchangeReports,
    ) -> Result<Self, Report<StartError>> {
        let traffic = Traffic::default();
        let dialer = bind(settings, &traffic)?;
        let endpoint = dialer.common.clone();
        let limit = inbound.limit;
        let accept = Accept {
            inbound,
            exchanges: exchanges.clone(),
        };
        monoio::spawn(accept.run(endpoint.clone()));
        Ok(Self {
            endpoint,
            limit,
            links: Links::new(dialer),
            exchanges,
            silence: settings.silence,
            traffic,
        })
    }

    /// Opens connections before the first request needs them, in a fleet small enough to keep one for
    /// each pair of daemons. A handshake takes a round trip and about a millisecond of work; at 11
    /// daemons first requests alone were 1% of 10,000 and so decided the p99 of the added latency.
    pub fn connect_ahead(&mut self, peers: &[SocketAddr]) {
        if peers.len() >= CONNECT_AHEAD {
            return;
        }
        for peer in peers {
            monoio::spawn(self.links.connection(*peer, self.silence));
        }
    }

    /// Sends a request and delivers its reply.
    pub fn send(&mut self, delivery: Delivery) {
        let Delivery { reply, request, to } = delivery;
        let outbound = Outbound {
            connection: self.links.connection(to, self.silence),
            limit: self.limit,
            exchanges: self.exchanges.clone(),
            request,
            silence: self.silence,
        };
        monoio::spawn(deliver(outbound, reply));
    }

    /// Closes all connections.
    pub async fn close(&mut self) {
        self.endpoint.close(CLOSED, b"stopped");
        let _ = monoio::time::timeout(CLOSE_WAIT, self.endpoint.wait_idle()).await;
    }

    /// What the link has carried, headers of IP and UDP included.
    pub fn traffic(&mut self) -> LinkTraffic {
        self.links.sweep();
        LinkTraffic {
            connections: self.endpoint.open_connections(),
            received: self.traffic.received.get(),
            sent: self.traffic.sent.get(),
        }
    }
}

fn bind(settings: &PeerSettings, traffic: &Traffic) -> Result<Dialer, Report<StartError>> {
    let secret = settings.secret.as_deref().and_then(parse_secret);
    let secret = secret.ok_or(StartError::Secret)?;
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
