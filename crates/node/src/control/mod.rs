//! The control task: configuration in force and members.
//!
//! It owns the aggregates [`ActiveConfig`], [`Members`] and [`Gossip`]. Every message becomes an event of
//! an aggregate, and the effects become messages to the peers and the platform readers. Whenever the
//! configuration or the members changed, the other tasks get a new [`RoutingState`].
//!
//! Invariant: no [`RoutingState`] is sent before this daemon may serve, and versions in it only rise.
//!
//! [`ActiveConfig`]: hawthornwall_core::config::ActiveConfig
//! [`Members`]: hawthornwall_core::members::Members
//! [`Gossip`]: hawthornwall_core::gossip::Gossip
//! [`RoutingState`]: crate::messages::RoutingState

mod exchange;
mod report;
mod routing;
mod task;

use std::net::SocketAddr;

use futures::channel::mpsc;
use hawthornwall_core::members::Identity;
use hawthornwall_settings::ControlSettings;

use crate::clock::Clock;
use crate::messages::{ControlMessage, ControlSender, GateSender, PeersSender, RouterSender};

pub use task::run;

/// What the control task needs.
#[derive(Debug)]
pub struct ControlStart {
    /// The process's clock.
    pub clock: Clock,
    /// Address of the configuration service.
    pub config: SocketAddr,
    /// The `gate` task.
    pub gate: GateSender,
    /// Identity of this daemon in announcements.
    pub identity: Identity,
    /// Address of the instance list.
    pub instances: SocketAddr,
    /// The `peers` task.
    pub peers: PeersSender,
    /// Messages to this task.
    pub receiver: mpsc::UnboundedReceiver<ControlMessage>,
    /// The `router` task.
    pub router: RouterSender,
    /// Seed of random choices.
    pub seed: u64,
    /// Peers asked at the start.
    pub seeds: Vec<SocketAddr>,
    /// Sends to this task.
    pub sender: ControlSender,
    /// Settings of exchanges.
    pub settings: ControlSettings,
    /// The time of the start in milliseconds of Unix time; orders the instances of one target.
    pub started: u64,
}
