//! The task that owns one keep-alive connection to the local target.

use std::net::SocketAddr;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::admission::WorkId;
use hawthornwall_core::load::TargetLoad;
use hawthornwall_core::outcome::{Loss, Refusal};
use hawthornwall_core::time::Time;
use hawthornwall_wire::head::Framing;
use hawthornwall_wire::names::HeaderNames;
use hawthornwall_wire::peer::{Header, HttpAnswer, HttpRequest};
use http::response::Parts as AnswerHead;
use monoio::net::TcpStream;

use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::http::{HttpStream, Limits, ReadFault, encode_request, from_answer_head, header_text};
use crate::telemetry::trace::HopSpan;

/// Longest wait for a connection to the local target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Set to `draining` by a target that is leaving.
const STATE_HEADER: &str = "hawthornwall-state";

/// A request for the target.
#[derive(Debug)]
pub(super) struct Job {
    /// Closes when the work is cancelled.
    pub cancel: oneshot::Receiver<()>,
    pub deadline: Time,
    /// Name that the target must have.
    pub expect: Option<String>,
    pub request: HttpRequest,
    /// Ends with the job.
    pub span: HopSpan,
    pub work: WorkId,
}

/// How a job ended.
#[derive(Debug)]
pub(super) enum JobEnd {
    Answered(HttpAnswer),
    Lost(Loss),
    Refused(Refusal),
}

/// The end of a job.
#[derive(Debug)]
pub(super) struct Finished {
    /// Whether the target says that it is leaving.
    pub draining: bool,
    pub end: JobEnd,
    /// Where the connection takes its next job; `None` if it has closed.
    pub idle: Option<mpsc::UnboundedSender<Job>>,
    /// What the target says of its load.
    pub load: Option<TargetLoad>,
    pub work: WorkId,
}

/// From a connection task to the gate.
#[derive(Debug)]
pub(super) enum Report {
    /// A job ended.
    Finished(Finished),
    /// A connection opened ahead takes its first job.
    Ready(mpsc::UnboundedSender<Job>),
}

/// Where and how to reach the target.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetAddress {
    pub address: SocketAddr,
    pub clock: Clock,
    pub dialect: Dialect,
    pub limits: Limits,
}

/// Serves a job on a new connection, then further jobs until it closes.
pub(super) async fn run(target: TargetAddress, first: Job, reports: mpsc::UnboundedSender<Report>) {
    let work = first.work;
    let Some(conn) = connect(target).await else {
        let end = JobEnd::Refused(Refusal::Down);
        let finished = Finished {
            draining: false,
            end,
            idle: None,
            load: None,
            work,
        };
        let _ = reports.unbounded_send(Report::Finished(finished));
        return;
    };
    conn.run(Some(first), &reports).await;
}

/// Opens a connection before a job needs it, then serves jobs until it closes.
pub(super) async fn run_ahead(target: TargetAddress, reports: mpsc::UnboundedSender<Report>) {
    if let Some(conn) = connect(target).await {
        conn.run(None, &reports).await;
    }
}

async fn connect(target: TargetAddress) -> Option<Conn> {
    let connect = TcpStream::connect_addr(target.address);
    let tcp = monoio::time::timeout(CONNECT_TIMEOUT, connect)
        .await
        .ok()?
        .ok()?;
    Some(Conn {
        stream: HttpStream::new(tcp, target.limits),
        target,
    })
}

impl Conn {
    async fn run(mut self, first: Option<Job>, reports: &mpsc::UnboundedSender<Report>) {
        let (sender, mut jobs) = mpsc::unbounded();
        let mut next = first;
        if next.is_none() {
            let _ = reports.unbounded_send(Report::Ready(sender.clone()));
            next = self.next_job(&mut jobs).await;
        }
        while let Some(job) = next {
            let (finished, open) = self.finish(job, &sender).await;
            if reports.unbounded_send(Report::Finished(finished)).is_err() || !open {
                return;
            }
            next = self.next_job(&mut jobs).await;
        }
    }

    /// Serves a job; also tells whether the connection is still open.
    async fn finish(&mut self, job: Job, sender: &mpsc::UnboundedSender<Job>) -> (Finished, bool) {
        let work = job.work;
        let Served {
            draining,
            end,
            load,
            reusable,
        } = self.serve(job).await;
        let idle = reusable.then(|| sender.clone());
        (
            Finished {
                draining,
                end,
                idle,
                load,
                work,
            },
            reusable,
        )
    }
}

struct Conn {
    stream: HttpStream,
    target: TargetAddress,
}

struct Served {
    draining: bool,
    end: JobEnd,
    load: Option<TargetLoad>,
    reusable: bool,
}

impl Served {
    fn broken(end: JobEnd) -> Self {
        Self {
            draining: false,
            end,
            load: None,
            reusable: false,
        }
    }
}

impl Conn {
    /// Waits for a job. A target that closes an idle connection is noticed at once, so that no job
    /// is sent into a closed connection and counted as lost. One that sends something unasked is
    /// out of step and is closed too.
    async fn next_job(&mut self, jobs: &mut mpsc::UnboundedReceiver<Job>) -> Option<Job> {
        let closed = self.stream.disturbed().fuse();
        let next = jobs.next().fuse();
        pin_mut!(closed, next);
        select_biased! {
            job = next => job,
            () = closed => None,
        }
    }

    async fn serve(&mut self, mut job: Job) -> Served {
        let left = self.target.clock.until(job.deadline);
        let trace = job.span.traceparent();
        let extra = self.extra_headers(left, job.expect.as_deref(), trace.as_deref());
        let exchange = monoio::time::timeout(left, self.exchange(&job.request, &extra));
        let exchange = exchange.fuse();
        pin_mut!(exchange);
        // Unfused, the receiver counts as terminated once its sender is dropped and is never polled.
        let mut cancel = (&mut job.cancel).fuse();
        select_biased! {
            result = exchange => match result {
                Ok(served) => served,
                Err(_) => Served::broken(JobEnd::Lost(Loss::Expired)),
            },
            _ = cancel => Served::broken(JobEnd::Lost(Loss::Cancelled)),
        }
    }

    async fn exchange(&mut self, request: &HttpRequest, extra: &[Header]) -> Served {
        let host = self.target.address.to_string();
        let bytes = encode_request(request, &host, extra);
        if self.stream.write(bytes).await.is_err() {
            return Served::broken(JobEnd::Lost(Loss::Closed));
        }
        match self.read_answer(request).await {
            Ok(served) => served,
            Err(fault) => Served::broken(JobEnd::Lost(loss_of(&fault))),
        }
    }

    /// Reads the answer to a request. Answers to other requests, which a target may send late, are
    /// passed over; the connection is not used again after one.
    async fn read_answer(&mut self, request: &HttpRequest) -> Result<Served, ReadFault> {
        let names = self.target.dialect.names();
        let asked = names
            .request_id
            .and_then(|n| header_text(&request.headers, n));
        let mut in_step = true;
        loop {
            let (head, framing) = self.read_final_head().await?;
            let (body, whole) = self.read_answer_body(request, &head, framing).await?;
            let id = names.request_id.and_then(|n| head.headers.get(n));
            let other = id.is_some_and(|id| asked.is_some_and(|a| a.as_bytes() != id.as_bytes()));
            if other {
                in_step = false;
                continue;
            }
            let reusable = in_step
                && whole
                && !header_is(&head, "connection", "close")
                && head.version == http::Version::HTTP_11
                && !self.stream.has_buffered();
            let load = names.load.and_then(|n| head.headers.get(n)?.to_str().ok());
            return Ok(Served {
                draining: header_is(&head, STATE_HEADER, "draining"),
                end: end_of(names, &head, body, request),
                load: load.and_then(|text| self.target.dialect.load(text)),
                reusable,
            });
        }
    }

    async fn read_final_head(&mut self) -> Result<(AnswerHead, Framing), ReadFault> {
        loop {
            let (head, framing) = self.stream.read_answer_head().await?;
            if !head.status.is_informational() {
                return Ok((head, framing));
            }
        }
    }

    /// The body, and whether the connection can carry another answer.
    async fn read_answer_body(
        &mut self,
        request: &HttpRequest,
        head: &AnswerHead,
        framing: Framing,
    ) -> Result<(Vec<u8>, bool), ReadFault> {
        let bodiless = request.method == "HEAD" || matches!(head.status.as_u16(), 204 | 304);
        match (bodiless, framing) {
            (true, _) => Ok((Vec::new(), true)),
            (false, Framing::None) => match self.target.dialect {
                // The end of the connection can't be told from a cut answer.
                Dialect::Own => Err(ReadFault::Malformed("no length".to_owned())),
                Dialect::Platform => Ok((self.stream.read_to_end().await?, false)),
            },
            (false, Framing::Chunked | Framing::Length(_)) => {
                Ok((self.stream.read_body(framing).await?, true))
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

/// What a whole answer means.
fn end_of(names: &HeaderNames, head: &AnswerHead, body: Vec<u8>, request: &HttpRequest) -> JobEnd {
    let status = head.status.as_u16();
    let not_run = header_is(head, names.not_run, "1") && matches!(status, 400 | 429 | 503);
    if status == 421 {
        return JobEnd::Refused(Refusal::WrongTarget);
    }
    if not_run {
        let draining = header_is(head, STATE_HEADER, "draining");
        return JobEnd::Refused(if draining {
            Refusal::Draining
        } else {
            Refusal::Shed
        });
    }
    let unsealed = |seal: &str| head.status.is_success() && !head.headers.contains_key(seal);
    // Callers take these statuses as a promise that the request has not run, which the target has
    // not made.
    let false_promise = names.seal.is_some() && matches!(status, 408 | 429 | 503);
    if names.seal.is_some_and(unsealed) || false_promise {
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
        ReadFault::Closed | ReadFault::Cut | ReadFault::Idle | ReadFault::Io(_) => Loss::Closed,
        ReadFault::Head(_) | ReadFault::Malformed(_) | ReadFault::TooLarge => Loss::Malformed,
    }
}
