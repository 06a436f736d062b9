//! Carries out the effects of one call.

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
use hawthornwall_wire::peer::HttpRequest;

use super::attempt::{Attempt, AttemptRequest, Sending, Task, Yield};
use super::identity::{name_caller, request_id, tell_unrouted};
use super::listener::Backend;
use super::reply::Reply;
use super::request::{Asked, address, asked, idempotent, time_left};
use crate::http::header_text;
use crate::messages::{OpenTicket, Opened, Picked, RouterMessage};
use crate::telemetry::trace::{Hop, HopSpan};
use crate::telemetry::{AttemptRecord, Event as Count, RequestRecord, Telemetry};

/// Serves one request. Dropping the future cancels it.
pub(super) async fn serve(backend: &Backend, request: HttpRequest) -> Reply {
    let started = backend.clock.now();
    let parent = header_text(&request.headers, "traceparent").and_then(|text| text.parse().ok());
    let span = backend.tracer.ingress(parent);
    span.set("path", || request.path.clone());
    let mut counted = Counted {
        event: Count::Abandoned,
        telemetry: &backend.telemetry,
    };
    let id = request_id(backend, &request);
    let mut reply = answer(backend, request, &span).await;
    reply.repeat_id(backend.dialect.names().request, &id);
    let outcome = reply.outcome();
    span.set_outcome(outcome);
    let elapsed = backend.clock.now() - started;
    counted.event = Count::Request { elapsed, outcome };
    reply
}

/// Counts a request when it is dropped, also one whose caller leaves.
struct Counted<'a> {
    event: Count,
    telemetry: &'a Telemetry,
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.telemetry.record(self.event);
    }
}

async fn answer(backend: &Backend, mut request: HttpRequest, span: &HopSpan) -> Reply {
    name_caller(backend, &mut request);
    let asked = match asked(backend.dialect, &request) {
        Ok(asked) => asked,
        Err(refusal) => return Reply::unanswered(Outcome::Refused(refusal)),
    };
    let (host, path) = address(&request, &asked);
    let budget = time_left(&request, backend.dialect.names().deadline);
    let opened = match open(backend, host, path, budget).await {
        Ok(opened) => opened,
        Err(refusal) => {
            let outcome = refused(&asked, refusal);
            tell_unrouted(backend, &request, &asked, outcome);
            return Reply::unanswered(outcome);
        }
    };
    let _inflight = InFlight {
        router: &backend.router,
        service: opened.service,
    };
    if let Asked::Keyed(key) = asked
        && key.service != opened.service
    {
        return Reply::unanswered(Outcome::Refused(Refusal::KeyMismatch));
    }
    let id = request_id(backend, &request);
    let mut serving = Serving::new(backend, &opened, asked, request, span);
    let reply = serving.run().await;
    let now = backend.clock.now();
    let record = RequestRecord {
        attempts: std::mem::take(&mut serving.records),
        budget: serving.call.deadline() - serving.started,
        elapsed: now - serving.started,
        id,
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

fn refused(asked: &Asked, refusal: Refusal) -> Outcome {
    match asked {
        Asked::Keyed(_) => keyed_outcome(refusal),
        Asked::Key | Asked::Plain => Outcome::Refused(refusal),
    }
}

async fn open(
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

/// Counts a request as in flight until it is dropped.
struct InFlight<'a> {
    router: &'a mpsc::UnboundedSender<RouterMessage>,
    service: ServiceId,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let _ = self
            .router
            .unbounded_send(RouterMessage::Close(self.service));
    }
}

/// The end of something that the call waits for.
enum Step {
    Ended(AttemptId, TargetId, AttemptResult, Yield),
    Picked(PickKind, Result<Picked, Refusal>),
}

struct Serving<'a> {
    backend: &'a Backend,
    call: Call,
    effects: Vec<Effect>,
    /// Names that the targets tried must have.
    expects: BTreeMap<TargetId, Option<Rc<str>>>,
    local: Option<TargetId>,
    /// Whether the request must not run twice although it has no key.
    once: bool,
    pending: FuturesUnordered<LocalBoxFuture<'a, Step>>,
    /// The choice that the next `Send` effect is for; none for a target that a key names.
    picked: Option<(PickKind, Choice)>,
    /// The attempts so far, for the log.
    records: Vec<AttemptRecord>,
    /// Request ids by attempt.
    requests: Vec<RequestId>,
    service: ServiceId,
    span: &'a HopSpan,
    started: Time,
    task: Task,
    /// The ticket of the choice that the next `Send` effect is for.
    ticket: Option<OpenTicket>,
    priority: Priority,
    /// Until when an answer is in time, if the route says so.
    objective_deadline: Option<Time>,
    /// What ended attempts brought.
    yielded: BTreeMap<AttemptId, (TargetId, Yield)>,
}

impl<'a> Serving<'a> {
    fn new(
        backend: &'a Backend,
        opened: &Opened,
        asked: Asked,
        request: HttpRequest,
        span: &'a HopSpan,
    ) -> Self {
        let now = backend.clock.now();
        let rules = &opened.rules;
        let pinned = match asked {
            Asked::Keyed(key) => Some(key.target),
            Asked::Key | Asked::Plain => None,
        };
        let route = opened.route.as_deref();
        let repeatable = match route.map(|r| r.repeats) {
            Some(Repeatability::Idempotent) => true,
            Some(Repeatability::NonIdempotent) => false,
            None => idempotent(&request.method),
        };
        let spec = Spec {
            attempts: route.map_or(MAX_SENDS, |r| r.attempts),
            deadline: now + opened.left.min(route.map_or(Duration::MAX, |r| r.timeout)),
            hedge: rules.hedge && asked == Asked::Plain,
            // An unused key does no harm, so asking for one may be repeated.
            idempotent: asked == Asked::Key || repeatable,
            pinned,
        };
        let (call, effects) = Call::start(spec, now);
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
            requests: Vec::new(),
            service: opened.service,
            span,
            started: now,
            task: task_of(asked, request),
            ticket: None,
            priority: route.map_or(Priority::default(), |r| Priority {
                objective: r.objective,
                rank: r.rank,
            }),
            objective_deadline: route.map(|r| now + r.objective.saturating_sub(opened.spent)),
            yielded: BTreeMap::new(),
        }
    }

    async fn run(&mut self) -> Reply {
        loop {
            let effects = std::mem::take(&mut self.effects);
            for effect in effects {
                match effect {
                    // All attempts are dropped, and so cancelled, when the call finishes.
                    Effect::Cancel(_) => {}
                    Effect::Finish(outcome, answer) => return self.reply(outcome, answer),
                    Effect::Pick(kind) => self.pick(kind),
                    Effect::Repeat {
                        attempt,
                        instance,
                        original,
                        target,
                    } => {
                        self.send(Sending {
                            attempt,
                            max_wait: Duration::MAX,
                            repeat: Some(instance),
                            request: self.requests[usize::from(original.0)],
                            target,
                        })
                        .await;
                    }
                    Effect::Send {
                        attempt,
                        max_wait,
                        target,
                    } => {
                        self.send(Sending {
                            attempt,
                            max_wait,
                            repeat: None,
                            request: self.backend.next_request(),
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
        let timer = self.backend.clock.until(self.call.next_timer());
        let timer = monoio::time::sleep(timer).fuse();
        pin_mut!(timer);
        let step = select_biased! {
            step = self.pending.select_next_some() => step,
            () = timer => return Event::Timer,
        };
        match step {
            Step::Ended(attempt, target, result, yielded) => {
                self.yielded.insert(attempt, (target, yielded));
                let at = self.backend.clock.now() - self.started;
                if let Some(record) = self.records.get_mut(usize::from(attempt.0)) {
                    record.ended = Some((at, result));
                }
                Event::Ended(attempt, result)
            }
            Step::Picked(kind, Ok(picked)) => {
                let choice = picked.choice;
                self.picked = Some((kind, choice));
                self.ticket = Some(picked.ticket);
                self.expects.insert(choice.target, picked.expect);
                Event::Picked(choice)
            }
            Step::Picked(_, Err(refusal)) => Event::NotPicked(refusal),
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
        let step =
            async move { Step::Picked(kind, receiver.await.unwrap_or(Err(Refusal::NotReady))) };
        self.pending.push(step.boxed_local());
    }

    async fn send(&mut self, sending: Sending) {
        self.requests.push(sending.request);
        let target = sending.target;
        self.note_sending(target);
        let picked = self.ticket.take();
        let ticket = match picked {
            Some(ticket) => Some(ticket),
            None => self.pin(target).await,
        };
        // Without a router the daemon is stopping; the call then ends by its deadline.
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
            sending,
            service: self.service,
            task: self.task.clone(),
            priority: self.priority,
            objective_deadline: self.objective_deadline,
        };
        let run = Attempt {
            request,
            span,
            ticket,
        }
        .run(self.backend.clone());
        let step = async {
            let (id, target, result, yielded) = run.await;
            Step::Ended(id, target, result, yielded)
        };
        self.pending.push(step.boxed_local());
    }

    fn note_sending(&mut self, target: TargetId) {
        let expect = self.expects.get(&target).cloned().flatten();
        let estimate = self.picked.as_ref().map(|(_, choice)| choice.estimate);
        self.records.push(AttemptRecord {
            ended: None,
            report_age: estimate.and_then(|e| e.age),
            sent: self.backend.clock.now() - self.started,
            target: expect.map_or_else(|| target.to_string(), |name| name.to_string()),
        });
    }

    /// Registers an attempt at the target that the key names.
    async fn pin(&self, target: TargetId) -> Option<OpenTicket> {
        let (reply, receiver) = oneshot::channel();
        let _ = self
            .backend
            .router
            .unbounded_send(RouterMessage::Pin { reply, target });
        receiver.await.ok()
    }

    fn reply(&mut self, outcome: Outcome, answer: Option<AttemptId>) -> Reply {
        let yielded = answer.and_then(|id| self.yielded.remove(&id));
        match (outcome, yielded) {
            (Outcome::Answered, Some((target, Yield::Answer(answer)))) => {
                Reply::answered(answer, &target.to_string())
            }
            (Outcome::Answered, Some((_, Yield::Key(key)))) => Reply::issued(&key.to_string()),
            (Outcome::Answered, Some((_, Yield::Nothing)) | None) => {
                unreachable!("a call is answered only by an attempt that yielded an answer")
            }
            (Outcome::Failed(_) | Outcome::Refused(_) | Outcome::Unknown(_), _) => {
                Reply::unanswered(outcome)
            }
        }
    }
}

fn task_of(asked: Asked, request: HttpRequest) -> Task {
    match asked {
        Asked::Key => Task::Issue,
        Asked::Keyed(key) => Task::Run {
            http: request,
            key: Some(key),
        },
        Asked::Plain => Task::Run {
            http: request,
            key: None,
        },
    }
}
