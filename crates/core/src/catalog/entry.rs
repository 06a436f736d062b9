//! What the store publishes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::ids::Version;
use crate::routes::RouteTable;
use crate::units::Micros;

/// Whether a target says that it takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PublishedState {
    /// It finishes what it has and leaves.
    Draining,
    /// It takes new work.
    Ready,
}

/// A target's entry.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PublishedTarget {
    /// Where its daemon reaches it.
    pub address: SocketAddr,
    /// Start of this run of the target, in milliseconds of Unix time.
    pub born: Option<u64>,
    /// How much longer it is slow after its start.
    #[serde_as(as = "Micros")]
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
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PublishedRoutes {
    /// The routes.
    pub routes: RouteTable,
    /// Their version.
    pub version: Version,
}

/// One change of what is published.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
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
