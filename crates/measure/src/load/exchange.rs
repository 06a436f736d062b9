//! Call task: makes one call on a connection that it owns until the call has ended.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::mpsc::UnboundedSender;
use http::request::Builder;
use http::{Request, Response};
use serde::Deserialize;

use super::arrivals::{Call, CallKind};
use super::result::CallResult;
use hawthornwall_testkit::history::Event;
use hawthornwall_testkit::http1::{Connection, Fault};
use hawthornwall_testkit::launcher::daemon_party;
use hawthornwall_testkit::payload::{CHUNKED_HEADER, REQUEST_HEADER, SIZE_HEADER, Verdict, verify};
use hawthornwall_testkit::wall_micros;

/// Message from a call task to the driver.
#[derive(Debug)]
pub(super) enum Message {
    /// The call has ended; the connection is present if it can be reused.
    Done(Box<CallResult>, Option<Connection>),
    /// Event to record, with its wall clock time in microseconds.
    Record(u64, Event),
}

/// Input of a call task, except for its connection.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub address: SocketAddr,
    pub call: Call,
    /// Name of the daemon's local target; absent for a direct call.
    pub local_target: Option<String>,
    pub driver: UnboundedSender<Message>,
    /// Idempotency key, present once it has been issued.
    pub key: Option<String>,
    /// Delay of the task's start after the planned arrival.
    pub lateness: Duration,
    /// Start of the latency measurement: the planned arrival, or the time at which a new key was
    /// issued.
    pub planned: Instant,
    pub service: String,
    pub timeout: Duration,
}

#[derive(Deserialize)]
struct IssuedKey {
    key: String,
}

/// Makes one call and returns its result and connection to the driver.
pub(super) async fn run_call(mut job: Job, idle: Option<Connection>) {
    let driver = job.driver.clone();
    job.lateness = job.planned.elapsed();
    let (result, connection) = match prepare(&mut job, idle).await {
        Ok(connection) => exchange_recorded(&job, connection).await,
        Err((status, reason)) => (job.not_sent(status, reason), None),
    };
    let _ = driver.unbounded_send(Message::Done(Box::new(result), connection));
}

/// Opens a connection if there is no idle one, and obtains a new key if the call needs one. The
/// error holds the status and the reason of the refusal.
async fn prepare(job: &mut Job, idle: Option<Connection>) -> Result<Connection, (u16, String)> {
    let mut connection = match idle {
        Some(connection) => connection,
        None => Connection::open(job.address)
            .await
            .map_err(|_| (0, "no connection".to_owned()))?,
    };
    match job.call.kind {
        CallKind::KeyedPost if job.key.is_none() => {
            job.key = Some(issue_key(job, &mut connection).await?);
            job.planned = Instant::now();
        }
        CallKind::KeyedPost | CallKind::Post | CallKind::Read => {}
    }
    Ok(connection)
}

async fn exchange_recorded(
    job: &Job,
    mut connection: Connection,
) -> (CallResult, Option<Connection>) {
    job.record(sent_event(job));
    job.record_route();
    let answer = exchange(&mut connection, &job.request(), job.timeout).await;
    let result = evaluate(job, answer.as_ref().ok(), job.planned.elapsed());
    job.record(received_event(&result));
    let reusable = answer.is_ok_and(|a| keeps_alive(&a)) && !connection.has_unread_bytes();
    (result, reusable.then_some(connection))
}

impl Job {
    fn record(&self, event: Event) {
        let message = Message::Record(wall_micros(), event);
        let _ = self.driver.unbounded_send(message);
    }

    fn result(&self, latency: Duration) -> CallResult {
        CallResult {
            call: self.call,
            key: self.key.clone(),
            lateness: self.lateness,
            latency,
            outcome: String::new(),
            reason: String::new(),
            status: 0,
            verdict: Verdict::default(),
        }
    }

    fn not_sent(&self, status: u16, reason: String) -> CallResult {
        CallResult {
            outcome: "not sent".to_owned(),
            reason,
            status,
            ..self.result(self.planned.elapsed())
        }
    }

    fn record_route(&self) {
        if let Some(target) = &self.local_target {
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

    fn request(&self) -> Request<Bytes> {
        let Call {
            chunked,
            kind,
            number,
            operation,
            size,
            ..
        } = self.call;
        let method = match kind {
            CallKind::Read => "GET",
            CallKind::KeyedPost | CallKind::Post => "POST",
        };
        let mut builder = self
            .builder(method, format!("/{}/item?call={operation}", self.service))
            .header(REQUEST_HEADER, number)
            .header(SIZE_HEADER, size);
        if chunked {
            builder = builder.header(CHUNKED_HEADER, 1);
        }
        if let Some(key) = &self.key {
            builder = builder.header("idempotency-key", key);
        }
        let request = builder.body(self.call.body().into());
        request.expect("the parts of the request are valid")
    }
}

async fn exchange(
    connection: &mut Connection,
    request: &Request<Bytes>,
    timeout: Duration,
) -> Result<Response<Bytes>, Fault> {
    let answer = monoio::time::timeout(timeout, connection.exchange(request)).await;
    answer.unwrap_or(Err(Fault::Incomplete))
}

/// Obtains an idempotency key from the daemon. The error holds the status and the reason of the
/// refusal; the status is 0 if there was no answer.
async fn issue_key(job: &Job, connection: &mut Connection) -> Result<String, (u16, String)> {
    let path = format!("/.hawthornwall/keys/{}", job.service);
    let request = job.builder("POST", path).body(Bytes::new());
    let request = request.expect("the parts of the request are valid");
    let answer = exchange(connection, &request, job.timeout).await;
    let answer = answer.map_err(|_| (0, "no key".to_owned()))?;
    let status = answer.status().as_u16();
    match serde_json::from_slice::<IssuedKey>(answer.body()) {
        Ok(issued) if status == 201 => Ok(issued.key),
        _ => Err((status, header(&answer, "hawthornwall-reason"))),
    }
}

fn evaluate(job: &Job, answer: Option<&Response<Bytes>>, latency: Duration) -> CallResult {
    let mut result = job.result(latency);
    if let Some(answer) = answer {
        result.status = answer.status().as_u16();
        result.outcome = header(answer, "hawthornwall-outcome");
        result.reason = header(answer, "hawthornwall-reason");
        if job.local_target.is_none() {
            let shed = answer.headers().contains_key("hawthornwall-not-run");
            let outcome = if shed { "refused" } else { "answered" };
            outcome.clone_into(&mut result.outcome);
        }
        result.verdict = verify_answer(&job.call, answer.body());
    }
    result
}

/// Verifies the answer's body. A repeat may also receive the stored answer of the call that it
/// repeats.
fn verify_answer(call: &Call, body: &[u8]) -> Verdict {
    let as_number = |number| verify(body, number, &call.body(), call.size);
    let own = as_number(call.number);
    if own.whole || !call.is_repeat() {
        own
    } else {
        as_number(call.operation)
    }
}

fn header(answer: &Response<Bytes>, name: &str) -> String {
    let value = answer.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn keeps_alive(answer: &Response<Bytes>) -> bool {
    !header(answer, "connection").eq_ignore_ascii_case("close")
}

fn sent_event(job: &Job) -> Event {
    Event::Sent {
        idempotent: job.call.kind == CallKind::Read,
        key: job.key.clone(),
        operation: job.call.operation,
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
        // Answers that a daemon generates have no checksum; their framing was complete.
        whole: result.status != 0 && (result.verdict.whole || !result.is_answered()),
    }
}
