//! One attempt to have a call answered by one target.

use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use hawthornwall_core::admission::Priority;
use hawthornwall_core::calls::AttemptId;
use hawthornwall_core::keys::Key;
use hawthornwall_core::prelude::*;
use hawthornwall_wire::peer::{
    HttpAnswer, HttpRequest, Reply, Request, RunReply, RunRequest, RunResult,
};

use super::listener::Backend;
use crate::messages::{OpenTicket, PeerAddress, PeerFault, PeersMessage, Seen};
use crate::peers::{issue_at_gate, run_at_gate};
use crate::telemetry::Event;
use crate::telemetry::trace::HopSpan;

/// Status from which a target reports a failure of its own.
const FAILED: u16 = 500;

/// What the targets of a call are asked to do.
#[derive(Clone, Debug)]
pub(super) enum Task {
    /// Issue an idempotency key.
    Issue,
    /// Run the caller's request.
    Run { http: HttpRequest, key: Option<Key> },
}

/// One attempt. Dropping it before its end cancels the work and ends its ticket.
#[derive(Debug)]
pub(super) struct Attempt {
    pub request: AttemptRequest,
    pub span: HopSpan,
    pub ticket: OpenTicket,
}

/// Where and under which id a request is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sending {
    pub attempt: AttemptId,
    pub max_wait: Duration,
    /// For a repeat: the run that the first sending may have reached.
    pub repeat: Option<InstanceId>,
    /// Shared by all sendings of a request that must not run twice.
    pub request: RequestId,
    pub target: TargetId,
}

/// What is sent.
#[derive(Debug)]
pub(super) struct AttemptRequest {
    pub deadline: Time,
    /// Name that the target must have.
    pub expect: Option<Rc<str>>,
    /// Whether the target is beside this daemon.
    pub local: bool,
    /// Whether the request must not run twice although it has no key.
    pub once: bool,
    pub sending: Sending,
    pub service: ServiceId,
    pub task: Task,
    pub priority: Priority,
    /// Until when an answer is in time.
    pub objective_deadline: Option<Time>,
}

/// What an attempt yields for the caller.
#[derive(Debug)]
pub(super) enum Yield {
    Answer(HttpAnswer),
    Key(Key),
    Nothing,
}

impl Attempt {
    /// Makes the attempt and reports its end to the router.
    pub async fn run(self, backend: Backend) -> (AttemptId, TargetId, AttemptResult, Yield) {
        let (id, target) = (self.request.sending.attempt, self.request.sending.target);
        let started = backend.clock.now();
        let Self {
            request,
            span,
            ticket,
        } = self;
        let reply = request.send(&backend, span.traceparent()).await;
        let elapsed = backend.clock.now() - started;
        let (result, report, held, yielded) = match reply {
            Ok(reply) => {
                let (result, yielded) = split(reply.result);
                (result, Some(reply.report), reply.held, yielded)
            }
            Err(fault) => (result_of(fault), None, Duration::ZERO, Yield::Nothing),
        };
        span.set_result(result);
        backend.telemetry.record(Event::Attempt { elapsed, result });
        ticket.close(Seen {
            elapsed,
            held,
            report,
            result,
        });
        (id, target, result, yielded)
    }
}

impl AttemptRequest {
    async fn send(self, backend: &Backend, trace: Option<String>) -> Result<RunReply, PeerFault> {
        let id = self.sending.request;
        let request = self.request(id, backend, trace);
        let reply = if self.local {
            send_local(backend, request).await?
        } else {
            send_remote(backend, self.sending.target, request).await?
        };
        // A reply to another request must never reach this caller.
        if reply.id == id {
            Ok(reply)
        } else {
            Err(PeerFault::Lost(Loss::Malformed))
        }
    }

    fn request(&self, id: RequestId, backend: &Backend, trace: Option<String>) -> Request {
        let (service, target) = (self.service, self.sending.target);
        match self.task.clone() {
            Task::Issue => Request::IssueKey {
                id,
                service,
                target,
            },
            Task::Run { http, key } => {
                let left = backend.clock.until(self.deadline);
                let Sending {
                    max_wait, repeat, ..
                } = self.sending;
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

async fn send_local(backend: &Backend, request: Request) -> Result<RunReply, PeerFault> {
    let reply = match request {
        Request::Run(id, run) => run_at_gate(&backend.gate, id, run).await,
        Request::IssueKey {
            id,
            service,
            target,
        } => issue_at_gate(&backend.gate, id, service, target).await,
        Request::StoreUpdate(_) | Request::Exchange(_) => None,
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
        Reply::Exchange(_) | Reply::StoreUpdate(_) => Err(PeerFault::Lost(Loss::Malformed)),
    }
}

fn split(end: RunResult) -> (AttemptResult, Yield) {
    match end {
        RunResult::Answered(answer) if answer.status >= FAILED => {
            (AttemptResult::Failed, Yield::Answer(answer))
        }
        RunResult::Answered(answer) => (AttemptResult::Answered, Yield::Answer(answer)),
        RunResult::KeyIssued(key) => (AttemptResult::Answered, Yield::Key(key)),
        RunResult::Lost(loss) => (AttemptResult::Lost(loss), Yield::Nothing),
        RunResult::Refused(refusal) => (AttemptResult::Refused(refusal), Yield::Nothing),
    }
}

fn result_of(fault: PeerFault) -> AttemptResult {
    match fault {
        PeerFault::Busy => AttemptResult::Refused(Refusal::Full),
        PeerFault::Lost(loss) => AttemptResult::Lost(loss),
        PeerFault::Unreachable => AttemptResult::Refused(Refusal::Unreachable),
    }
}
