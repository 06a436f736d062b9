//! Requests from peers: one task per connection, one per stream.

use futures::channel::oneshot;
use futures::{FutureExt, pin_mut, select_biased};
use hawthornwall_core::admission::WorkId;
use hawthornwall_core::ids::{ServiceId, TargetId};
use hawthornwall_wire::peer::{
    Reply, Request, RequestId, Run, RunReply, decode_request, encode_reply,
};
use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream};

use super::stream::{MessageWriter, read_message};
use super::task::ControlTraffic;
use crate::messages::{ControlMessage, ControlSender, GateMessage, GateSender};
use std::cell::RefCell;
use std::rc::Rc;

/// Where requests from peers go.
#[derive(Clone)]
pub(super) struct Inbound {
    pub control: ControlSender,
    pub gate: GateSender,
    pub limit: usize,
    pub traffic: Rc<RefCell<ControlTraffic>>,
}

/// Accepts connections until the endpoint closes.
pub(super) async fn accept(endpoint: Endpoint, inbound: Inbound) {
    while let Some(incoming) = endpoint.accept().await {
        monoio::spawn(serve_connection(incoming, inbound.clone()));
    }
}

async fn serve_connection(incoming: Incoming, inbound: Inbound) {
    // A peer without the fleet's key fails here.
    let Ok(connection) = incoming.await else {
        return;
    };
    serve_streams(&connection, &inbound).await;
}

async fn serve_streams(connection: &Connection, inbound: &Inbound) {
    while let Ok((send, recv)) = connection.accept_bi().await {
        monoio::spawn(serve_stream(send, recv, inbound.clone()));
    }
}

async fn serve_stream(send: SendStream, mut recv: RecvStream, inbound: Inbound) {
    let mut writer = MessageWriter::new(send);
    let Some(bytes) = read_message(&mut recv, inbound.limit).await else {
        return;
    };
    // A malformed request is answered by a reset, which the sender counts as lost.
    let Ok(request) = decode_request(&bytes) else {
        return;
    };
    let is_control = matches!(request, Request::Exchange(_));
    let reply = {
        let work = inbound.answer(request).fuse();
        let refused = writer.refused().fuse();
        pin_mut!(work, refused);
        select_biased! {
            reply = work => reply,
            () = refused => None,
        }
    };
    let Some(reply) = reply else { return };
    let message = encode_reply(&reply);
    if is_control {
        inbound.traffic.borrow_mut().add(message.len(), bytes.len());
    }
    let _ = writer.write(&message).await;
}

impl Inbound {
    async fn answer(&self, request: Request) -> Option<Reply> {
        match request {
            Request::Exchange(exchange) => {
                let (reply, receiver) = oneshot::channel();
                let message = ControlMessage::Exchange { exchange, reply };
                self.control.unbounded_send(message).ok()?;
                receiver.await.ok().map(|e| Reply::Exchange(Box::new(e)))
            }
            Request::Issue {
                id,
                service,
                target,
            } => {
                let issued = issue_at_gate(&self.gate, id, service, target).await;
                issued.map(|r| Reply::Run(Box::new(r)))
            }
            Request::Run(id, run) => run_at_gate(&self.gate, id, run)
                .await
                .map(|r| Reply::Run(Box::new(r))),
        }
    }
}

/// Asks the local gate for an idempotency key.
pub(crate) async fn issue_at_gate(
    gate: &GateSender,
    id: RequestId,
    service: ServiceId,
    target: TargetId,
) -> Option<RunReply> {
    let (reply, receiver) = oneshot::channel();
    gate.send(GateMessage::Issue {
        id,
        reply,
        service,
        target,
    });
    receiver.await.ok()
}

/// Runs a request at the local gate. Dropping the future cancels the work.
pub(crate) async fn run_at_gate(
    gate: &GateSender,
    id: RequestId,
    run: Box<Run>,
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

/// Tells the gate when nobody waits for the work any more.
struct CancelGuard<'a> {
    gate: &'a GateSender,
    work: Option<WorkId>,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if let Some(work) = self.work {
            self.gate.send(GateMessage::Cancel(work));
        }
    }
}
