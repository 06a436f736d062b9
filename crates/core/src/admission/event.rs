//! Inputs and actions of the gate, and the data in them.

use std::fmt;
use std::time::Duration;

use crate::load::TargetLoad;
use crate::outcome::Refusal;
use crate::stop::StopPlan;
use crate::time::Time;

/// Identifies a request within the gate of one target.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkId(pub u64);

impl fmt::Display for WorkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "work{}", self.0)
    }
}

/// Admission limits of the target, from the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum estimated queueing delay; a request that would wait longer is refused.
    pub queue_wait: Duration,
    /// Maximum number of requests that run at once.
    pub slots: u32,
}

/// Order in which waiting requests start: the lower rank first, then the shorter latency objective.
/// Calls made by a running request have the shortest objectives; refusing one also wastes the work
/// that its parent request has already done.
///
/// The fields are compared in declaration order, and the lower value starts first. Requests with
/// equal priority are of one kind and share service time statistics.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Priority {
    /// Rank of the request's route; 0 starts first.
    pub rank: u8,
    /// Latency objective of the route; zero if it has none.
    pub objective: Duration,
}

/// A request that arrives at the gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Time from which the answer has no use. The request is never started after it.
    pub deadline: Time,
    /// Identifies the request in later events and in effects.
    pub id: WorkId,
    /// Maximum estimated queueing delay that the sender accepts. It is shorter where the sender has
    /// another target to try.
    pub max_wait: Duration,
    /// Determines the position in the queue.
    pub priority: Priority,
    /// Time by which an answer still meets the latency objective; `None` if it is unknown.
    pub objective_deadline: Option<Time>,
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The target answered, or the sender cancelled the request.
    Completed,
    /// The answer was a server error or violated the protocol, or there was none.
    Failed,
    /// The target did not run the request.
    NotRun,
}

/// Input of the gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A started request ends without an answer, and the target may still run it; its
    /// [`Event::Finish`] follows.
    Abandon(WorkId),
    /// A request arrived.
    Arrive(Arrival),
    /// The sender cancelled the request.
    Cancel(WorkId),
    /// The configured limits changed.
    Configure(Limits),
    /// The target is being removed or its daemon is shutting down. This can't be undone.
    Drain,
    /// The evacuation of the target's failure domain begins or is revoked.
    Evacuate(bool),
    /// A started request ended.
    Finish {
        /// How it ended.
        end: RunEnd,
        /// The request that ended.
        id: WorkId,
    },
    /// Result of [`Effect::CheckLoad`]; `None` if the query failed.
    LoadAnswer(Option<TargetLoad>),
    /// The target became reachable or unreachable from its daemon.
    Reachable(bool),
    /// The daemon stops, and its target runs on. [`Event::Drain`] follows when the stop has been announced.
    Stop(StopPlan),
    /// The target reported whether it is draining. Unlike [`Event::Drain`] this can be undone,
    /// since such a report can be wrong.
    TargetDrains(bool),
    /// The target stated that it leaves; it gets no more requests.
    TargetLeaves,
    /// Another run of the target serves the address. What the earlier run stated doesn't apply to it.
    TargetReplaced,
    /// Time has passed: expired requests are refused, and requests held back for strain or for the rate
    /// limit may start.
    Tick,
}

/// Action that the owner of the gate must perform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Cancel the request at the target; its [`Event::Finish`] still follows.
    Abort(WorkId),
    /// Query the target's load; [`Event::LoadAnswer`] follows.
    CheckLoad,
    /// The drain is complete: no request is running or waiting.
    Drained,
    /// Report to the sender that the request was not run, and why.
    Refuse(WorkId, Refusal),
    /// Send the request to the target.
    Start(WorkId),
}
