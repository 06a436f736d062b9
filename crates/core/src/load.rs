//! Load reports, which the daemon of a target attaches to every reply.
//!
//! Invariant: the reports of one instance are ordered by `seq`; a report never replaces one with a
//! higher number.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::ids::InstanceId;
use crate::units::Micros;

/// Whether a target accepts new requests, is draining, or is unreachable.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum TargetState {
    /// Accepts new requests.
    #[default]
    Serving,
    /// Finishes the requests it has admitted and accepts no new ones.
    Draining,
    /// Not reachable from its own daemon.
    Down,
}

/// Occupancy and state of one target when its daemon sent a reply.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Moving average of the share of answers that were server errors or violated the protocol, in
    /// percent.
    pub failing: u8,
    /// Instance of the reporting daemon.
    pub instance: InstanceId,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Number of requests that hold a slot.
    pub running: u32,
    /// Sequence number among the reports of this instance.
    pub seq: u64,
    /// Estimated time for which a request holds a slot; zero before any request has started.
    #[serde_as(as = "Micros")]
    pub service: Duration,
    /// Service time on the target's machine now, in percent of the usual service time; `None` if
    /// the target has not reported it recently.
    pub slowdown: Option<u32>,
    /// Maximum number of requests that the daemon sends to the target at once.
    pub slots: u32,
    /// Whether the target accepts new requests, is draining, or is unreachable.
    pub state: TargetState,
}

/// Age from which a target's statement that it leaves is ignored. The target has ended long before, and
/// another run of it may have the same name.
pub const LEAVING_MAX_AGE: Duration = Duration::from_mins(1);

/// Number of requests per second that a target accepts from all daemons together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    /// Requests per second; finite and not negative.
    pub per_second: f64,
}

/// Load that a target reports for itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// Number of requests that hold a slot.
    pub running: u32,
    /// Number of requests that the target runs at once.
    pub slots: u32,
    /// Service time now, in percent of the usual service time.
    pub slowdown: u32,
    /// Number of requests that wait for a slot inside the target.
    pub waiting: u32,
}
