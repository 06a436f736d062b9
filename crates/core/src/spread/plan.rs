//! Inputs and effects of the spread.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::Endpoint;
use crate::ids::{InstanceId, Version};

/// Settings of the spread of versions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SpreadSettings {
    /// Time between two comparisons with a neighbour.
    pub exchange: Duration,
    /// How long a daemon that one kind of source has answered waits for the other.
    pub start_wait: Duration,
    /// Daemons of each failure domain that watch the platform.
    pub watchers: usize,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            exchange: Duration::from_secs(2),
            start_wait: Duration::from_secs(2),
            watchers: 2,
        }
    }
}

/// What a daemon's spread starts from.
#[derive(Clone, Debug)]
pub struct SpreadStart {
    /// Its failure domain.
    pub domain: String,
    /// Its address for peers.
    pub own: SocketAddr,
    /// Seed of its random choices.
    pub seed: u64,
    /// Peers asked at the start.
    pub seeds: Vec<SocketAddr>,
    /// The settings.
    pub settings: SpreadSettings,
}

/// What is pushed to peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum News {
    /// An announcement that changes something.
    Member(InstanceId),
    /// An announcement that only shows that its daemon is still there.
    Repeat(InstanceId),
    /// A version came into force after this one.
    Version(Version),
}

/// What the daemon does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Announce this daemon again.
    Announce,
    /// Compare with a peer.
    Compare(SocketAddr),
    /// Send news to a peer.
    Push {
        /// Announcements to send.
        members: BTreeSet<InstanceId>,
        /// The version that the peer is expected to have, if versions are sent.
        since: Option<Version>,
        /// The peer.
        to: SocketAddr,
    },
    /// Read an endpoint of the platform, which may hold the request for this long.
    Read(Endpoint, Duration),
    /// Take caller work from now on.
    Serve,
}
