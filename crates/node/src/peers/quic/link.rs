//! The QUIC link, which owns the endpoint and the connections to peers.

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
use super::outbound::{ConnectionCache, Outbound, deliver};
use super::runtime::{MonoioRuntime, Traffic};
use crate::start::StartError;

/// Time after which an idle connection is closed. Idle connections send no keep-alives, since these
/// would add control traffic for each pair of daemons.
const IDLE_TIMEOUT: Duration = Duration::from_mins(5);
/// Round-trip time assumed before the first sample; it determines when a lost first packet is resent.
const INITIAL_RTT: Duration = Duration::from_millis(50);
/// Maximum number of requests in flight from one peer; further ones fail at the sender at once.
///
/// quinn allocates state for each stream that a peer may open: a limit of 4,096 takes about 300 KB at
/// each end of each connection. A target runs and queues far fewer requests of one peer.
const STREAM_LIMIT: u32 = 256;
/// Number of peers from which connections are no longer opened in advance. Each takes about 0.1 MB.
const PRECONNECT_LIMIT: usize = 48;
/// Size of the receive buffer for datagrams in bytes; datagrams have no content.
const DATAGRAM_BUFFER: usize = 1024;
/// Error code of connections closed by a planned stop.
const CLOSED: VarInt = VarInt::from_u32(0);
/// Maximum time to wait for peers to acknowledge the close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The endpoint and its connections.
pub(in crate::peers) struct QuicLink {
    endpoint: Endpoint,
    limit: usize,
    cache: ConnectionCache,
    exchange_reports: ExchangeReports,
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
        exchange_reports: ExchangeReports,
    ) -> Result<Self, Report<StartError>> {
        let traffic = Traffic::default();
        let dialer = bind(settings, &traffic)?;
        let endpoint = dialer.listening.clone();
        let limit = inbound.limit;
        let accept = Accept {
            inbound,
            exchange_reports: exchange_reports.clone(),
        };
        monoio::spawn(accept.run(endpoint.clone()));
        Ok(Self {
            endpoint,
            limit,
            cache: ConnectionCache::new(dialer),
            exchange_reports,
            silence: settings.silence,
            traffic,
        })
    }

    /// Opens connections before the first request, if the fleet is small enough for a connection between
    /// each pair of daemons. A handshake takes a round trip and about a millisecond of CPU time; with 11
    /// daemons, the first requests were 1% of 10,000 and therefore determined the p99 of the added
    /// latency.
    pub fn preconnect(&mut self, peers: &[SocketAddr]) {
        if peers.len() >= PRECONNECT_LIMIT {
            return;
        }
        for peer in peers {
            monoio::spawn(self.cache.connection(*peer, self.silence));
        }
    }

    /// Sends a request and delivers its reply.
    pub fn send(&mut self, delivery: Delivery) {
        let Delivery {
            reply, request, to, ..
        } = delivery;
        let outbound = Outbound {
            connection: self.cache.connection(to, self.silence),
            limit: self.limit,
            exchange_reports: self.exchange_reports.clone(),
            request,
            silence: self.silence,
        };
        monoio::spawn(deliver(outbound, reply));
    }

    /// Closes all connections at once and waits for the peers to acknowledge.
    pub async fn close(&mut self) {
        self.endpoint.close(CLOSED, b"stopped");
        let _ = monoio::time::timeout(CLOSE_TIMEOUT, self.endpoint.wait_idle()).await;
    }

    /// Number of open connections, and bytes including IP and UDP headers.
    pub fn traffic(&mut self) -> LinkTraffic {
        self.cache.remove_closed();
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
    // Each daemon sends requests on connections that it opened, so peers open streams only on
    // accepted ones.
    client.transport_config(Arc::new(transport(0)));
    server.transport_config(Arc::new(transport(STREAM_LIMIT)));
    let bind = StartError::Bind(settings.listen);
    let socket = UdpSocket::bind(settings.listen).change_context(bind.clone())?;
    let runtime = Arc::new(MonoioRuntime::new(traffic));
    let config = EndpointConfig::default();
    let listening = Endpoint::new(config, Some(server), socket, runtime).change_context(bind)?;
    let (ip, traffic) = (settings.listen.ip(), traffic.clone());
    Ok(Dialer {
        client,
        listening,
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

/// Decodes a secret in hexadecimal; `None` if it is malformed.
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
