//! Messages to the `memory` task.

use futures::channel::{mpsc, oneshot};
use hawthornwall_core::memory::{Activity, ClaimId, HolderId, Owner};
use serde::Serialize;

/// A message to the `memory` task.
#[derive(Debug)]
pub enum MemoryMessage {
    /// A connection does something else from now on.
    Active(HolderId, Activity),
    /// A connection asks for further bytes.
    Claim {
        /// Whether they are for an answer, which another connection may have handed over.
        answer: bool,
        /// Number of bytes.
        bytes: usize,
        /// Identifies the request.
        claim: ClaimId,
        /// The connection.
        holder: HolderId,
        /// Receives whether the bytes are granted.
        reply: oneshot::Sender<bool>,
    },
    /// A connection has closed.
    Closed(HolderId),
    /// A connection has passed an answer of this length on to another one.
    HandOver(HolderId, usize),
    /// A connection has been opened or accepted and asks to be kept.
    Open {
        /// Identifies the request.
        claim: ClaimId,
        /// Dropped when the connection must close at once.
        evict: oneshot::Sender<()>,
        /// The connection.
        holder: HolderId,
        /// The other side.
        owner: Owner,
        /// Receives whether the connection may be kept.
        reply: oneshot::Sender<bool>,
    },
    /// The other side has taken a part of an answer.
    Progress(HolderId),
    /// A connection gives bytes back.
    Release(HolderId, usize),
    /// Report the use of the budget.
    Status(oneshot::Sender<MemoryStatus>),
}

/// Use of the budget of buffered bytes on the status page.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct MemoryStatus {
    /// Number of connections with callers, peers and the target.
    pub connections: usize,
    /// Connections that were closed to make room, since the start.
    pub evicted: u64,
    /// Claims that were refused, since the start.
    pub refused: u64,
    /// Bytes in use.
    pub used: usize,
}

/// A sender to the `memory` task.
pub type MemorySender = mpsc::UnboundedSender<MemoryMessage>;
