//! Requests to peers over QUIC: one task per request, one shared connection per peer.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::channel::oneshot;
use futures::future::{FutureExt, LocalBoxFuture, Shared};
use futures::{pin_mut, select_biased};
use hawthornwall_core::outcome::Loss;
use hawthornwall_wire::peer::{Reply, Request, decode_reply, encode_request};
use quinn::{Connection, ConnectionError, RecvStream, VarInt};

use super::super::link::{ExchangeReports, ExchangeSize};
use super::dialer::{Dialer, SocketChoice};
use super::stream::{MessageWriter, read_message};
use crate::messages::PeerFault;

/// Error code of connections closed for silence.
const SILENT: VarInt = VarInt::from_u32(2);
/// Maximum time that a request waits for a connection to open. A handshake takes some milliseconds; a
/// daemon that is being restarted doesn't reply at all, and another target answers sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of checks for received datagrams within the silence timeout.
const SILENCE_CHECKS: u32 = 3;

type Connecting = Shared<LocalBoxFuture<'static, Option<Connection>>>;

/// The connections to peers, by address.
pub(super) struct ConnectionCache {
    by_address: HashMap<SocketAddr, CachedConnection>,
    dialer: Dialer,
    /// Peers to which a connection failed to open or became silent; connections to them use new sockets.
    silent: HashSet<SocketAddr>,
}

enum CachedConnection {
    Connecting(Connecting),
    Open(Connection),
}

impl ConnectionCache {
    /// Creates an empty set of connections.
    pub fn new(dialer: Dialer) -> Self {
        Self {
            by_address: HashMap::new(),
            dialer,
            silent: HashSet::new(),
        }
    }

    /// Returns the connection to a peer, which is opened if there is none; `limit` is the time limit
    /// for opening it.
    pub fn connection(&mut self, to: SocketAddr, limit: Duration) -> Connecting {
        if let Some(CachedConnection::Connecting(pending)) = self.by_address.get(&to) {
            match pending.peek().cloned() {
                None => return pending.clone(),
                Some(Some(open)) => {
                    self.by_address.insert(to, CachedConnection::Open(open));
                }
                Some(None) => {
                    self.silent.insert(to);
                }
            }
        }
        if let Some(CachedConnection::Open(open)) = self.by_address.get(&to) {
            match open.close_reason() {
                None => {
                    let open = futures::future::ready(Some(open.clone()));
                    return open.boxed_local().shared();
                }
                Some(reason) if is_silence(&reason) => {
                    self.silent.insert(to);
                }
                Some(_) => {}
            }
        }
        let socket = if self.silent.contains(&to) {
            SocketChoice::New
        } else {
            SocketChoice::Listening
        };
        let pending = self.dialer.clone().dial(to, socket, limit);
        let pending = pending.boxed_local().shared();
        self.by_address
            .insert(to, CachedConnection::Connecting(pending.clone()));
        pending
    }

    /// Removes closed connections and returns the number of the others, including those being opened.
    pub fn remove_closed(&mut self) -> usize {
        self.by_address.retain(|_, cached| match cached {
            CachedConnection::Connecting(pending) => pending.peek().is_none_or(Option::is_some),
            CachedConnection::Open(open) => open.close_reason().is_none(),
        });
        self.by_address.len()
    }
}

/// Whether a connection was closed because nothing arrived on it, by [`wait_for_silence`] or by its
/// idle timeout.
fn is_silence(reason: &ConnectionError) -> bool {
    matches!(
        reason,
        ConnectionError::LocallyClosed | ConnectionError::TimedOut
    )
}

/// One request and the parameters for sending it.
pub(super) struct Outbound {
    pub connection: Connecting,
    pub limit: usize,
    pub exchange_reports: ExchangeReports,
    pub request: Request,
    pub silence: Duration,
}

/// Sends one request and delivers its reply. Dropping the receiver cancels the request.
pub(super) async fn deliver(
    outbound: Outbound,
    mut reply: oneshot::Sender<Result<Reply, PeerFault>>,
) {
    let result = {
        let work = outbound.run().fuse();
        let cancelled = reply.cancellation().fuse();
        pin_mut!(work, cancelled);
        select_biased! {
            result = work => Some(result),
            () = cancelled => None,
        }
    };
    if let Some(result) = result {
        let _ = reply.send(result);
    }
}

impl Outbound {
    async fn run(self) -> Result<Reply, PeerFault> {
        let connection = monoio::time::timeout(CONNECT_TIMEOUT, self.connection.clone());
        let connection = connection
            .await
            .ok()
            .flatten()
            .ok_or(PeerFault::Unreachable)?;
        // A wait for a free stream would not be visible to admission control.
        let opened = connection.open_bi().now_or_never().ok_or(PeerFault::Busy)?;
        let (send, recv) = opened.map_err(|_| PeerFault::Unreachable)?;
        let is_control = matches!(self.request, Request::StoreUpdate(_) | Request::Exchange(_));
        let message = encode_request(&self.request);
        let bytes = self
            .exchange_messages(&connection, MessageWriter::new(send), recv, &message)
            .await?;
        if is_control {
            let _ = self.exchange_reports.unbounded_send(ExchangeSize {
                received: bytes.len(),
                sent: message.len(),
            });
        }
        decode_reply(&bytes).map_err(|_| PeerFault::Lost(Loss::Malformed))
    }

    async fn exchange_messages(
        &self,
        connection: &Connection,
        mut writer: MessageWriter,
        mut recv: RecvStream,
        message: &[u8],
    ) -> Result<Bytes, PeerFault> {
        let lost = PeerFault::Lost(Loss::Closed);
        let exchange = async {
            writer.write(message).await.map_err(|_| lost)?;
            read_message(&mut recv, self.limit).await.ok_or(lost)
        };
        let silent = wait_for_silence(connection, self.silence);
        let (exchange, silent) = (exchange.fuse(), silent.fuse());
        pin_mut!(exchange, silent);
        select_biased! {
            result = exchange => result,
            () = silent => Err(lost),
        }
    }
}

/// Closes the connection and returns once nothing has arrived on it within `silence_timeout`,
/// although each check sends a datagram that the peer must acknowledge.
async fn wait_for_silence(connection: &Connection, silence_timeout: Duration) {
    let received = || connection.stats().udp_rx.datagrams;
    let (mut last, mut silent_checks) = (received(), 0);
    while silent_checks < SILENCE_CHECKS {
        monoio::time::sleep(silence_timeout / SILENCE_CHECKS).await;
        let now = received();
        silent_checks = if now == last { silent_checks + 1 } else { 0 };
        last = now;
        // QUIC acknowledges a datagram even while the request is still running.
        let _ = connection.send_datagram(Bytes::new());
    }
    connection.close(SILENT, b"silent");
}
