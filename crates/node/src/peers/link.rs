//! What all kinds of links share.

use std::net::SocketAddr;

use futures::channel::{mpsc, oneshot};
use hawthornwall_wire::peer::{Reply, Request};

use crate::messages::PeerFault;

/// One request to a peer, and who waits for its reply.
#[derive(Debug)]
pub(super) struct Delivery {
    pub reply: oneshot::Sender<Result<Reply, PeerFault>>,
    pub request: Request,
    pub to: SocketAddr,
}

/// Payload bytes of an exchange of configuration and members that was carried.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Exchanged {
    pub received: usize,
    pub sent: usize,
}

/// Tells the task that counts control traffic of each exchange.
pub(super) type ExchangeReports = mpsc::UnboundedSender<Exchanged>;

/// What a link has carried.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LinkTraffic {
    /// Connections open.
    pub connections: usize,
    /// Bytes received.
    pub received: u64,
    /// Bytes sent.
    pub sent: u64,
}
