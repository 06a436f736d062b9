//! Load reports: what the daemon beside a target says about it on every reply.
//!
//! Invariant: reports of one instance are ordered by `seq`; a lower number never replaces a higher.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::ids::InstanceId;
use crate::units::Micros;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum TargetState {
    /// Takes new work.
    #[default]
    Serving,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Not reachable from its own daemon.
    Down,
}

/// The occupancy of one target at the moment its daemon sent a reply.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Share of recent answers that were server errors or broken, in percent.
    pub failing: u8,
    /// The run of the daemon that reports.
    pub instance: InstanceId,
    /// Requests waiting for a slot.
    pub queued: u32,
    /// Requests that hold a slot.
    pub running: u32,
    /// Position in the sequence of this instance's reports.
    pub seq: u64,
    /// Time that a request holds a slot, averaged over recent requests.
    #[serde_as(as = "Micros")]
    pub service: Duration,
    /// How long work takes on the target's machine at this moment, in percent of the usual, if the
    /// target states it.
    pub slowdown: Option<u32>,
    /// Requests that its daemon lets it run at once.
    pub slots: u32,
    /// Whether the target takes new work.
    pub state: TargetState,
}

/// What a target says of its own load on an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How long work takes at this moment, in percent of the usual.
    pub slowdown: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
}
