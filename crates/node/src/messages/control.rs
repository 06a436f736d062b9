//! Messages to the `control` task, or to the `catalog` task in its place.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use futures::channel::{mpsc, oneshot};
use hawthornwall_core::catalog::StorePosition;
use hawthornwall_core::prelude::*;
use hawthornwall_wire::peer::{Exchange, StoreUpdate};
use serde::Serialize;

use super::{Member, PeerFault, RoutingState};
use crate::platform::ReadEnd;

/// A message to the `control` task.
#[derive(Debug)]
pub enum ControlMessage {
    /// A peer requests the next update of the store's contents.
    StoreUpdate {
        /// State of the peer's copy.
        position: StorePosition,
        /// Receives the update as soon as there is one. Dropped by daemons without a store.
        reply: oneshot::Sender<StoreUpdate>,
    },
    /// Return the configuration in force.
    Config(oneshot::Sender<Rc<RoutingState>>),
    /// A peer compares its configuration and members with this daemon's.
    Exchange {
        /// State of the peer.
        exchange: Box<Exchange>,
        /// Receives the changes that the peer lacks.
        reply: oneshot::Sender<Exchange>,
    },
    /// An exchange that `control` sent to a peer ended.
    Exchanged {
        /// Address of the peer.
        peer: SocketAddr,
        /// The reply of the peer, or the reason why there is none.
        result: Result<Box<Exchange>, PeerFault>,
        /// Index of the request within its comparison, from 0.
        round: u32,
    },
    /// This daemon accepts no new work from now on; peers are informed.
    Leaving,
    /// A read of the platform ended.
    Platform(ReadEnd),
    /// Return whether this daemon accepts requests of callers.
    Ready(oneshot::Sender<bool>),
    /// Report configuration and members.
    Status(oneshot::Sender<ControlStatus>),
}

/// Configuration and membership on the status page.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlStatus {
    /// Digest of the configuration in force; daemons with the same version and digest agree.
    pub digest: u64,
    /// Failure domains whose targets take no requests, according to this daemon.
    pub evacuated: BTreeSet<String>,
    /// Time since the version took effect on this daemon, in milliseconds.
    pub in_force_ms: u64,
    /// Members by target name.
    pub members: BTreeMap<String, Member>,
    /// Number of peers that updates are pushed to.
    pub neighbours: usize,
    /// Number of platform reads since the start, including failed ones.
    pub platform_reads: u64,
    /// Whether this daemon has the data that it needs to accept requests of callers.
    pub ready: bool,
    /// Invalid patches of the last document read, which all daemons skip, with the reasons.
    pub skipped: Vec<String>,
    /// Version of the configuration in force.
    pub version: Version,
    /// Whether this daemon watches the platform for its failure domain.
    pub watching: bool,
}

/// A sender to the `control` task.
pub type ControlSender = mpsc::UnboundedSender<ControlMessage>;
