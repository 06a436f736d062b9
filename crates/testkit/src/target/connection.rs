//! Tasks of the work port, each of which owns one connection.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, select_biased};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};

use super::behaviour::State;
use super::messages::{Message, Outcome, Work};
use super::scheduler::JobId;
use crate::http1::{Coding, Connection, answer};
use crate::payload::{CHUNKED_HEADER, REQUEST_HEADER, SIZE_HEADER, encode};
use crate::timer::Timer;

const DEADLINE_HEADER: &str = "hawthornwall-deadline";
const NOT_RUN_HEADER: &str = "hawthornwall-not-run";
const STATE_HEADER: &str = "hawthornwall-state";

/// Data shared by all connection tasks of a target.
#[derive(Clone, Debug)]
pub(super) struct Context {
    pub executor: mpsc::UnboundedSender<Message>,
    pub name: String,
    pub timer: Timer,
}

/// Serves one connection until either side closes it. `next_id` must return a new id each time.
pub(super) async fn serve_work(
    mut connection: Connection,
    context: Context,
    next_id: impl Fn() -> JobId,
) -> Option<()> {
    let (reply, delay) = oneshot::channel();
    context
        .executor
        .unbounded_send(Message::Connected(reply))
        .ok()?;
    context
        .timer
        .sleep_until(Instant::now() + delay.await.ok()?)
        .await;
    while let Ok(Some(request)) = connection.read_request().await {
        match request.uri().path() {
            "/health" | "/load" => probe(&mut connection, &context).await?,
            _ => work(&mut connection, &context, &request, next_id()).await?,
        }
    }
    None
}

async fn probe(connection: &mut Connection, context: &Context) -> Option<()> {
    let (reply, probe) = oneshot::channel();
    context
        .executor
        .unbounded_send(Message::Probe(reply))
        .ok()?;
    let probe = probe.await.ok()?;
    if probe.silent {
        connection.closed().await;
        return None;
    }
    context.timer.sleep_until(Instant::now() + probe.cost).await;
    let body = serde_json::to_vec(&probe.load).ok()?;
    let mut answer = answer(StatusCode::OK, body);
    add_state(answer.headers_mut(), probe.load.state);
    connection.reply(&answer, Coding::Fixed).await.ok()
}

async fn work(
    connection: &mut Connection,
    context: &Context,
    request: &Request<Bytes>,
    id: JobId,
) -> Option<()> {
    let headers = request.headers();
    let number = header_number(headers, REQUEST_HEADER).unwrap_or(0);
    let (reply, outcome) = oneshot::channel();
    let remaining = header_number(headers, DEADLINE_HEADER).map(Duration::from_millis);
    let work = Work {
        deadline: remaining.map(|remaining| Instant::now() + remaining),
        id,
        reply,
        request: number,
    };
    context.executor.unbounded_send(Message::Work(work)).ok()?;
    let outcome = {
        let closed = connection.closed();
        futures::pin_mut!(closed);
        select_biased! {
            outcome = outcome.fuse() => outcome.ok(),
            () = closed.fuse() => None,
        }
    };
    let Some((outcome, state)) = outcome else {
        context.executor.unbounded_send(Message::Cancel(id)).ok()?;
        return None;
    };
    let answer = work_answer(context, request, number, (outcome, state));
    let chunked = header_number(headers, CHUNKED_HEADER) == Some(1);
    let coding = if chunked {
        Coding::Chunked
    } else {
        Coding::Fixed
    };
    let sent = connection.reply(&answer, coding).await.is_ok();
    let ran = match outcome {
        Outcome::Done | Outcome::Expired | Outcome::Failed => true,
        Outcome::NotRun => false,
    };
    if ran {
        context
            .executor
            .unbounded_send(Message::Sent(number, sent))
            .ok()?;
    }
    sent.then_some(())
}

fn work_answer(
    context: &Context,
    request: &Request<Bytes>,
    number: u64,
    (outcome, state): (Outcome, State),
) -> Response<Bytes> {
    let size = header_number(request.headers(), SIZE_HEADER).unwrap_or(0);
    let body = || encode(number, &context.name, request.body(), size as usize);
    let mut answer = match outcome {
        Outcome::Done => answer(StatusCode::OK, body()),
        Outcome::Expired => answer(StatusCode::GATEWAY_TIMEOUT, body()),
        Outcome::Failed => answer(StatusCode::INTERNAL_SERVER_ERROR, body()),
        Outcome::NotRun => {
            let mut shed = answer(StatusCode::SERVICE_UNAVAILABLE, "");
            let not_run = HeaderValue::from_static("1");
            shed.headers_mut().insert(NOT_RUN_HEADER, not_run);
            shed
        }
    };
    add_state(answer.headers_mut(), state);
    answer
}

fn add_state(headers: &mut HeaderMap, state: State) {
    match state {
        State::Draining => {
            headers.insert(STATE_HEADER, HeaderValue::from_static("draining"));
        }
        State::Serving => {}
    }
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
