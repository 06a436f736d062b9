//! The task that carries out one call on a connection that it owns meanwhile.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::mpsc::UnboundedSender;
use http::request::Builder;
use http::{Request, Response};
use serde::Deserialize;

use super::arrivals::{Call, CallKind};
use super::result::CallResult;
use crate::history::Event;
use crate::http1::{Connection, Fault};
use crate::launcher::daemon_party;
use crate::payload::{CHUNKED_HEADER, REQUEST_HEADER, SIZE_HEADER, Verdict, verify};
use crate::wall_micros;

/// Longest wait for an answer, well above every deadline of the system.
const TIMEOUT: Duration = Duration::from_secs(30);

/// What call tasks tell the driver.
#[derive(Debug)]
pub(super) enum Message {
    /// The call is over; its connection can be used again if it is still there.
    Done(Box<CallResult>, Option<Connection>),
    /// Something to record, with its time.
    Record(u64, Event),
}

/// What a call task needs besides its connection.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub address: SocketAddr,
    pub call: Call,
    /// Name of the target beside the daemon, absent for a direct call.
    pub beside: Option<String>,
    pub driver: UnboundedSender<Message>,
    /// The planned arrival.
    pub planned: Instant,
    pub service: String,
}

#[derive(Deserialize)]
struct Issued {
    key: String,
}

/// Carries out one call and hands its connection back.
pub(super) async fn perform(job: Job, idle: Option<Connection>) {
    let mut start = job.planned;
    let late = start.elapsed();
    let mut connection = match idle {
        Some(connection) => Ok(connection),
        None => Connection::open(job.address).await,
    };
    let key = match (job.call.kind, &mut connection) {
        (CallKind::KeyedPost, Ok(open)) => {
            let issued = issue_key(&job, open).await;
            start = Instant::now();
            issued
        }
        _ => Ok(None),
    };
    let (key, answer) = match (key, &mut connection) {
        (Ok(key), Ok(open)) => {
            job.record(sent_event(&job, key.as_deref()));
            job.record_route();
            let answer = exchange(open, &job.request(key.as_deref())).await;
            (key, answer.ok())
        }
        // Without a key nothing is sent; the call counts as refused.
        (Err(refusal), Ok(_)) => {
            let result = CallResult {
                late,
                ..no_key_result(&job, refusal, start.elapsed())
            };
            let _ = job
                .driver
                .unbounded_send(Message::Done(Box::new(result), None));
            return;
        }
        (_, Err(_)) => (None, None),
    };
    let result = CallResult {
        late,
        ..judge(&job, key, answer.as_ref(), start.elapsed())
    };
    job.record(received_event(&result));
    let reusable = answer.is_some_and(|a| keeps_alive(&a));
    let connection = connection.ok().filter(|c| reusable && !c.has_rest());
    let _ = job
        .driver
        .unbounded_send(Message::Done(Box::new(result), connection));
}

impl Job {
    fn record(&self, event: Event) {
        let message = Message::Record(wall_micros(), event);
        let _ = self.driver.unbounded_send(message);
    }

    fn record_route(&self) {
        if let Some(target) = &self.beside {
            self.record(Event::Routed {
                daemon: daemon_party(target),
                request: self.call.number,
            });
        }
    }

    fn builder(&self, method: &str, path: String) -> Builder {
        let builder = Request::builder().method(method).uri(path);
        builder.header("host", self.address.to_string())
    }

    fn request(&self, key: Option<&str>) -> Request<Bytes> {
        let Call {
            chunked,
            kind,
            number,
            size,
            ..
        } = self.call;
        let method = match kind {
            CallKind::Read => "GET",
            CallKind::KeyedPost | CallKind::Post => "POST",
        };
        let mut builder = self
            .builder(method, format!("/{}/item?call={number}", self.service))
            .header(REQUEST_HEADER, number)
            .header(SIZE_HEADER, size);
        if chunked {
            builder = builder.header(CHUNKED_HEADER, 1);
        }
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        let request = builder.body(self.call.body().into());
        request.expect("the parts of the request are valid")
    }
}

async fn exchange(
    connection: &mut Connection,
    request: &Request<Bytes>,
) -> Result<Response<Bytes>, Fault> {
    let answer = monoio::time::timeout(TIMEOUT, connection.exchange(request)).await;
    answer.unwrap_or(Err(Fault::Cut))
}

/// The key that the daemon issues, or its refusal; without an answer the status is 0.
async fn issue_key(
    job: &Job,
    connection: &mut Connection,
) -> Result<Option<String>, (u16, String)> {
    let path = format!("/.hawthornwall/keys/{}", job.service);
    let request = job.builder("POST", path).body(Bytes::new());
    let request = request.expect("the parts of the request are valid");
    let answer = exchange(connection, &request).await;
    let answer = answer.map_err(|_| (0, String::new()))?;
    let status = answer.status().as_u16();
    match serde_json::from_slice::<Issued>(answer.body()) {
        Ok(issued) if status == 201 => Ok(Some(issued.key)),
        _ => Err((status, header(&answer, "hawthornwall-reason"))),
    }
}

fn no_key_result(job: &Job, (status, reason): (u16, String), latency: Duration) -> CallResult {
    let refused = status != 0;
    CallResult {
        call: job.call,
        key: None,
        late: Duration::ZERO,
        latency,
        outcome: if refused { "no key" } else { "" }.to_owned(),
        reason,
        status,
        verdict: Verdict::default(),
    }
}

fn judge(
    job: &Job,
    key: Option<String>,
    answer: Option<&Response<Bytes>>,
    latency: Duration,
) -> CallResult {
    let Call { number, size, .. } = job.call;
    let mut result = CallResult {
        call: job.call,
        key,
        late: Duration::ZERO,
        latency,
        outcome: String::new(),
        reason: String::new(),
        status: 0,
        verdict: Verdict::default(),
    };
    if let Some(answer) = answer {
        result.status = answer.status().as_u16();
        result.outcome = header(answer, "hawthornwall-outcome");
        result.reason = header(answer, "hawthornwall-reason");
        if job.beside.is_none() {
            let shed = answer.headers().contains_key("hawthornwall-not-run");
            let outcome = if shed { "refused" } else { "answered" };
            outcome.clone_into(&mut result.outcome);
        }
        result.verdict = verify(answer.body(), number, &job.call.body(), size);
    }
    result
}

fn header(answer: &Response<Bytes>, name: &str) -> String {
    let value = answer.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn keeps_alive(answer: &Response<Bytes>) -> bool {
    !header(answer, "connection").eq_ignore_ascii_case("close")
}

fn sent_event(job: &Job, key: Option<&str>) -> Event {
    Event::Sent {
        idempotent: job.call.kind == CallKind::Read,
        key: key.map(str::to_owned),
        operation: job.call.number,
        request: job.call.number,
        service: job.service.clone(),
    }
}

fn received_event(result: &CallResult) -> Event {
    Event::Received {
        body: result.verdict.request,
        outcome: result.outcome.clone(),
        reason: result.reason.clone(),
        request: result.call.number,
        status: result.status,
        // An answer that is not a target's has no checksum; its framing was complete.
        whole: result.status != 0 && (result.verdict.whole || !result.is_answered()),
    }
}
