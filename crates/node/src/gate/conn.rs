//! The task that owns one keep-alive connection to the local target.

use std::net::SocketAddr;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::admission::WorkId;
use hawthornwall_core::outcome::{Loss, Refusal};
use hawthornwall_core::time::Time;
use hawthornwall_wire::head::Framing;
use hawthornwall_wire::peer::{Header, HttpAnswer, HttpRequest};
use http::response::Parts as AnswerHead;
use monoio::net::TcpStream;

use crate::clock::Clock;
use crate::http::{HttpStream, Limits, ReadFault, encode_request, from_answer_head};
use crate::telemetry::trace::HopSpan;

/// Longest wait for a connection to the local target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time left until the deadline, in milliseconds.
pub(super) const DEADLINE_HEADER: &str = "hawthornwall-deadline";
/// Set to `1` by a target on a 503 answer to a request that it has not run.
const NOT_RUN_HEADER: &str = "hawthornwall-not-run";
/// Set to `draining` by a target that is leaving.
const STATE_HEADER: &str = "hawthornwall-state";

/// A request for the target.
#[derive(Debug)]
pub(super) struct Job {
    /// Closes when the work is cancelled.
    pub cancel: oneshot::Receiver<()>,
    pub deadline: Time,
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
            reusable,
        } = self.serve(job).await;
        let idle = reusable.then(|| sender.clone());
        (
            Finished {
                draining,
                end,
                idle,
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
    reusable: bool,
}

impl Served {
    fn broken(end: JobEnd) -> Self {
        Self {
            draining: false,
            end,
            reusable: false,
        }
    }
}

impl Conn {
    /// Waits for a job. A target that closes an idle connection is noticed at once, so that no job
    /// is sent into a closed connection and counted as lost.
    async fn next_job(&mut self, jobs: &mut mpsc::UnboundedReceiver<Job>) -> Option<Job> {
        let closed = self.stream.closed().fuse();
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
        let exchange =
            monoio::time::timeout(left, self.exchange(&job.request, left, trace.as_deref()));
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

    async fn exchange(
        &mut self,
        request: &HttpRequest,
        left: Duration,
        trace: Option<&str>,
    ) -> Served {
        let host = self.target.address.to_string();
        let bytes = encode_request(request, &host, &extra_headers(left, trace));
        if self.stream.write(bytes).await.is_err() {
            return Served::broken(JobEnd::Lost(Loss::Closed));
        }
        match self.read_answer(request.method == "HEAD").await {
            Ok(served) => served,
            Err(fault) => Served::broken(JobEnd::Lost(loss_of(&fault))),
        }
    }

    async fn read_answer(&mut self, to_head: bool) -> Result<Served, ReadFault> {
        let (head, framing) = loop {
            let (head, framing) = self.stream.read_answer_head().await?;
            if !head.status.is_informational() {
                break (head, framing);
            }
        };
        let bodiless = to_head || matches!(head.status.as_u16(), 204 | 304);
        let body = match (bodiless, framing) {
            (true, _) => Vec::new(),
            // Without a length, the end of the connection can't be told from a cut answer.
            (false, Framing::None) => return Err(ReadFault::Malformed("no length".to_owned())),
            (false, Framing::Chunked | Framing::Length(_)) => {
                self.stream.read_body(framing).await?
            }
        };
        let is = |name: &str, value: &str| header_is(&head, name, value);
        let draining = is(STATE_HEADER, "draining");
        let reusable = !is("connection", "close") && head.version == http::Version::HTTP_11;
        let refused =
            head.status == http::StatusCode::SERVICE_UNAVAILABLE && is(NOT_RUN_HEADER, "1");
        let end = if refused {
            JobEnd::Refused(if draining {
                Refusal::Draining
            } else {
                Refusal::Shed
            })
        } else {
            JobEnd::Answered(from_answer_head(&head, body, to_head))
        };
        Ok(Served {
            draining,
            end,
            reusable: reusable && !self.stream.has_buffered(),
        })
    }
}

fn header_is(head: &AnswerHead, name: &str, value: &str) -> bool {
    head.headers
        .get(name)
        .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(value.as_bytes()))
}

fn extra_headers(left: Duration, trace: Option<&str>) -> Vec<Header> {
    let header = |name: &str, value: String| Header {
        name: name.to_owned(),
        value: value.into_bytes(),
    };
    let mut extra = vec![header(DEADLINE_HEADER, left.as_millis().to_string())];
    extra.extend(trace.map(|t| header("traceparent", t.to_owned())));
    extra
}

fn loss_of(fault: &ReadFault) -> Loss {
    match fault {
        ReadFault::Closed | ReadFault::Cut | ReadFault::Idle | ReadFault::Io(_) => Loss::Closed,
        ReadFault::Head(_) | ReadFault::Malformed(_) | ReadFault::TooLarge => Loss::Malformed,
    }
}
