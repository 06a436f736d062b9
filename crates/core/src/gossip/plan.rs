//! Inputs and effects of the gossip aggregate.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::Endpoint;
use crate::ids::{InstanceId, Version};

/// Intervals and limits of the gossip between daemons.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GossipSettings {
    /// Mean time between two comparisons with a neighbour.
    pub exchange: Duration,
    /// Longest time for which a daemon that one kind of source has answered delays serving for the other.
    pub start_wait: Duration,
    /// Number of daemons in each failure domain that watch the platform.
    pub watchers: usize,
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self {
            exchange: Duration::from_secs(2),
            start_wait: Duration::from_secs(2),
            watchers: 2,
        }
    }
}

/// Parameters of a daemon's gossip that stay the same while it runs.
#[derive(Clone, Debug)]
pub struct GossipStart {
    /// Failure domain of the daemon.
    pub domain: String,
    /// Address at which peers reach the daemon.
    pub own: SocketAddr,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Peers that are contacted at the start, before any members are known.
    pub seeds: Vec<SocketAddr>,
    /// Intervals and limits.
    pub settings: GossipSettings,
}

/// An update that is pushed to peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Update {
    /// An announcement that changes the state of a member.
    Member(InstanceId),
    /// An announcement that only shows that its daemon still runs.
    Repeat(InstanceId),
    /// A newer version came into force; contains the version that was in force before.
    Version(Version),
}

/// An action that the daemon takes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Announce this daemon with its next sequence number.
    Announce,
    /// Compare versions and members with a peer.
    Compare(SocketAddr),
    /// Send queued updates to a peer.
    Push {
        /// Announcements to send.
        members: BTreeSet<InstanceId>,
        /// The version that the peer is expected to have; `None` if no versions are sent.
        since: Option<Version>,
        /// The peer.
        to: SocketAddr,
    },
    /// Read an endpoint of the platform, which may hold the request open for the given duration.
    Read(Endpoint, Duration),
    /// Accept caller work from now on.
    Serve,
}
