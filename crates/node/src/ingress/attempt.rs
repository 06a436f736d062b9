//! One attempt of a call: a request sent to one target.

use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use hawthornwall_core::admission::Priority;
use hawthornwall_core::calls::AttemptId;
use hawthornwall_core::keys::Key;
use hawthornwall_core::prelude::*;
use hawthornwall_core::transit::SentStamp;
use hawthornwall_wire::peer::{
    HttpAnswer, HttpRequest, Reply, Request, RunReply, RunRequest, RunResult,
};
use hawthornwall_wire::sent::set_sent;

use super::listener::Backend;
use crate::dialect::Dialect;
use crate::http::header_text;
use crate::messages::{Observed, OpenTicket, PeerAddress, PeerFault, PeersMessage};
use crate::peers::{issue_at_gate, run_at_gate};
use crate::telemetry::Event;
use crate::telemetry::trace::HopSpan;

/// Lowest HTTP status that counts as a failure of the target.
const MIN_FAILURE_STATUS: u16 = 500;

/// Operation that a call requests from a target.
#[derive(Clone, Debug)]
pub(super) enum Operation {
    /// Issue an idempotency key.
    Issue,
    /// Run the caller's request, under its idempotency key if it has one.
    Run { http: HttpRequest, key: Option<Key> },
}

/// An attempt. Dropping it before it has ended cancels the request and closes its ticket.
#[derive(Debug)]
pub(super) struct Attempt {
    pub request: AttemptRequest,
    pub span: HopSpan,
    pub ticket: OpenTicket,
}

/// Parameters that differ between the sends of a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendParams {
    pub attempt: AttemptId,
    pub max_wait: Duration,
    /// Set if this send repeats an earlier one whose reply was lost: the instance that the earlier
    /// send may have reached.
    pub repeat: Option<InstanceId>,
    /// Id of the request. A repeat has the id of the original send, so that the target's daemon can
    /// detect the repeat.
    pub request: RequestId,
    pub target: TargetId,
}

/// The request of an attempt, with its limits.
#[derive(Debug)]
pub(super) struct AttemptRequest {
    pub deadline: Time,
    /// Name that the target must have to run the request; `None` if the target doesn't check its
    /// name.
    pub expect: Option<Rc<str>>,
    /// Whether the target is the local one, which is reached through the gate of this daemon.
    pub local: bool,
    /// Whether the request must not run twice although it has no idempotency key.
    pub once: bool,
    pub params: SendParams,
    pub service: ServiceId,
    pub operation: Operation,
    pub priority: Priority,
    /// Time by which an answer still meets the latency objective; `None` without a route.
    pub objective_deadline: Option<Time>,
}

/// Content of an attempt's reply for the caller.
#[derive(Debug)]
pub(super) enum AttemptOutput {
    Answer(HttpAnswer),
    Key(Key),
    /// The attempt ended without an answer.
    Nothing,
}

impl Attempt {
    /// Sends the request and reports the result to the router and to telemetry.
    pub async fn run(
        self,
        backend: Backend,
    ) -> (AttemptId, TargetId, AttemptResult, AttemptOutput) {
        let (id, target) = (self.request.params.attempt, self.request.params.target);
        let started = backend.clock.now();
        // Nothing sent says nothing about an earlier request with the same key or id.
        let is_repeat = self.request.params.repeat.is_some() || self.request.has_key();
        let Self {
            request,
            span,
            ticket,
        } = self;
        let reply = request.send(&backend, span.traceparent()).await;
        let elapsed = backend.clock.now() - started;
        let leaving = reply
            .as_ref()
            .is_ok_and(|reply| states_leaving(backend.dialect, &reply.result));
        let (result, report, held, output) = match reply {
            Ok(reply) => {
                let (result, output) = result_and_output(reply.result);
                (result, Some(reply.report), reply.held, output)
            }
            Err(fault) => (
                fault.attempt_result(is_repeat),
                None,
                Duration::ZERO,
                AttemptOutput::Nothing,
            ),
        };
        span.set_result(result);
        backend.telemetry.record(Event::Attempt { elapsed, result });
        ticket.close(Observed {
            elapsed,
            held,
            leaving,
            report,
            result,
        });
        (id, target, result, output)
    }
}

impl AttemptRequest {
    fn has_key(&self) -> bool {
        match &self.operation {
            Operation::Issue => false,
            Operation::Run { key, .. } => key.is_some(),
        }
    }

    async fn send(self, backend: &Backend, trace: Option<String>) -> Result<RunReply, PeerFault> {
        let id = self.params.request;
        let request = self.request(id, backend, trace);
        let reply = if self.local {
            send_local(backend, request).await?
        } else {
            send_remote(backend, self.params.target, stamped(backend, request)).await?
        };
        // A reply to another request must never reach this caller.
        if reply.id == id {
            Ok(reply)
        } else {
            Err(PeerFault::Lost(Loss::Malformed))
        }
    }

    fn request(&self, id: RequestId, backend: &Backend, trace: Option<String>) -> Request {
        let (service, target) = (self.service, self.params.target);
        match self.operation.clone() {
            Operation::Issue => Request::IssueKey {
                id,
                service,
                target,
            },
            Operation::Run { http, key } => {
                let left = backend.clock.until(self.deadline);
                let SendParams {
                    max_wait, repeat, ..
                } = self.params;
                let once = self.once;
                let Priority { objective, rank } = self.priority;
                let expect = self.expect.as_deref().map(str::to_owned);
                let run = RunRequest {
                    expected_target: expect,
                    http,
                    key,
                    time_left: left,
                    objective,
                    run_once: once,
                    max_wait,
                    rank,
                    first_instance: repeat,
                    service,
                    target,
                    trace,
                    objective_left: self.objective_deadline.map(|at| backend.clock.until(at)),
                };
                Request::Run(id, Box::new(run))
            }
        }
    }
}

/// States when a request is sent, so that the time for which it is held on its way is deducted.
fn stamped(backend: &Backend, mut request: Request) -> Request {
    if let Request::Run(_, run) = &mut request {
        let stamp = SentStamp {
            at: backend.clock.since_boot(),
            sender: backend.sender,
        };
        set_sent(&mut run.http, stamp);
    }
    request
}

async fn send_local(backend: &Backend, request: Request) -> Result<RunReply, PeerFault> {
    let reply = match request {
        Request::Run(id, run) => run_at_gate(&backend.gate, id, run).await,
        Request::IssueKey {
            id,
            service,
            target,
        } => issue_at_gate(&backend.gate, id, service, target).await,
        Request::StoreUpdate(_) | Request::Exchange(_) | Request::OfferBody(..) => None,
    };
    reply.ok_or(PeerFault::Lost(Loss::Closed))
}

async fn send_remote(
    backend: &Backend,
    target: TargetId,
    request: Request,
) -> Result<RunReply, PeerFault> {
    let (reply, receiver) = oneshot::channel();
    let message = PeersMessage::Send {
        reply,
        request,
        to: PeerAddress::Target(target),
    };
    backend
        .peers
        .unbounded_send(message)
        .map_err(|_| PeerFault::Unreachable)?;
    match receiver
        .await
        .map_err(|_| PeerFault::Lost(Loss::Closed))??
    {
        Reply::Run(reply) => Ok(*reply),
        Reply::BodyGranted(_) | Reply::Exchange(_) | Reply::StoreUpdate(_) => {
            Err(PeerFault::Lost(Loss::Malformed))
        }
    }
}

/// Whether an answer of the target states that the target leaves.
fn states_leaving(dialect: Dialect, result: &RunResult) -> bool {
    match result {
        RunResult::Answered(answer) => {
            dialect.states_leaving(|name| header_text(&answer.headers, name))
        }
        RunResult::KeyIssued(_) | RunResult::Lost(_) | RunResult::Refused(_) => false,
    }
}

fn result_and_output(end: RunResult) -> (AttemptResult, AttemptOutput) {
    match end {
        RunResult::Answered(answer) if answer.status >= MIN_FAILURE_STATUS => {
            (AttemptResult::Failed, AttemptOutput::Answer(answer))
        }
        RunResult::Answered(answer) => (AttemptResult::Answered, AttemptOutput::Answer(answer)),
        RunResult::KeyIssued(key) => (AttemptResult::Answered, AttemptOutput::Key(key)),
        RunResult::Lost(loss) => (AttemptResult::Lost(loss), AttemptOutput::Nothing),
        RunResult::Refused(refusal) => (AttemptResult::Refused(refusal), AttemptOutput::Nothing),
    }
}
