//! What happens to the budget and what it decides.

use std::net::IpAddr;

/// Identifies a connection that holds bytes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HolderId(pub u64);

/// Identifies one request for a connection or for bytes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimId(pub u64);

/// The other side of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Owner {
    /// A caller at this address.
    Caller(IpAddr),
    /// Another daemon.
    Peer,
    /// The local target.
    Target,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Activity {
    /// Nothing is in progress.
    Idle,
    /// A part of a message has arrived.
    Receiving,
    /// A request is in progress, and the other side waits for its answer.
    Running,
    /// An answer is being written.
    Sending,
}

/// What happens to the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A connection does something else from now on.
    Active(HolderId, Activity),
    /// A connection asks for further bytes.
    Claim {
        /// Whether they are for an answer, which another connection may have handed over.
        answer: bool,
        /// Bytes in addition to those that it has.
        bytes: usize,
        /// Identifies the request.
        claim: ClaimId,
        /// The connection.
        holder: HolderId,
    },
    /// A connection has closed and holds nothing any more.
    Closed(HolderId),
    /// A connection has passed an answer on to another one, which is about to claim it.
    HandOver {
        /// Length of the answer, in bytes.
        bytes: usize,
        /// The connection that has held it.
        holder: HolderId,
    },
    /// A connection has been opened or accepted and asks to be kept.
    Open {
        /// Identifies the request.
        claim: ClaimId,
        /// The connection.
        holder: HolderId,
        /// The other side.
        owner: Owner,
    },
    /// The other side has taken a part of an answer.
    Progress(HolderId),
    /// A connection gives bytes back.
    Release {
        /// Number of bytes.
        bytes: usize,
        /// The connection.
        holder: HolderId,
    },
    /// Time has passed.
    Tick,
}

/// What the budget decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Close this connection at once, whatever it does.
    Evict(HolderId),
    /// The claim is granted.
    Grant(ClaimId),
    /// Claims were granted without evictions for a while.
    PressureEnded,
    /// The first claim for a while has found no room.
    PressureStarted,
    /// The claim is refused.
    Refuse(ClaimId),
}
