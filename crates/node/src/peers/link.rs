//! Types shared by the QUIC and TCP links.

use std::net::SocketAddr;

use futures::channel::{mpsc, oneshot};
use hawthornwall_core::link::Rate;
use hawthornwall_wire::peer::{Reply, Request};

use crate::clock::Clock;
use crate::messages::{PeerFault, RouterSender};

/// A request to a peer, with the channel for its reply.
#[derive(Debug)]
pub(super) struct Delivery {
    /// Whether a large body is offered before it is sent.
    pub offers: bool,
    /// Receives the reply; dropping the receiver cancels the request.
    pub reply: oneshot::Sender<Result<Reply, PeerFault>>,
    pub request: Request,
    pub to: SocketAddr,
}

/// The clock and the network link of this daemon's machine.
#[derive(Clone, Debug)]
pub(super) struct OwnMachine {
    pub clock: Clock,
    /// Rate of the link in each direction; `None` if it isn't set.
    pub link: Option<Rate>,
    /// Learns of changes of the link.
    pub router: RouterSender,
}

/// Payload bytes of one control request and its reply.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ExchangeSize {
    pub received: usize,
    pub sent: usize,
}

/// Reports each control request to the `peers` task, which counts control traffic.
pub(super) type ExchangeReports = mpsc::UnboundedSender<ExchangeSize>;

/// Connections and traffic of a link.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LinkTraffic {
    /// Number of open connections, in both directions.
    pub connections: usize,
    /// Bytes received since the start.
    pub received: u64,
    /// Bytes sent since the start.
    pub sent: u64,
}
