//! Runs one call: performs its effects and passes the results back to it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::admission::Priority;
use hawthornwall_core::calls::{AttemptId, Call, Effect, Event, Hedge, MAX_SENDS, PickKind, Spec};
use hawthornwall_core::link::LARGE_BODY;
use hawthornwall_core::prelude::*;
use hawthornwall_core::routes::{Repeatability, UsualTimes};
use hawthornwall_core::routing::Choice;
use hawthornwall_core::stop::{Expectation, StopPlan};
use hawthornwall_wire::peer::HttpRequest;

use super::attempt::{Attempt, AttemptOutput, AttemptRequest, Operation, SendParams};
use super::listener::Backend;
use super::reply::Reply;
use super::request::RequestKind;
use super::stop::StopNotice;
use crate::messages::{HedgeDenied, LateRequest, OpenTicket, Opened, Picked, RouterMessage};
use crate::telemetry::trace::{Hop, HopSpan};
use crate::telemetry::{AttemptRecord, Event as Count, HedgeEvent};

/// Parameters of [`CallDriver::new`].
pub(super) struct CallStart<'a> {
    pub backend: &'a Backend,
    /// What is known of the time that the request takes.
    pub expectation: Expectation,
    /// The service and the route of the request.
    pub opened: &'a Opened,
    pub operation: Operation,
    pub repeats: Repeatability,
    pub request_kind: RequestKind,
    /// Span of the request, the parent of those of its attempts.
    pub span: &'a HopSpan,
    /// When the request arrived.
    pub started: Time,
}

/// Result of an asynchronous operation that the call has started.
enum Completion {
    Ended(AttemptId, TargetId, AttemptResult, AttemptOutput),
    HedgePicked(Result<Picked, HedgeDenied>),
    Picked(PickKind, Result<Picked, Refusal>),
}

/// What a call in progress waits for.
enum Input {
    Completion(Completion),
    Stop(StopPlan),
    Timer,
}

/// A [`Call`] in progress, with the state and channels used to perform its effects.
pub(super) struct CallDriver<'a> {
    backend: &'a Backend,
    call: Call,
    effects: Vec<Effect>,
    expectation: Expectation,
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
    /// Times of recent requests of the route, if known.
    usual: Option<UsualTimes>,
}

impl<'a> CallDriver<'a> {
    /// Creates the driver of a call, which [`CallDriver::run`] begins.
    pub fn new(start: CallStart<'a>) -> Self {
        let CallStart {
            backend,
            expectation,
            opened,
            operation,
            repeats,
            request_kind,
            span,
            started,
        } = start;
        let pinned = match request_kind {
            RequestKind::Keyed(key) => Some(key.target),
            RequestKind::IssueKey | RequestKind::Plain => None,
        };
        let route = opened.route();
        let spec = Spec {
            attempts: route.map_or(MAX_SENDS, |r| r.attempts),
            deadline: expectation.deadline,
            hedge: match request_kind {
                RequestKind::Plain => opened.hedge,
                RequestKind::IssueKey | RequestKind::Keyed(_) => Hedge::Never,
            },
            idempotent: repeats == Repeatability::Idempotent,
            pinned,
        };
        let (call, effects) = Call::start(spec, backend.clock.now());
        Self {
            backend,
            call,
            effects,
            expectation,
            expects: BTreeMap::new(),
            local: opened.own,
            once: !spec.idempotent && pinned.is_none(),
            pending: FuturesUnordered::new(),
            picked: None,
            records: Vec::new(),
            request_ids: Vec::new(),
            service: opened.service(),
            span,
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
            usual: opened.usual,
        }
    }

    /// Runs the call to its end and returns the answer.
    pub async fn run(&mut self) -> Reply {
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

    /// The deadline of the request.
    pub fn deadline(&self) -> Time {
        self.call.deadline()
    }

    /// Returns the log records of the attempts so far.
    pub fn take_records(&mut self) -> Vec<AttemptRecord> {
        std::mem::take(&mut self.records)
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
                Event::Stop(plan.limits(&self.expectation, self.started))
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
            Completion::HedgePicked(Ok(picked)) => self.use_pick(PickKind::Hedge, picked),
            Completion::HedgePicked(Err(HedgeDenied::Refused(refusal))) => {
                Event::NotPicked(refusal)
            }
            Completion::HedgePicked(Err(HedgeDenied::Suppressed(reason))) => {
                let event = HedgeEvent::Suppressed(reason);
                self.backend.telemetry.record(Count::Hedge(event));
                Event::HedgeSuppressed
            }
            Completion::Picked(kind, Ok(picked)) => self.use_pick(kind, picked),
            Completion::Picked(_, Err(refusal)) => Event::NotPicked(refusal),
        }
    }

    /// Keeps a picked target for the next `Send` effect.
    fn use_pick(&mut self, kind: PickKind, picked: Picked) -> Event {
        let choice = picked.choice;
        self.picked = Some((kind, choice));
        self.ticket = Some(picked.ticket);
        self.expects.insert(choice.target, picked.expect);
        Event::Picked(choice)
    }

    fn pick(&mut self, kind: PickKind) {
        match kind {
            PickKind::Hedge => self.pick_hedge(),
            PickKind::First | PickKind::Reroute | PickKind::Retry => self.pick_attempt(kind),
        }
    }

    fn pick_hedge(&mut self) {
        let (reply, receiver) = oneshot::channel();
        let body = body_length(&self.operation);
        let late = LateRequest {
            body,
            expected: self.usual.map(|usual| usual.expected),
            large: self.backend.link.is_some() && body >= LARGE_BODY,
            left: self.backend.clock.until(self.call.deadline()),
            service: self.service,
            transfer: self.backend.transfer_time(body),
            tried: self.call.tried(),
        };
        let message = RouterMessage::Hedge { late, reply };
        let _ = self.backend.router.unbounded_send(message);
        let completion = async move {
            let denied = Err(HedgeDenied::Refused(Refusal::NotReady));
            Completion::HedgePicked(receiver.await.unwrap_or(denied))
        };
        self.pending.push(completion.boxed_local());
    }

    fn pick_attempt(&mut self, kind: PickKind) {
        let (reply, receiver) = oneshot::channel();
        let (service, tried) = (self.service, self.call.tried());
        let length = body_length(&self.operation);
        let message = RouterMessage::Pick {
            kind,
            large: self.backend.link.is_some() && length >= LARGE_BODY,
            reply,
            service,
            transfer: self.backend.transfer_time(length),
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
        if kind == PickKind::Hedge {
            self.backend
                .telemetry
                .record(Count::Hedge(HedgeEvent::Sent));
        }
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
        let answered = answer.and_then(|id| self.records.get(usize::from(id.0)));
        if answered.is_some_and(|record| record.kind == Some(PickKind::Hedge)) {
            self.backend.telemetry.record(Count::Hedge(HedgeEvent::Won));
        }
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

/// Length of the body that each attempt sends, in bytes.
fn body_length(operation: &Operation) -> usize {
    match operation {
        Operation::Issue => 0,
        Operation::Run { http, .. } => http.body.len(),
    }
}

/// Waits for the plan of a stop; never completes once the call has been told of it.
async fn stop_plan(notice: &mut Option<StopNotice>) -> StopPlan {
    match notice {
        Some(notice) => notice.await,
        None => std::future::pending().await,
    }
}

/// The operation that a request of this kind stands for.
pub(super) fn operation_for(request_kind: RequestKind, request: HttpRequest) -> Operation {
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
