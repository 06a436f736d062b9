//! The control task: configuration in force and members.
//!
//! It owns the aggregates [`ActiveConfig`], [`Members`] and [`Gossip`]. Every message becomes an
//! event of an aggregate, and the effects become messages to the peers and the platform readers.
//! After each change of the configuration or the members, a new [`RoutingState`] is sent to the
//! other tasks.
//!
//! Invariant: no [`RoutingState`] is sent before this daemon is ready to serve, and its versions never
//! decrease.
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

/// Parameters of the control task.
#[derive(Debug)]
pub struct ControlStart {
    /// Clock shared by the tasks of this process.
    pub clock: Clock,
    /// Address of the configuration service.
    pub config: SocketAddr,
    /// Channel to the `gate` task.
    pub gate: GateSender,
    /// Identity that this daemon announces.
    pub identity: Identity,
    /// Address of the service that publishes the instance list.
    pub instances: SocketAddr,
    /// Channel to the `peers` task.
    pub peers: PeersSender,
    /// Messages to this task.
    pub receiver: mpsc::UnboundedReceiver<ControlMessage>,
    /// Channel to the `router` task.
    pub router: RouterSender,
    /// Seed of the random times and choices of [`Gossip`].
    pub seed: u64,
    /// Addresses of the seed peers, which are contacted at the start.
    pub seeds: Vec<SocketAddr>,
    /// Sender to this task, for replies of peers and results of reads.
    pub sender: ControlSender,
    /// Intervals of exchanges and number of watchers.
    pub settings: ControlSettings,
    /// Unix time of the start in milliseconds, by which the instances of one target are ordered.
    pub started: u64,
}
