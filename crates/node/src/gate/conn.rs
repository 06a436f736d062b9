//! The task that owns one persistent connection to the local target.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::admission::WorkId;
use hawthornwall_core::memory::Owner;
use hawthornwall_core::outcome::{Loss, Refusal};
use hawthornwall_core::time::Time;
use hawthornwall_wire::head::Framing;
use hawthornwall_wire::names::HeaderNames;
use hawthornwall_wire::peer::{Header, HttpAnswer, HttpRequest};
use http::StatusCode;
use http::response::Parts as AnswerHead;
use monoio::net::TcpStream;

use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::http::{
    HttpStream, Limits, ReadFault, answer_keeps_open, encode_request, from_answer_head, header_text,
};
use crate::keepalive;
use crate::memory::{Lease, Memory, Serving};
use crate::self_report::SelfReport;
use crate::telemetry::trace::HopSpan;

/// Timeout for connecting to the local target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of interim answers and answers to other requests that precede the answer to a request.
/// Without a limit, a target that sends them without pause would keep this task, and with it the daemon, from
/// doing anything else.
const MAX_SKIPPED: usize = 16;

/// A request for the target.
#[derive(Debug)]
pub(super) struct Job {
    /// Resolves when the request is cancelled.
    pub cancel: oneshot::Receiver<()>,
    pub deadline: Time,
    /// Instance name that the target checks before it runs the request; `None` for no check.
    pub expect: Option<String>,
    pub request: HttpRequest,
    /// Trace span that ends when the job is dropped.
    pub span: HopSpan,
    pub work: WorkId,
}

/// Result of a job.
#[derive(Debug)]
pub(super) enum JobEnd {
    Answered(HttpAnswer),
    Lost(Loss),
    Refused(Refusal),
}

/// A completed job, with what the target stated along with its answer.
#[derive(Debug)]
pub(super) struct Finished {
    pub end: JobEnd,
    /// Sender for the next job on this connection; `None` if the connection can't be reused.
    pub idle: Option<mpsc::UnboundedSender<Job>>,
    /// What the answer states about the target; `None` without an answer.
    pub report: Option<SelfReport>,
    pub work: WorkId,
}

impl Finished {
    /// A job that was not sent to the target.
    pub fn unsent(work: WorkId, refusal: Refusal) -> Self {
        Self {
            end: JobEnd::Refused(refusal),
            idle: None,
            report: None,
            work,
        }
    }
}

/// Message from a connection task to the gate task.
#[derive(Debug)]
pub(super) enum ConnEvent {
    /// A job has ended.
    Finished(Finished),
    /// A connection opened in advance is ready for its first job.
    Ready(mpsc::UnboundedSender<Job>),
}

/// Address of the target and parameters of its connections.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetAddress {
    pub address: SocketAddr,
    pub clock: Clock,
    pub dialect: Dialect,
    pub limits: Limits,
}

/// Opens a connection, sends `first` on it, then serves further jobs until the connection closes.
pub(super) async fn run(
    target: TargetAddress,
    memory: Memory,
    first: Job,
    events: mpsc::UnboundedSender<ConnEvent>,
) {
    let work = first.work;
    match connect(target, &memory).await {
        Ok(conn) => conn.run(Some(first), &events).await,
        Err(refusal) => {
            let finished = Finished::unsent(work, refusal);
            let _ = events.unbounded_send(ConnEvent::Finished(finished));
        }
    }
}

/// Opens a connection in advance and serves jobs on it until it closes.
pub(super) async fn preconnect(
    target: TargetAddress,
    memory: Memory,
    events: mpsc::UnboundedSender<ConnEvent>,
) {
    if let Ok(conn) = connect(target, &memory).await {
        conn.run(None, &events).await;
    }
}

async fn connect(target: TargetAddress, memory: &Memory) -> Result<Conn, Refusal> {
    let lease = memory.open(Owner::Target).await.ok_or(Refusal::Memory)?;
    let connect = TcpStream::connect_addr(target.address);
    let connected = monoio::time::timeout(CONNECT_TIMEOUT, connect).await;
    let tcp = connected
        .map_err(|_| Refusal::Down)?
        .map_err(|_| Refusal::Down)?;
    keepalive::enable(&tcp).map_err(|_| Refusal::Down)?;
    Ok(Conn {
        reused: false,
        stream: HttpStream::leased(tcp, target.limits, &lease),
        lease,
        target,
    })
}

impl Conn {
    async fn run(mut self, first: Option<Job>, events: &mpsc::UnboundedSender<ConnEvent>) {
        let (sender, mut jobs) = mpsc::unbounded();
        let mut next = first;
        if next.is_none() {
            let _ = events.unbounded_send(ConnEvent::Ready(sender.clone()));
            next = self.next_job(&mut jobs).await;
        }
        while let Some(job) = next {
            let (finished, open) = self.finish(job, &sender).await;
            if events
                .unbounded_send(ConnEvent::Finished(finished))
                .is_err()
                || !open
            {
                return;
            }
            next = self.next_job(&mut jobs).await;
        }
    }

    /// Serves a job, and returns its result and whether the connection can be reused.
    async fn finish(&mut self, job: Job, sender: &mpsc::UnboundedSender<Job>) -> (Finished, bool) {
        let work = job.work;
        let Served {
            end,
            report,
            reusable,
        } = self.serve(job).await;
        // From now on the answer counts for the connection that it goes to.
        self.lease.hand_over();
        let idle = reusable.then(|| sender.clone());
        (
            Finished {
                end,
                idle,
                report,
                work,
            },
            reusable,
        )
    }
}

struct Conn {
    lease: Rc<Lease>,
    /// Whether the target has answered a request on this connection.
    reused: bool,
    stream: HttpStream,
    target: TargetAddress,
}

struct Served {
    end: JobEnd,
    report: Option<SelfReport>,
    reusable: bool,
}

impl Served {
    fn failed(end: JobEnd) -> Self {
        Self {
            end,
            report: None,
            reusable: false,
        }
    }
}

impl Conn {
    /// Returns the next job, or `None` if the connection is to be closed. The idle connection is
    /// monitored: a job sent on a connection that the target has closed would count as lost, and
    /// unsolicited bytes could be taken for the next answer.
    async fn next_job(&mut self, jobs: &mut mpsc::UnboundedReceiver<Job>) -> Option<Job> {
        let closed = self.stream.reader.readable_or_closed().fuse();
        let next = jobs.next().fuse();
        let evicted = self.lease.evicted().fuse();
        pin_mut!(closed, next, evicted);
        select_biased! {
            job = next => job,
            () = closed => None,
            () = evicted => None,
        }
    }

    async fn serve(&mut self, mut job: Job) -> Served {
        let left = self.target.clock.until(job.deadline);
        let trace = job.span.traceparent();
        let lease = Rc::clone(&self.lease);
        let _ = lease.hold(0, Serving::Running).await;
        let extra = self.extra_headers(left, job.expect.as_deref(), trace.as_deref());
        let exchange = self.exchange(&job.request, &extra, job.expect.as_deref());
        let exchange = monoio::time::timeout(left, exchange);
        let exchange = exchange.fuse();
        let evicted = lease.evicted().fuse();
        pin_mut!(exchange, evicted);
        // `select_biased!` skips terminated futures. Without `fuse`, the receiver counts as terminated
        // once its sender is dropped, so a cancellation would be missed. The fused receiver counts as
        // terminated only after it has been polled to completion.
        let mut cancel = (&mut job.cancel).fuse();
        select_biased! {
            result = exchange => match result {
                Ok(served) => served,
                Err(_) => Served::failed(JobEnd::Lost(Loss::Expired)),
            },
            _ = cancel => Served::failed(JobEnd::Lost(Loss::Cancelled)),
            // The target has stalled within its answer.
            () = evicted => Served::failed(JobEnd::Lost(Loss::Closed)),
        }
    }

    async fn exchange(
        &mut self,
        request: &HttpRequest,
        extra: &[Header],
        expect: Option<&str>,
    ) -> Served {
        let host = self.target.address.to_string();
        let message = encode_request(request, &host, extra);
        if self.stream.writer.write(message).await.is_err() {
            return Served::failed(JobEnd::Lost(Loss::Closed));
        }
        match self.read_answer(request, expect).await {
            Ok(served) => {
                self.reused = true;
                served
            }
            Err(fault) => Served::failed(JobEnd::Lost(loss_of(&fault))),
        }
    }

    /// Reads the answer to a request. An answer to another request, which the target may send late or
    /// once more, is skipped; the connection is not reused after one.
    async fn read_answer(
        &mut self,
        request: &HttpRequest,
        expect: Option<&str>,
    ) -> Result<Served, ReadFault> {
        let names = self.target.dialect.names();
        let mut in_sync = true;
        for _ in 0..=MAX_SKIPPED {
            let (head, framing) = self.stream.reader.read_answer_head().await?;
            if head.status.is_informational() {
                continue;
            }
            // From now on the connection may be evicted if the answer stalls.
            let _ = self.lease.hold(0, Serving::Nothing).await;
            let (body, delimited) = self.read_answer_body(request, &head, framing).await?;
            let report = SelfReport::from_headers(self.target.dialect, &head.headers);
            if !self.is_own_answer(request, expect, &head, &report) {
                in_sync = false;
                // The request still runs.
                let _ = self.lease.hold(0, Serving::Running).await;
                continue;
            }
            let reusable = in_sync
                && delimited
                && answer_keeps_open(&head)
                && !self.stream.reader.has_buffered();
            return Ok(Served {
                end: job_end(names, &head, body, request, &report),
                report: Some(report),
                reusable,
            });
        }
        Err(ReadFault::Malformed(
            "too many interim answers and answers to other requests".to_owned(),
        ))
    }

    /// Whether an answer belongs to the request. Targets copy the id of the request; an answer without
    /// one counts only on a new connection, where there is no earlier answer to be sent once more. A 421
    /// counts also if it states another name than the request, since it is then true for any request.
    fn is_own_answer(
        &self,
        request: &HttpRequest,
        expect: Option<&str>,
        head: &AnswerHead,
        report: &SelfReport,
    ) -> bool {
        let Some(name) = self.target.dialect.names().request_id else {
            return true;
        };
        let id = head.headers.get(name).map(http::HeaderValue::as_bytes);
        match (id, header_text(&request.headers, name)) {
            (Some(id), Some(own)) => id == own.as_bytes(),
            (Some(_) | None, None) => true,
            (None, Some(_)) => {
                let other_name = report.name.is_some() && report.name.as_deref() != expect;
                !self.reused || head.status == StatusCode::MISDIRECTED_REQUEST && other_name
            }
        }
    }

    /// Reads the body, and returns it and whether the connection can carry another answer.
    async fn read_answer_body(
        &mut self,
        request: &HttpRequest,
        head: &AnswerHead,
        framing: Framing,
    ) -> Result<(Bytes, bool), ReadFault> {
        let bodiless = request.method == "HEAD" || matches!(head.status.as_u16(), 204 | 304);
        match (bodiless, framing) {
            (true, _) => Ok((Bytes::new(), true)),
            (false, Framing::None) => match self.target.dialect {
                // A body that ends with the connection can't be distinguished from a truncated one.
                Dialect::Own => Err(ReadFault::Malformed("no length".to_owned())),
                Dialect::Platform => Ok((self.stream.reader.read_to_end().await?, false)),
            },
            (false, Framing::Chunked | Framing::Length(_)) => {
                Ok((self.stream.reader.read_body(framing).await?, true))
            }
        }
    }

    fn extra_headers(
        &self,
        left: Duration,
        expect: Option<&str>,
        trace: Option<&str>,
    ) -> Vec<Header> {
        let header = |name: &str, value: &str| Header {
            name: name.to_owned(),
            value: value.as_bytes().to_vec(),
        };
        let names = self.target.dialect.names();
        let mut extra = vec![header(names.deadline, &left.as_millis().to_string())];
        extra.extend(names.expected_target.zip(expect).map(|(n, e)| header(n, e)));
        extra.extend(trace.map(|t| header("traceparent", t)));
        extra
    }
}

/// Interprets a complete answer.
fn job_end(
    names: &HeaderNames,
    head: &AnswerHead,
    body: Bytes,
    request: &HttpRequest,
    report: &SelfReport,
) -> JobEnd {
    let status = head.status.as_u16();
    let not_run = header_is(head, names.not_run, "1") && matches!(status, 400 | 429 | 503);
    if status == 421 {
        return JobEnd::Refused(Refusal::Misdirected);
    }
    if not_run {
        return JobEnd::Refused(if report.draining {
            Refusal::Draining
        } else {
            Refusal::Shed
        });
    }
    let unsealed = |seal: &str| head.status.is_success() && !head.headers.contains_key(seal);
    // Callers interpret these statuses as a guarantee that the request was not run, which the
    // target has not given.
    let unproven_refusal = names.seal.is_some() && matches!(status, 408 | 429 | 503);
    if names.seal.is_some_and(unsealed) || unproven_refusal {
        return JobEnd::Lost(Loss::Malformed);
    }
    JobEnd::Answered(from_answer_head(head, body, request.method == "HEAD"))
}

fn header_is(head: &AnswerHead, name: &str, value: &str) -> bool {
    head.headers
        .get(name)
        .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(value.as_bytes()))
}

fn loss_of(fault: &ReadFault) -> Loss {
    match fault {
        ReadFault::Closed
        | ReadFault::Incomplete
        | ReadFault::Idle
        | ReadFault::Io(_)
        | ReadFault::Memory => Loss::Closed,
        ReadFault::Head(_) | ReadFault::Malformed(_) | ReadFault::TooLarge => Loss::Malformed,
    }
}
