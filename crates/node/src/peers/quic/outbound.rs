//! Requests to peers: one task per request, one shared connection per peer.

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

use super::super::link::{ExchangeReports, Exchanged};
use super::dialer::{Dialer, Path};
use super::stream::{MessageWriter, read_message};
use crate::messages::PeerFault;

/// Code on connections that went silent.
const SILENT: VarInt = VarInt::from_u32(2);
/// Longest time that a request waits for a connection to open. A handshake takes some milliseconds; a
/// daemon that is being restarted doesn't answer at all, and another target is faster.
const CONNECT_WAIT: Duration = Duration::from_millis(150);
/// Checks for a sign of life within the silence bound.
const CHECKS: u32 = 3;

type Connecting = Shared<LocalBoxFuture<'static, Option<Connection>>>;

/// Connections to peers, opened when first needed.
pub(super) struct Links {
    by_address: HashMap<SocketAddr, Link>,
    dialer: Dialer,
    /// Peers that the common socket could not reach, or not any more.
    silent: HashSet<SocketAddr>,
}

enum Link {
    Connecting(Connecting),
    Open(Connection),
}

impl Links {
    /// No connections.
    pub fn new(dialer: Dialer) -> Self {
        Self {
            by_address: HashMap::new(),
            dialer,
            silent: HashSet::new(),
        }
    }

    /// The connection to a peer, or the attempt to open it.
    pub fn connection(&mut self, to: SocketAddr, limit: Duration) -> Connecting {
        if let Some(Link::Connecting(pending)) = self.by_address.get(&to) {
            match pending.peek().cloned() {
                None => return pending.clone(),
                Some(Some(open)) => {
                    self.by_address.insert(to, Link::Open(open));
                }
                Some(None) => {
                    self.silent.insert(to);
                }
            }
        }
        if let Some(Link::Open(open)) = self.by_address.get(&to) {
            match open.close_reason() {
                None => {
                    let open = futures::future::ready(Some(open.clone()));
                    return open.boxed_local().shared();
                }
                Some(reason) if went_silent(&reason) => {
                    self.silent.insert(to);
                }
                Some(_) => {}
            }
        }
        let path = if self.silent.contains(&to) {
            Path::Fresh
        } else {
            Path::Common
        };
        let pending = self.dialer.clone().dial(to, path, limit);
        let pending = pending.boxed_local().shared();
        self.by_address
            .insert(to, Link::Connecting(pending.clone()));
        pending
    }

    /// Forgets connections that have closed and returns how many are open.
    pub fn sweep(&mut self) -> usize {
        self.by_address.retain(|_, link| match link {
            Link::Connecting(pending) => pending.peek().is_none_or(Option::is_some),
            Link::Open(open) => open.close_reason().is_none(),
        });
        self.by_address.len()
    }
}

/// Whether a connection ended because nothing arrived any more: closed here by [`silence`], or timed
/// out.
fn went_silent(reason: &ConnectionError) -> bool {
    matches!(
        reason,
        ConnectionError::LocallyClosed | ConnectionError::TimedOut
    )
}

/// What one request needs.
pub(super) struct Outbound {
    pub connection: Connecting,
    pub limit: usize,
    pub exchanges: ExchangeReports,
    pub request: Request,
    pub silence: Duration,
}

/// Sends one request and delivers its reply, unless the receiver is dropped first.
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
        let connection = monoio::time::timeout(CONNECT_WAIT, self.connection.clone());
        let connection = connection
            .await
            .ok()
            .flatten()
            .ok_or(PeerFault::Unreachable)?;
        // Waiting for a free stream would hide the wait from admission control.
        let opened = connection.open_bi().now_or_never().ok_or(PeerFault::Busy)?;
        let (send, recv) = opened.map_err(|_| PeerFault::Unreachable)?;
        let is_control = matches!(self.request, Request::StoreUpdate(_) | Request::Exchange(_));
        let message = encode_request(&self.request);
        let bytes = self
            .converse(&connection, MessageWriter::new(send), recv, &message)
            .await?;
        if is_control {
            let _ = self.exchanges.unbounded_send(Exchanged {
                received: bytes.len(),
                sent: message.len(),
            });
        }
        decode_reply(&bytes).map_err(|_| PeerFault::Lost(Loss::Malformed))
    }

    async fn converse(
        &self,
        connection: &Connection,
        mut writer: MessageWriter,
        mut recv: RecvStream,
        message: &[u8],
    ) -> Result<Vec<u8>, PeerFault> {
        let lost = PeerFault::Lost(Loss::Closed);
        let exchange = async {
            writer.write(message).await.map_err(|_| lost)?;
            read_message(&mut recv, self.limit).await.ok_or(lost)
        };
        let silent = silence(connection, self.silence);
        let (exchange, silent) = (exchange.fuse(), silent.fuse());
        pin_mut!(exchange, silent);
        select_biased! {
            result = exchange => result,
            () = silent => Err(lost),
        }
    }
}

/// Ends, and closes the connection, once nothing has arrived on it for the whole bound although it
/// was asked for a sign of life.
async fn silence(connection: &Connection, bound: Duration) {
    let received = || connection.stats().udp_rx.datagrams;
    let (mut last, mut quiet) = (received(), 0);
    while quiet < CHECKS {
        monoio::time::sleep(bound / CHECKS).await;
        let now = received();
        quiet = if now == last { quiet + 1 } else { 0 };
        last = now;
        // A datagram is acknowledged even while the request is still running.
        let _ = connection.send_datagram(Bytes::new());
    }
    connection.close(SILENT, b"silent");
}
