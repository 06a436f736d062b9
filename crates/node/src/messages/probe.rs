//! Messages to the `probe` task, and its results.

use std::rc::Rc;

use futures::channel::mpsc;

use super::RoutingState;
use crate::self_report::SelfReport;

/// Result of a probe of the local target.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeResult {
    /// Whether the target reports that it is draining; `None` if the response does not state it.
    pub draining: Option<bool>,
    /// Whether the target accepts connections.
    pub reachable: bool,
    /// What the head of the response states; `None` without a response.
    pub report: Option<SelfReport>,
}

/// A message to the `probe` task.
#[derive(Debug)]
pub enum ProbeMessage {
    /// Query the target's load now; a [`GateMessage::LoadAnswer`] follows.
    CheckLoad,
    /// The configuration or the members changed.
    RoutingState(Rc<RoutingState>),
}

/// A sender to the `probe` task.
pub type ProbeSender = mpsc::UnboundedSender<ProbeMessage>;
