//! Entries and routes as published by the store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::RouteDelta;
use crate::ids::Version;
use crate::routes::RouteTable;
use crate::units::Micros;

/// The state in a target's entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PublishedState {
    /// The target finishes its current work and takes no more.
    Draining,
    /// The target takes new work.
    Ready,
    /// A state that this build doesn't know; the target takes no work.
    Unknown,
}

impl PublishedState {
    /// Whether the target takes new work.
    pub const fn takes_work(self) -> bool {
        match self {
            Self::Draining | Self::Unknown => false,
            Self::Ready => true,
        }
    }
}

/// A target's entry in the store.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PublishedTarget {
    /// Address at which the daemon connects to the target.
    pub address: SocketAddr,
    /// Start of this run of the target, in milliseconds of Unix time; `None` if the entry doesn't state it.
    pub started_ms: Option<u64>,
    /// Remaining time for which the target is slower after its start.
    #[serde_as(as = "Micros")]
    pub cold: Duration,
    /// Failure domain of the target.
    pub domain: String,
    /// Number of the status report that wrote the entry; it rises within a run of the target.
    pub sequence: u64,
    /// Name of the service that the target runs.
    pub service: String,
    /// Number of requests that the target runs at once.
    pub slots: u32,
    /// Whether the target takes new work.
    pub state: PublishedState,
}

/// What operators allow callers to send.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestLimits {
    /// Longest body of a request, in bytes.
    pub body: usize,
    /// Longest head of a request, in bytes.
    pub head: usize,
    /// Longest time from the first byte of a head to its last.
    #[serde_as(as = "Micros")]
    pub head_time: Duration,
    /// Longest time for which a connection is idle.
    #[serde_as(as = "Micros")]
    pub idle: Duration,
}

/// What operators state about the targets of a service.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceLimits {
    /// Time for which a target is cold after its start.
    #[serde_as(as = "Micros")]
    pub cold: Duration,
    /// Least time between two requests that a cold target bears on average; zero without a limit.
    #[serde_as(as = "Micros")]
    pub cold_interval: Duration,
}

/// The operators' configuration at one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PublishedRoutes {
    /// What callers may send; `None` if the configuration doesn't limit it.
    pub limits: Option<RequestLimits>,
    /// The complete route table.
    pub routes: RouteTable,
    /// Limits by name of the service. A service without any is left out.
    pub services: BTreeMap<String, ServiceLimits>,
    /// Services whose protocol this build doesn't speak. Their targets get no requests.
    pub unsupported: BTreeSet<String>,
    /// Version of the route table; a greater one is newer.
    pub version: Version,
}

/// One change in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// New routes, which replace all earlier ones.
    Routes(PublishedRoutes),
    /// A target's entry was created or updated.
    Target {
        /// Name of the target.
        name: String,
        /// The new entry.
        target: PublishedTarget,
    },
    /// A target's entry was removed or has lapsed.
    TargetGone {
        /// Name of the target.
        name: String,
    },
    /// A failure domain is evacuated: its targets take no requests.
    Evacuated {
        /// Name of the failure domain.
        domain: String,
    },
    /// The evacuation of a failure domain was revoked.
    EvacuationEnded {
        /// Name of the failure domain.
        domain: String,
    },
}

/// One change as daemons send it to each other. The first variants are those of [`Change`], so that builds
/// without differences between routes read them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UpdateChange {
    /// New routes, which replace all earlier ones.
    Routes(PublishedRoutes),
    /// A target's entry was created or updated.
    Target {
        /// Name of the target.
        name: String,
        /// The new entry.
        target: PublishedTarget,
    },
    /// A target's entry was removed or has lapsed.
    TargetGone {
        /// Name of the target.
        name: String,
    },
    /// New routes, as the difference to the earlier ones.
    RouteDelta(RouteDelta),
    /// A failure domain is evacuated: its targets take no requests.
    Evacuated {
        /// Name of the failure domain.
        domain: String,
    },
    /// The evacuation of a failure domain was revoked.
    EvacuationEnded {
        /// Name of the failure domain.
        domain: String,
    },
}

impl UpdateChange {
    /// Number of entries and routes in the change, at least 1.
    pub(super) fn weight(&self) -> usize {
        match self {
            Self::Routes(published) => published.routes.len().max(1),
            Self::RouteDelta(delta) => delta.weight().max(1),
            Self::Evacuated { .. }
            | Self::EvacuationEnded { .. }
            | Self::Target { .. }
            | Self::TargetGone { .. } => 1,
        }
    }
}

impl From<Change> for UpdateChange {
    fn from(change: Change) -> Self {
        match change {
            Change::Routes(published) => Self::Routes(published),
            Change::Target { name, target } => Self::Target { name, target },
            Change::TargetGone { name } => Self::TargetGone { name },
            Change::Evacuated { domain } => Self::Evacuated { domain },
            Change::EvacuationEnded { domain } => Self::EvacuationEnded { domain },
        }
    }
}
