//! Messages to the `gate` task.

use std::cell::Cell;
use std::rc::Rc;

use futures::channel::{mpsc, oneshot};
use hawthornwall_core::admission::WorkId;
use hawthornwall_core::prelude::*;
use hawthornwall_core::stop::StopPlan;
use hawthornwall_wire::peer::{BodyOffer, RunReply, RunRequest};
use serde::Serialize;

use super::{ProbeResult, RoutingState};
use crate::self_report::SelfReport;

/// A message to the `gate` task.
#[derive(Debug)]
pub enum GateMessage {
    /// The sender cancelled the request.
    Cancel(WorkId),
    /// Accept no new work; reply when all accepted work has ended.
    Drain(oneshot::Sender<()>),
    /// The daemon stops; take only work that can be relied on to finish before its end.
    Stop(StopPlan),
    /// Issue an idempotency key.
    IssueKey {
        /// Id of the request, repeated in the reply.
        id: hawthornwall_wire::peer::RequestId,
        /// Receives the key, or the refusal.
        reply: oneshot::Sender<RunReply>,
        /// The service that the key is for.
        service: ServiceId,
        /// The target that the sender picked; the gate refuses if it is not the local one.
        target: TargetId,
    },
    /// Result of [`ProbeMessage::CheckLoad`]; `None` if the query failed or the budget denied it.
    LoadAnswer(Option<SelfReport>),
    /// Decide whether a request with this body would be admitted if it arrived now.
    Offer {
        /// Time limits and rank of the request.
        offer: BodyOffer,
        /// Receives the decision and the load report.
        reply: oneshot::Sender<(Result<(), Refusal>, LoadReport)>,
    },
    /// A periodic probe ended.
    Probed(ProbeResult),
    /// Run a request.
    Run {
        /// Id of the request, repeated in the reply.
        id: hawthornwall_wire::peer::RequestId,
        /// Receives the result.
        reply: oneshot::Sender<RunReply>,
        /// The request with its limits.
        run: Box<RunRequest>,
        /// Identifies the request in a [`GateMessage::Cancel`].
        work: WorkId,
    },
    /// Report the state of the gate: stored keys, load and id of the local target.
    Status(oneshot::Sender<GateStatus>),
    /// The configuration or the members changed.
    RoutingState(Rc<RoutingState>),
}

/// State of the gate on the status page.
#[derive(Clone, Debug, Default, Serialize)]
pub struct GateStatus {
    /// Whether the target's failure domain is evacuated.
    pub evacuated: bool,
    /// Number of stored idempotency keys.
    pub keys: usize,
    /// The load report that a reply sent now would contain.
    pub report: LoadReport,
    /// Id of the local target; `None` if the configuration does not contain it.
    pub target: Option<TargetId>,
}

/// A sender to the `gate` task, with the source of work ids.
#[derive(Clone, Debug)]
pub struct GateSender {
    next: Rc<Cell<u64>>,
    sender: mpsc::UnboundedSender<GateMessage>,
}

impl GateSender {
    /// Creates a sender; its work ids start at 0.
    pub fn new(sender: mpsc::UnboundedSender<GateMessage>) -> Self {
        Self {
            next: Rc::default(),
            sender,
        }
    }

    /// Sends a message. After the gate task has ended, the message is dropped and its reply channel
    /// closes.
    pub fn send(&self, message: GateMessage) {
        let _ = self.sender.unbounded_send(message);
    }

    /// Returns an id that is unique within this process.
    pub fn next_work(&self) -> WorkId {
        let id = self.next.get();
        self.next.set(id + 1);
        WorkId(id)
    }
}
