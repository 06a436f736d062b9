//! What the store publishes.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::Version;
use crate::routes::RouteTable;

/// Whether a target says that it takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PublishedState {
    /// It finishes what it has and leaves.
    Draining,
    /// It takes new work.
    Ready,
}

/// A target's entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PublishedTarget {
    /// Where its daemon reaches it.
    pub address: SocketAddr,
    /// Start of this run of the target, in milliseconds of Unix time.
    pub born: Option<u64>,
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// Its failure domain.
    pub domain: String,
    /// Its service.
    pub service: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: PublishedState,
}

/// Routes at one version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PublishedRoutes {
    /// The routes.
    pub routes: RouteTable,
    /// Their version.
    pub version: Version,
}

/// One change of what is published.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The newest routes.
    Routes(PublishedRoutes),
    /// A target's entry was written.
    Target {
        /// Name of the target's run.
        name: String,
        /// The entry.
        target: PublishedTarget,
    },
    /// A target's entry is gone.
    TargetGone {
        /// Name of the target's run.
        name: String,
    },
}
