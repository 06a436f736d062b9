//! The pages of the operators' listener.

use std::rc::Rc;
use std::time::Duration;

use ::http::{Method, StatusCode};
use futures::channel::oneshot;
use hawthornwall_core::prelude::*;
use monoio::time::timeout;
use serde::Serialize;
use serde_json::json;

use super::Admin;
use super::http::{Content, Request, RequestFault, Response};
use crate::messages::{
    ControlMessage, ControlStatus, GateMessage, GateStatus, MemoryStatus, PeersMessage,
    PeersStatus, RoutingState,
};
use crate::telemetry::{Counters, log};

/// Time allowed for a reply of another task. A task that takes longer is shown as null.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
enum Page {
    Config,
    Drain,
    Metrics,
    Ready,
    Status,
}

impl Page {
    fn from_path(path: &str) -> Option<Self> {
        match path {
            "/config" => Some(Self::Config),
            "/drain" => Some(Self::Drain),
            "/metrics" => Some(Self::Metrics),
            "/ready" => Some(Self::Ready),
            "/status" => Some(Self::Status),
            _ => None,
        }
    }

    fn method(self) -> Method {
        match self {
            Self::Config | Self::Metrics | Self::Ready | Self::Status => Method::GET,
            Self::Drain => Method::POST,
        }
    }
}

/// State of the daemon as shown to operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum State {
    /// The target can't be reached.
    Down,
    /// Requests in flight are finished; new requests are refused.
    Draining,
    /// Requests are accepted.
    Serving,
    /// No configuration is in force yet, or not all sources needed have been read.
    Starting,
    /// The `gate` or `control` task doesn't reply.
    Unresponsive,
}

impl State {
    fn of(control: Option<&ControlStatus>, gate: Option<&GateStatus>) -> Self {
        match (control, gate) {
            (Some(control), Some(gate)) => match gate.report.state {
                TargetState::Draining => Self::Draining,
                TargetState::Down | TargetState::Serving if !is_ready(control) => Self::Starting,
                TargetState::Down => Self::Down,
                TargetState::Serving => Self::Serving,
            },
            (None, _) | (_, None) => Self::Unresponsive,
        }
    }
}

/// Whether a configuration is in force and enough sources have been read to rely on it.
fn is_ready(control: &ControlStatus) -> bool {
    control.ready && control.version > Version(0)
}

/// The status page; its fields appear under their own names.
#[derive(Debug, Serialize)]
struct Status<'a> {
    control: Option<ControlStatus>,
    counters: Option<Counters>,
    domain: &'a str,
    gate: Option<GateStatus>,
    instance: String,
    /// Null if the settings don't state what the machine has.
    memory: Option<MemoryStatus>,
    name: &'a str,
    peers: Option<PeersStatus>,
    program: &'static str,
    state: State,
    uptime_ms: u64,
}

/// Answers a request: returns the page or starts the drain, or returns an error for an unknown path or
/// a wrong method.
pub(super) async fn respond(admin: &Admin, request: &Request) -> Response {
    match Page::from_path(&request.path) {
        None => error(
            StatusCode::NOT_FOUND,
            "the pages are /status, /config, /metrics, /ready and /drain",
        ),
        Some(page) if request.method != page.method() => {
            let method = page.method();
            let text = format!("{} only accepts {method}", request.path);
            Response {
                allow: Some(method),
                ..error(StatusCode::METHOD_NOT_ALLOWED, &text)
            }
        }
        Some(Page::Config) => config(admin).await,
        Some(Page::Drain) => drain(admin),
        Some(Page::Metrics) => metrics(admin).await,
        Some(Page::Ready) => ready(admin).await,
        Some(Page::Status) => status(admin).await,
    }
}

/// The response to a rejected request.
pub(super) fn error_page(fault: &RequestFault) -> Response {
    error(fault.status(), &fault.to_string())
}

async fn config(admin: &Admin) -> Response {
    let routing: Option<Rc<RoutingState>> = query(|reply| {
        let message = ControlMessage::Config(reply);
        let _ = admin.control.unbounded_send(message);
    })
    .await;
    match routing {
        Some(routing) if routing.config.version > Version(0) => {
            page(StatusCode::OK, &routing.config)
        }
        Some(_) => error(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration is in force yet",
        ),
        None => error(
            StatusCode::SERVICE_UNAVAILABLE,
            "the control task doesn't reply",
        ),
    }
}

async fn metrics(admin: &Admin) -> Response {
    match timeout(QUERY_TIMEOUT, admin.telemetry.metrics()).await {
        Ok(Some(body)) => Response {
            allow: None,
            body,
            content: Content::Metrics,
            status: StatusCode::OK,
        },
        Ok(None) | Err(_) => error(
            StatusCode::SERVICE_UNAVAILABLE,
            "the telemetry task doesn't reply",
        ),
    }
}

/// Whether this daemon accepts requests of callers, for health checks.
async fn ready(admin: &Admin) -> Response {
    let ready = query(|reply| {
        let _ = admin.control.unbounded_send(ControlMessage::Ready(reply));
    });
    let ready = ready.await.unwrap_or(false);
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    page(status, &json!({ "ready": ready }))
}

fn drain(admin: &Admin) -> Response {
    log::info!("drain requested by an operator");
    // The gate's reply at the end of the drain isn't needed, as `GET /status` shows the progress.
    let (empty, _) = oneshot::channel();
    admin.gate.send(GateMessage::Drain(empty));
    let _ = admin.control.unbounded_send(ControlMessage::Leaving);
    page(StatusCode::ACCEPTED, &json!({ "state": State::Draining }))
}

async fn status(admin: &Admin) -> Response {
    let control = query(|reply| {
        let _ = admin.control.unbounded_send(ControlMessage::Status(reply));
    });
    let gate = query(|reply| admin.gate.send(GateMessage::Status(reply)));
    let peers = query(|reply| {
        let _ = admin.peers.unbounded_send(PeersMessage::Status(reply));
    });
    let memory = query(|reply| admin.memory.status(reply));
    let counters = async {
        let counters = timeout(QUERY_TIMEOUT, admin.telemetry.counters()).await;
        counters.ok().flatten()
    };
    let (control, gate, peers, memory, counters) =
        futures::join!(control, gate, peers, memory, counters);
    let status = if control.as_ref().is_some_and(is_ready) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let uptime = (admin.clock.now() - Time::ZERO).as_millis();
    let state = State::of(control.as_ref(), gate.as_ref());
    let body = Status {
        control,
        counters,
        domain: &admin.identity.domain,
        gate,
        instance: admin.identity.instance.to_string(),
        memory,
        name: &admin.identity.name,
        peers,
        program: env!("CARGO_PKG_VERSION"),
        state,
        uptime_ms: u64::try_from(uptime).unwrap_or(u64::MAX),
    };
    page(status, &body)
}

/// Sends a query to another task; `None` if the task has ended or doesn't reply within [`QUERY_TIMEOUT`].
async fn query<T>(send: impl FnOnce(oneshot::Sender<T>)) -> Option<T> {
    let (reply, receiver) = oneshot::channel();
    send(reply);
    timeout(QUERY_TIMEOUT, receiver).await.ok()?.ok()
}

fn page(status: StatusCode, body: &impl Serialize) -> Response {
    match serde_json::to_string(body) {
        Ok(mut body) => {
            body.push('\n');
            Response {
                allow: None,
                body,
                content: Content::Json,
                status,
            }
        }
        Err(fault) => error(StatusCode::INTERNAL_SERVER_ERROR, &fault.to_string()),
    }
}

fn error(status: StatusCode, text: &str) -> Response {
    Response {
        allow: None,
        body: format!("{}\n", json!({ "error": text })),
        content: Content::Json,
        status,
    }
}
