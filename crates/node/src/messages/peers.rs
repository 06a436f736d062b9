//! Messages to the `peers` task.

use std::net::SocketAddr;
use std::rc::Rc;

use futures::channel::{mpsc, oneshot};
use hawthornwall_core::prelude::*;
use hawthornwall_wire::peer::{Reply, Request};
use serde::Serialize;

use super::RoutingState;

/// The reason why a request to a peer got no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerFault {
    /// Nothing was sent: the limit of requests in flight to the peer is reached.
    Busy,
    /// Nothing was sent: there is no room for a further connection.
    Memory,
    /// Nothing was sent: the own link transports nothing in time.
    Link,
    /// The request was sent, at least in part, and may have run.
    Lost(Loss),
    /// Nothing was sent: no connection could be opened, or the address is unknown.
    Unreachable,
}

impl PeerFault {
    /// The result of an attempt that got no reply for this reason.
    ///
    /// A definite refusal of a repeat counts for the first attempt as well, but that nothing of the repeat was
    /// sent says nothing about that attempt.
    pub fn attempt_result(self, is_repeat: bool) -> AttemptResult {
        match self {
            Self::Busy | Self::Link | Self::Memory if is_repeat => {
                AttemptResult::Refused(Refusal::Unreachable)
            }
            Self::Busy => AttemptResult::Refused(Refusal::Full),
            Self::Link => AttemptResult::Refused(Refusal::Link),
            Self::Memory => AttemptResult::Refused(Refusal::Memory),
            Self::Lost(loss) => AttemptResult::Lost(loss),
            Self::Unreachable => AttemptResult::Refused(Refusal::Unreachable),
        }
    }
}

/// The recipient of a request to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerAddress {
    /// The daemon at an address.
    Socket(SocketAddr),
    /// The daemon that serves a target.
    Target(TargetId),
}

/// A message to the `peers` task.
#[derive(Debug)]
pub enum PeersMessage {
    /// Stop the link; reply when done. Over TCP, pending replies may still be sent for a limited time;
    /// over QUIC, all connections are closed at once.
    Close(oneshot::Sender<()>),
    /// Reply once the replies to all requests of callers have been sent to the peers from which they came, so that
    /// [`Self::Close`] cuts none.
    Finish(oneshot::Sender<()>),
    /// Send a request to a peer.
    Send {
        /// Receives the reply of the peer, or the reason why there is none.
        reply: oneshot::Sender<Result<Reply, PeerFault>>,
        /// The request to send.
        request: Request,
        /// The recipient.
        to: PeerAddress,
    },
    /// Report connections and traffic.
    Status(oneshot::Sender<PeersStatus>),
    /// The configuration or the members changed.
    RoutingState(Rc<RoutingState>),
}

/// Traffic with peers on the status page. All counts start at the start of the daemon.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PeersStatus {
    /// Number of open connections.
    pub connections: usize,
    /// Payload bytes of control messages received.
    pub control_received: u64,
    /// Payload bytes of control messages sent.
    pub control_sent: u64,
    /// Bytes received: datagrams with their headers over QUIC, streams of closed connections over TCP.
    pub received: u64,
    /// Bytes sent, counted in the same way as `received`.
    pub sent: u64,
}

/// A sender to the `peers` task.
pub type PeersSender = mpsc::UnboundedSender<PeersMessage>;
