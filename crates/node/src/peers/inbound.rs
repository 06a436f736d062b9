//! Dispatch of requests from peers to the tasks of this daemon.

use std::rc::Rc;

use futures::channel::oneshot;
use hawthornwall_core::admission::WorkId;
use hawthornwall_core::ids::{ServiceId, TargetId};
use hawthornwall_wire::peer::{
    BodyOffer, Reply, Request, RequestId, RunReply, RunRequest, RunResult,
};

use super::bodies::{Bodies, BodyGrant};
use crate::clock::Clock;
use crate::memory::Memory;
use crate::messages::{ControlMessage, ControlSender, GateMessage, GateSender};
use crate::open_count::{OpenCount, OpenGuard};

/// The tasks that handle requests from peers.
#[derive(Clone, Debug)]
pub(super) struct Inbound {
    /// Admits large bodies to the own link; `None` if its rate isn't set.
    pub bodies: Option<Bodies>,
    pub clock: Clock,
    pub control: ControlSender,
    pub gate: GateSender,
    /// Maximum message size in bytes.
    pub limit: usize,
    /// Budget of buffered bytes and connections.
    pub memory: Memory,
    /// Number of requests of callers that peers have sent, and whose replies have not been sent.
    pub pending: Rc<OpenCount>,
}

impl Inbound {
    /// Handles a request; `None` if the responsible task dropped it. Dropping the future cancels
    /// the work.
    pub async fn answer(&self, request: Request) -> Option<Reply> {
        match request {
            Request::StoreUpdate(position) => {
                let (reply, receiver) = oneshot::channel();
                let message = ControlMessage::StoreUpdate { position, reply };
                self.control.unbounded_send(message).ok()?;
                receiver.await.ok().map(|n| Reply::StoreUpdate(Box::new(n)))
            }
            Request::Exchange(exchange) => {
                let (reply, receiver) = oneshot::channel();
                let message = ControlMessage::Exchange { exchange, reply };
                self.control.unbounded_send(message).ok()?;
                receiver.await.ok().map(|e| Reply::Exchange(Box::new(e)))
            }
            Request::IssueKey {
                id,
                service,
                target,
            } => {
                let issued = issue_at_gate(&self.gate, id, service, target).await;
                issued.map(|r| Reply::Run(Box::new(r)))
            }
            // Only TCP keeps a connection on which the body would follow.
            Request::OfferBody(id, _) => Some(Reply::BodyGranted(id)),
            Request::Run(id, run) => run_at_gate(&self.gate, id, run)
                .await
                .map(|r| Reply::Run(Box::new(r))),
        }
    }

    /// Counts a request as pending until the returned guard is dropped. Requests for the state of this daemon aren't
    /// counted: their senders need no reply at the end of a stop, and some wait for the next change.
    pub fn enter(&self, request: &Request) -> Option<OpenGuard> {
        match request {
            Request::IssueKey { .. } | Request::OfferBody(..) | Request::Run(..) => {
                Some(self.pending.enter())
            }
            Request::Exchange(_) | Request::StoreUpdate(_) => None,
        }
    }

    /// Decides on a large body that a peer offers; `None` if the gate has ended, or if the body is longer than any
    /// message may be. Returns the reply, and the grant, which ends when it is dropped. Dropping the future withdraws
    /// the offer.
    pub async fn admit_body(
        &self,
        id: RequestId,
        offer: BodyOffer,
    ) -> Option<(Reply, Option<BodyGrant>)> {
        if offer.size > self.limit as u64 {
            return None;
        }
        let arrived = self.clock.now();
        let (reply, receiver) = oneshot::channel();
        self.gate.send(GateMessage::Offer { offer, reply });
        let (decision, report) = receiver.await.ok()?;
        let admitted = match (decision, &self.bodies) {
            (Err(refusal), _) => Err(refusal),
            (Ok(()), None) => Ok(None),
            (Ok(()), Some(bodies)) => bodies.admit(offer).await.map(Some),
        };
        Some(match admitted {
            Ok(grant) => (Reply::BodyGranted(id), grant),
            Err(refusal) => {
                let refused = RunReply {
                    result: RunResult::Refused(refusal),
                    held: self.clock.now() - arrived,
                    id,
                    report,
                };
                (Reply::Run(Box::new(refused)), None)
            }
        })
    }
}

/// Requests an idempotency key from the local gate; `None` if the gate task has ended.
pub(crate) async fn issue_at_gate(
    gate: &GateSender,
    id: RequestId,
    service: ServiceId,
    target: TargetId,
) -> Option<RunReply> {
    let (reply, receiver) = oneshot::channel();
    gate.send(GateMessage::IssueKey {
        id,
        reply,
        service,
        target,
    });
    receiver.await.ok()
}

/// Runs a request at the local gate; `None` if the gate dropped it. Dropping the future cancels the
/// work.
pub(crate) async fn run_at_gate(
    gate: &GateSender,
    id: RequestId,
    run: Box<RunRequest>,
) -> Option<RunReply> {
    let (reply, receiver) = oneshot::channel();
    let work = gate.next_work();
    gate.send(GateMessage::Run {
        id,
        reply,
        run,
        work,
    });
    let mut guard = CancelGuard {
        gate,
        work: Some(work),
    };
    let result = receiver.await.ok();
    guard.work = None;
    result
}

/// Cancels the work at the gate when dropped before the result has arrived.
struct CancelGuard<'a> {
    gate: &'a GateSender,
    /// `None` once the result has arrived.
    work: Option<WorkId>,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if let Some(work) = self.work {
            self.gate.send(GateMessage::Cancel(work));
        }
    }
}
