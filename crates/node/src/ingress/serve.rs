//! Opens requests of callers, runs their calls and records what became of them.

use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use hawthornwall_core::calls::keyed_outcome;
use hawthornwall_core::prelude::*;
use hawthornwall_core::routes::Repeatability;
use hawthornwall_core::stop::Expectation;
use hawthornwall_wire::peer::HttpRequest;
use hawthornwall_wire::sent::remove_sent;

use super::driver::{CallDriver, CallStart, operation_for};
use super::identity::{log_unrouted, request_id, set_calling_service};
use super::listener::Backend;
use super::reply::Reply;
use super::request::{RequestKind, host_and_path, idempotent, request_kind, time_left};
use crate::http::header_text;
use crate::messages::{InFlightRequest, Opened, RouterMessage};
use crate::telemetry::trace::HopSpan;
use crate::telemetry::{Event as Count, RequestRecord};

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
    match open_service(backend, request, arrived).await {
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
        let dialect = self.backend.dialect;
        reply.echo_request_id(dialect.names().request_id, &self.id);
        reply.set_retry_after(|refusal| self.backend.return_delay(refusal), dialect);
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
    expectation: Expectation,
    inflight: InFlightGuard<'a>,
    opened: Opened,
    repeats: Repeatability,
    request: HttpRequest,
    request_kind: RequestKind,
}

async fn open_service(
    backend: &Backend,
    mut request: HttpRequest,
    arrived: Time,
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
        inflight: Some(opened.inflight.clone()),
        ran: false,
        router: &backend.router,
    };
    let expectation = expectation(&opened, arrived);
    if let Err(refusal) = admit(backend, &expectation) {
        let outcome = refusal_outcome(&request_kind, refusal);
        log_unrouted(backend, &request, &request_kind, outcome);
        return Err(Reply::unanswered(outcome));
    }
    if let RequestKind::Keyed(key) = request_kind
        && key.service != opened.service()
    {
        return Err(Reply::unanswered(Outcome::Refused(Refusal::KeyMismatch)));
    }
    let repeats = repeatability(&opened, request_kind, &request);
    Ok(OpenedService {
        expectation,
        inflight,
        opened,
        repeats,
        request,
        request_kind,
    })
}

/// What is known of the time that a request takes.
fn expectation(opened: &Opened, arrived: Time) -> Expectation {
    let route = opened.route();
    let timeout = route.map_or(Duration::MAX, |route| route.timeout);
    Expectation {
        deadline: arrived + opened.left.min(timeout),
        objective: route.map(|route| route.objective).unwrap_or_default(),
        usual: opened.usual,
    }
}

/// Refuses a request that can't be relied on to finish before the daemon stops.
fn admit(backend: &Backend, expectation: &Expectation) -> Result<(), Refusal> {
    let Some(plan) = backend.stop.peek() else {
        return Ok(());
    };
    plan.admit(expectation, backend.clock.now()).map(|_| ())
}

/// Whether a request may run more than once: its route decides, or else its method.
fn repeatability(
    opened: &Opened,
    request_kind: RequestKind,
    request: &HttpRequest,
) -> Repeatability {
    // An unused key has no effect, so a key may be requested more than once.
    let by_method = request_kind == RequestKind::IssueKey || idempotent(&request.method);
    match opened.route() {
        Some(route) => route.repeats,
        None if by_method => Repeatability::Idempotent,
        None => Repeatability::NonIdempotent,
    }
}

impl OpenedService<'_> {
    async fn run(self, end: &CallEnd<'_>) -> Reply {
        let Self {
            expectation,
            mut inflight,
            opened,
            repeats,
            request,
            request_kind,
        } = self;
        let backend = end.backend;
        inflight.ran = true;
        let mut driver = CallDriver::new(CallStart {
            backend,
            expectation,
            opened: &opened,
            operation: operation_for(request_kind, request),
            repeats,
            request_kind,
            span: &end.span,
            started: end.arrived,
        });
        let reply = driver.run().await;
        inflight.ran = !matches!(reply.outcome(), Outcome::Refused(_));
        drop(inflight);
        let now = backend.clock.now();
        let record = RequestRecord {
            attempts: driver.take_records(),
            budget: driver.deadline() - end.arrived,
            elapsed: now - end.arrived,
            id: end.id.clone(),
            outcome: reply.outcome(),
            route: opened
                .route()
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
    /// Taken when dropped.
    inflight: Option<InFlightRequest>,
    /// Whether the request has been passed on and not refused.
    ran: bool,
    router: &'a mpsc::UnboundedSender<RouterMessage>,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        if let Some(inflight) = self.inflight.take() {
            let ran = self.ran;
            let _ = self
                .router
                .unbounded_send(RouterMessage::Close { inflight, ran });
        }
    }
}
