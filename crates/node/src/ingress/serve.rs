//! Runs one call: performs its effects and passes the results back to it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::admission::Priority;
use hawthornwall_core::calls::{
    AttemptId, Call, Effect, Event, MAX_SENDS, PickKind, Spec, keyed_outcome,
};
use hawthornwall_core::prelude::*;
use hawthornwall_core::routes::Repeatability;
use hawthornwall_core::routing::Choice;
use hawthornwall_core::stop::StopPlan;
use hawthornwall_wire::peer::HttpRequest;
use hawthornwall_wire::sent::remove_sent;

use super::attempt::{Attempt, AttemptOutput, AttemptRequest, Operation, SendParams};
use super::identity::{log_unrouted, request_id, set_calling_service};
use super::listener::Backend;
use super::reply::Reply;
use super::request::{RequestKind, host_and_path, idempotent, request_kind, time_left};
use super::stop::StopNotice;
use crate::http::header_text;
use crate::messages::{OpenTicket, Opened, Picked, RouterMessage};
use crate::telemetry::trace::{Hop, HopSpan};
use crate::telemetry::{AttemptRecord, Event as Count, RequestRecord};

/// Finds the service of a caller's request, which arrived at `arrived`. An error is the answer to a request
/// that isn't passed on.
pub(super) async fn open(
    backend: &Backend,
    request: HttpRequest,
    arrived: Time,
) -> Result<OpenedCall<'_>, Reply> {
    let parent = header_text(&request.headers, "traceparent").and_then(|text| text.parse().ok());
    let span = backend.tracer.ingress(parent);
    span.set("path", || request.path.clone());
    let mut end = CallEnd {
        arrived,
        backend,
        count: Count::Abandoned,
        id: request_id(backend, &request),
        span,
    };
    match open_service(backend, request).await {
        Ok(service) => Ok(OpenedCall { end, service }),
        Err(reply) => Err(end.record(reply)),
    }
}

/// A caller's request whose service is known and which hasn't been passed on. Dropping it leaves the
/// request unrun.
pub(super) struct OpenedCall<'a> {
    end: CallEnd<'a>,
    service: OpenedService<'a>,
}

impl OpenedCall<'_> {
    /// Whether the request may run more than once.
    pub fn repeats(&self) -> Repeatability {
        self.service.repeats
    }

    /// Passes the request on and returns the answer. Dropping the future cancels the call.
    pub async fn run(self) -> Reply {
        let Self { mut end, service } = self;
        let reply = service.run(&end).await;
        end.record(reply)
    }
}

/// What is recorded of a request once its answer is known.
struct CallEnd<'a> {
    arrived: Time,
    backend: &'a Backend,
    /// Counted when dropped. A request counts as abandoned if its caller closes the connection before the
    /// answer is known, or if it is discarded unrun.
    count: Count,
    id: String,
    span: HopSpan,
}

impl CallEnd<'_> {
    /// Adds the request id to the answer and records the outcome.
    fn record(&mut self, mut reply: Reply) -> Reply {
        reply.echo_request_id(self.backend.dialect.names().request_id, &self.id);
        let outcome = reply.outcome();
        self.span.set_outcome(outcome);
        let elapsed = self.backend.clock.now() - self.arrived;
        self.count = Count::Request { elapsed, outcome };
        reply
    }
}

impl Drop for CallEnd<'_> {
    fn drop(&mut self) {
        self.backend.telemetry.record(self.count);
    }
}

/// A request with its service, which counts it as in flight.
struct OpenedService<'a> {
    inflight: InFlightGuard<'a>,
    opened: Opened,
    repeats: Repeatability,
    request: HttpRequest,
    request_kind: RequestKind,
}

async fn open_service(
    backend: &Backend,
    mut request: HttpRequest,
) -> Result<OpenedService<'_>, Reply> {
    set_calling_service(backend, &mut request);
    remove_sent(&mut request);
    let request_kind = request_kind(backend.dialect, &request)
        .map_err(|refusal| Reply::unanswered(Outcome::Refused(refusal)))?;
    let (host, path) = host_and_path(&request, &request_kind);
    let budget = time_left(&request, backend.dialect.names().deadline);
    let opened = find_service(backend, host, path, budget)
        .await
        .map_err(|refusal| {
            let outcome = refusal_outcome(&request_kind, refusal);
            log_unrouted(backend, &request, &request_kind, outcome);
            Reply::unanswered(outcome)
        })?;
    let inflight = InFlightGuard {
        router: &backend.router,
        service: opened.service,
    };
    if let Err(refusal) = admit(backend, &opened) {
        let outcome = refusal_outcome(&request_kind, refusal);
        log_unrouted(backend, &request, &request_kind, outcome);
        return Err(Reply::unanswered(outcome));
    }
    if let RequestKind::Keyed(key) = request_kind
        && key.service != opened.service
    {
        return Err(Reply::unanswered(Outcome::Refused(Refusal::KeyMismatch)));
    }
    let repeats = repeatability(&opened, request_kind, &request);
    Ok(OpenedService {
        inflight,
        opened,
        repeats,
        request,
        request_kind,
    })
}

/// Refuses a request that can't be expected to finish before the daemon stops.
fn admit(backend: &Backend, opened: &Opened) -> Result<(), Refusal> {
    let Some(plan) = backend.stop.peek() else {
        return Ok(());
    };
    let objective = opened.route.as_ref().map(|route| route.objective);
    plan.admit(objective.unwrap_or_default(), backend.clock.now())
        .map(|_| ())
}

/// Whether a request may run more than once: its route decides, or else its method.
fn repeatability(
    opened: &Opened,
    request_kind: RequestKind,
    request: &HttpRequest,
) -> Repeatability {
    // An unused key has no effect, so a key may be requested more than once.
    let by_method = request_kind == RequestKind::IssueKey || idempotent(&request.method);
    match &opened.route {
        Some(route) => route.repeats,
        None if by_method => Repeatability::Idempotent,
        None => Repeatability::NonIdempotent,
    }
}

impl OpenedService<'_> {
    async fn run(self, end: &CallEnd<'_>) -> Reply {
        let Self {
            inflight,
            opened,
            repeats,
            request,
            request_kind,
        } = self;
        let backend = end.backend;
        let operation = operation_for(request_kind, request);
        let mut driver = CallDriver::new(&opened, repeats, request_kind, operation, end);
        let reply = driver.run().await;
        drop(inflight);
        let now = backend.clock.now();
        let record = RequestRecord {
            attempts: std::mem::take(&mut driver.records),
            budget: driver.call.deadline() - end.arrived,
            elapsed: now - end.arrived,
            id: end.id.clone(),
            outcome: reply.outcome(),
            route: opened
                .route
                .as_deref()
                .map_or_else(String::new, |r| r.prefix.clone()),
            service: opened.name.clone(),
            version: opened.version,
        };
        backend.telemetry.log_request(record, now);
        reply
    }
}

fn refusal_outcome(request_kind: &RequestKind, refusal: Refusal) -> Outcome {
    match request_kind {
        RequestKind::Keyed(_) => keyed_outcome(refusal),
        RequestKind::IssueKey | RequestKind::Plain => Outcome::Refused(refusal),
    }
}

async fn find_service(
    backend: &Backend,
    host: &str,
    path: &str,
    budget: Option<Duration>,
) -> Result<Opened, Refusal> {
    let (reply, receiver) = oneshot::channel();
    let message = RouterMessage::Open {
        budget,
        host: host.to_owned(),
        path: path.to_owned(),
        reply,
    };
    let _ = backend.router.unbounded_send(message);
    receiver.await.unwrap_or(Err(Refusal::NotReady))
}

/// Reports to the router, when dropped, that the request is no longer in flight.
struct InFlightGuard<'a> {
    router: &'a mpsc::UnboundedSender<RouterMessage>,
    service: ServiceId,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let _ = self
            .router
            .unbounded_send(RouterMessage::Close(self.service));
    }
}

/// Result of an asynchronous operation that the call has started.
enum Completion {
    Ended(AttemptId, TargetId, AttemptResult, AttemptOutput),
    Picked(PickKind, Result<Picked, Refusal>),
}

/// What a call in progress waits for.
enum Input {
    Completion(Completion),
    Stop(StopPlan),
    Timer,
}

/// A [`Call`] in progress, with the state and channels used to perform its effects.
struct CallDriver<'a> {
    backend: &'a Backend,
    call: Call,
    effects: Vec<Effect>,
    /// For each picked target, the name that it must have to run the request; `None` if the target
    /// doesn't check its name.
    expects: BTreeMap<TargetId, Option<Rc<str>>>,
    local: Option<TargetId>,
    /// Whether the request must not run twice although it has no idempotency key.
    once: bool,
    pending: FuturesUnordered<LocalBoxFuture<'a, Completion>>,
    /// Choice that the next `Send` effect uses; `None` if the target is named by a key.
    picked: Option<(PickKind, Choice)>,
    /// Log records of the attempts so far, by attempt.
    records: Vec<AttemptRecord>,
    /// Request ids by attempt.
    request_ids: Vec<RequestId>,
    service: ServiceId,
    span: &'a HopSpan,
    /// When the request arrived.
    started: Time,
    /// `None` once the call has been told of a stop.
    stop: Option<StopNotice>,
    operation: Operation,
    /// Ticket of the choice that the next `Send` effect uses.
    ticket: Option<OpenTicket>,
    priority: Priority,
    /// Time by which an answer still meets the latency objective; `None` without a route.
    objective_deadline: Option<Time>,
    /// Target and output of the attempts that have ended.
    output: BTreeMap<AttemptId, (TargetId, AttemptOutput)>,
}

impl<'a> CallDriver<'a> {
    fn new(
        opened: &Opened,
        repeats: Repeatability,
        request_kind: RequestKind,
        operation: Operation,
        end: &'a CallEnd<'a>,
    ) -> Self {
        let (backend, started) = (end.backend, end.arrived);
        let pinned = match request_kind {
            RequestKind::Keyed(key) => Some(key.target),
            RequestKind::IssueKey | RequestKind::Plain => None,
        };
        let route = opened.route.as_deref();
        let spec = Spec {
            attempts: route.map_or(MAX_SENDS, |r| r.attempts),
            deadline: started + opened.left.min(route.map_or(Duration::MAX, |r| r.timeout)),
            hedge: opened.rules.hedge && request_kind == RequestKind::Plain,
            idempotent: repeats == Repeatability::Idempotent,
            pinned,
        };
        let (call, effects) = Call::start(spec, backend.clock.now());
        Self {
            backend,
            call,
            effects,
            expects: BTreeMap::new(),
            local: opened.own,
            once: !spec.idempotent && pinned.is_none(),
            pending: FuturesUnordered::new(),
            picked: None,
            records: Vec::new(),
            request_ids: Vec::new(),
            service: opened.service,
            span: &end.span,
            started,
            stop: Some(backend.stop.clone()),
            operation,
            ticket: None,
            priority: route.map_or(Priority::default(), |r| Priority {
                objective: r.objective,
                rank: r.rank,
            }),
            objective_deadline: route.map(|r| started + r.objective.saturating_sub(opened.spent)),
            output: BTreeMap::new(),
        }
    }

    async fn run(&mut self) -> Reply {
        loop {
            let effects = std::mem::take(&mut self.effects);
            for effect in effects {
                match effect {
                    // All attempts are dropped, and thereby cancelled, when the call finishes.
                    Effect::Cancel(_) => {}
                    Effect::Finish(outcome, answer) => return self.reply(outcome, answer),
                    Effect::Pick(kind) => self.pick(kind),
                    Effect::Repeat {
                        attempt,
                        instance,
                        original,
                        target,
                    } => {
                        self.send(SendParams {
                            attempt,
                            max_wait: Duration::MAX,
                            repeat: Some(instance),
                            request: self.request_ids[usize::from(original.0)],
                            target,
                        })
                        .await;
                    }
                    Effect::Send {
                        attempt,
                        max_wait,
                        target,
                    } => {
                        self.send(SendParams {
                            attempt,
                            max_wait,
                            repeat: None,
                            request: self.backend.next_request_id(),
                            target,
                        })
                        .await;
                    }
                }
            }
            let event = self.next_event().await;
            self.effects = self.call.on(&event, self.backend.clock.now());
        }
    }

    async fn next_event(&mut self) -> Event {
        let input = {
            let timer = self.backend.clock.until(self.call.next_timer());
            let timer = monoio::time::sleep(timer).fuse();
            let stop = stop_plan(&mut self.stop).fuse();
            pin_mut!(timer, stop);
            select_biased! {
                completion = self.pending.select_next_some() => Input::Completion(completion),
                plan = stop => Input::Stop(plan),
                () = timer => Input::Timer,
            }
        };
        match input {
            Input::Completion(completion) => self.complete(completion),
            Input::Stop(plan) => {
                self.stop = None;
                Event::Shorten(plan.answer_by())
            }
            Input::Timer => Event::Timer,
        }
    }

    fn complete(&mut self, completion: Completion) -> Event {
        match completion {
            Completion::Ended(attempt, target, result, output) => {
                self.output.insert(attempt, (target, output));
                let at = self.backend.clock.now() - self.started;
                if let Some(record) = self.records.get_mut(usize::from(attempt.0)) {
                    record.ended = Some((at, result));
                }
                Event::Ended(attempt, result)
            }
            Completion::Picked(kind, Ok(picked)) => {
                let choice = picked.choice;
                self.picked = Some((kind, choice));
                self.ticket = Some(picked.ticket);
                self.expects.insert(choice.target, picked.expect);
                Event::Picked(choice)
            }
            Completion::Picked(_, Err(refusal)) => Event::NotPicked(refusal),
        }
    }

    fn pick(&mut self, kind: PickKind) {
        let (reply, receiver) = oneshot::channel();
        let (service, tried) = (self.service, self.call.tried());
        let message = RouterMessage::Pick {
            kind,
            reply,
            service,
            tried,
        };
        let _ = self.backend.router.unbounded_send(message);
        let completion = async move {
            Completion::Picked(kind, receiver.await.unwrap_or(Err(Refusal::NotReady)))
        };
        self.pending.push(completion.boxed_local());
    }

    async fn send(&mut self, params: SendParams) {
        self.request_ids.push(params.request);
        let target = params.target;
        self.record_send(target);
        let picked = self.ticket.take();
        let ticket = match picked {
            Some(ticket) => Some(ticket),
            None => self.pin(target).await,
        };
        // The router ends only when the daemon stops; the call then ends at its deadline.
        let Some(ticket) = ticket else { return };
        let span = self.span.child(Hop::Attempt);
        let picked = self.picked.take();
        if let Some((kind, choice)) = &picked {
            span.set_choice(*kind, choice);
        }
        let kind = picked.map_or(PickKind::First, |(kind, _)| kind);
        self.backend.telemetry.record(Count::Sent(kind));
        let request = AttemptRequest {
            deadline: self.call.deadline(),
            expect: self.expects.get(&target).cloned().flatten(),
            local: self.local == Some(target),
            once: self.once,
            params,
            service: self.service,
            operation: self.operation.clone(),
            priority: self.priority,
            objective_deadline: self.objective_deadline,
        };
        let run = Attempt {
            request,
            span,
            ticket,
        }
        .run(self.backend.clone());
        let completion = async {
            let (id, target, result, output) = run.await;
            Completion::Ended(id, target, result, output)
        };
        self.pending.push(completion.boxed_local());
    }

    fn record_send(&mut self, target: TargetId) {
        let expect = self.expects.get(&target).cloned().flatten();
        let estimate = self.picked.as_ref().map(|(_, choice)| choice.estimate);
        // The first attempt of a keyed request is sent without a pick.
        let first = self.records.is_empty().then_some(PickKind::First);
        self.records.push(AttemptRecord {
            ended: None,
            kind: self.picked.as_ref().map(|(kind, _)| *kind).or(first),
            report_age: estimate.and_then(|e| e.age),
            sent: self.backend.clock.now() - self.started,
            target: expect.map_or_else(|| target.to_string(), |name| name.to_string()),
        });
    }

    /// Opens a ticket for an attempt that isn't preceded by a pick, such as one at the target that
    /// a key names; `None` if the router has ended.
    async fn pin(&self, target: TargetId) -> Option<OpenTicket> {
        let (reply, receiver) = oneshot::channel();
        let _ = self
            .backend
            .router
            .unbounded_send(RouterMessage::Pin { reply, target });
        receiver.await.ok()
    }

    fn reply(&mut self, outcome: Outcome, answer: Option<AttemptId>) -> Reply {
        let output = answer.and_then(|id| self.output.remove(&id));
        match (outcome, output) {
            (Outcome::Answered, Some((target, AttemptOutput::Answer(answer)))) => {
                Reply::answered(answer, &target.to_string())
            }
            (Outcome::Answered, Some((_, AttemptOutput::Key(key)))) => {
                Reply::issued(&key.to_string())
            }
            (Outcome::Answered, Some((_, AttemptOutput::Nothing)) | None) => {
                unreachable!("a call is answered only by an attempt that returned an answer")
            }
            (Outcome::Failed(_) | Outcome::Refused(_) | Outcome::Unknown(_), _) => {
                Reply::unanswered(outcome)
            }
        }
    }
}

/// Waits for the plan of a stop; never completes once the call has been told of it.
async fn stop_plan(notice: &mut Option<StopNotice>) -> StopPlan {
    match notice {
        Some(notice) => notice.await,
        None => std::future::pending().await,
    }
}

fn operation_for(request_kind: RequestKind, request: HttpRequest) -> Operation {
    match request_kind {
        RequestKind::IssueKey => Operation::Issue,
        RequestKind::Keyed(key) => Operation::Run {
            http: request,
            key: Some(key),
        },
        RequestKind::Plain => Operation::Run {
            http: request,
            key: None,
        },
    }
}
