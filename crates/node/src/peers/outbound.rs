//! Requests to peers: one task per request, one shared connection per peer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::channel::oneshot;
use futures::future::{FutureExt, LocalBoxFuture, Shared};
use futures::{pin_mut, select_biased};
use hawthornwall_core::outcome::Loss;
use hawthornwall_wire::peer::{Reply, Request, decode_reply, encode_request};
use quinn::{Connection, Endpoint, RecvStream, VarInt};

use super::fleet_key::SERVER_NAME;
use super::stream::{MessageWriter, read_message};
use super::task::ControlTraffic;
use crate::messages::PeerFault;

/// Code on connections that went silent.
const SILENT: VarInt = VarInt::from_u32(2);
/// Checks for a sign of life within the silence bound.
const CHECKS: u32 = 3;

type Connecting = Shared<LocalBoxFuture<'static, Option<Connection>>>;

/// Connections to peers, opened when first needed.
#[derive(Default)]
pub(super) struct Links {
    by_address: HashMap<SocketAddr, Link>,
}

enum Link {
    Connecting(Connecting),
    Open(Connection),
}

impl Links {
    /// The connection to a peer, or the attempt to open it.
    pub fn connection(
        &mut self,
        endpoint: &Endpoint,
        to: SocketAddr,
        limit: Duration,
    ) -> Connecting {
        if let Some(Link::Connecting(pending)) = self.by_address.get(&to) {
            match pending.peek().cloned() {
                None => return pending.clone(),
                Some(Some(open)) => self.by_address.insert(to, Link::Open(open)),
                Some(None) => self.by_address.remove(&to),
            };
        }
        if let Some(Link::Open(open)) = self.by_address.get(&to)
            && open.close_reason().is_none()
        {
            return futures::future::ready(Some(open.clone()))
                .boxed_local()
                .shared();
        }
        let pending = connect(endpoint.clone(), to, limit).boxed_local().shared();
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

async fn connect(endpoint: Endpoint, to: SocketAddr, limit: Duration) -> Option<Connection> {
    let connecting = endpoint.connect(to, SERVER_NAME).ok()?;
    monoio::time::timeout(limit, connecting).await.ok()?.ok()
}

/// What one request needs.
pub(super) struct Outbound {
    pub connection: Connecting,
    pub limit: usize,
    pub request: Request,
    pub silence: Duration,
    pub traffic: Rc<RefCell<ControlTraffic>>,
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
        let connection = self
            .connection
            .clone()
            .await
            .ok_or(PeerFault::Unreachable)?;
        // Waiting for a free stream would hide the wait from admission control.
        let opened = connection.open_bi().now_or_never().ok_or(PeerFault::Busy)?;
        let (send, recv) = opened.map_err(|_| PeerFault::Unreachable)?;
        let is_control = matches!(self.request, Request::Exchange(_));
        let message = encode_request(&self.request);
        let bytes = self
            .converse(&connection, MessageWriter::new(send), recv, &message)
            .await?;
        if is_control {
            self.traffic.borrow_mut().add(message.len(), bytes.len());
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
