//! Tasks of a worker: one for its listener and one for each connection.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, pin_mut, select_biased};
use http::{HeaderValue, Request, Response, StatusCode};

use super::behaviour::{AnswerFault, WorkerBehaviour};
use crate::http1::{Coding, Connection, answer};
use crate::random::Random;
use crate::target::Spread;

/// Maximum number of waiting requests per slot.
const QUEUE_PER_SLOT: u32 = 4;
/// Interval at which a waiting request checks for a free slot.
const SLOT_POLL: Duration = Duration::from_millis(1);
/// Delay of the second answer of [`AnswerFault::Extra`].
const EXTRA_DELAY: Duration = Duration::from_millis(2);

/// A run of a request, reported when it starts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerRun {
    /// Body of the request.
    pub body: Bytes,
    /// Calling service according to `x-caller-service`; empty without the header.
    pub caller: String,
    /// Whether the worker was cold.
    pub cold: bool,
    /// Remaining time according to `x-deadline-ms`.
    pub deadline: Option<Duration>,
    /// Request id according to `x-request-id`.
    pub id: String,
    /// Method and URI of the request, separated by a space.
    pub line: String,
    /// Service that the worker belongs to.
    pub service: String,
    /// Time at which the request got its slot.
    pub started: Instant,
    /// Name of the worker.
    pub worker: String,
}

/// Channel over which workers report their runs.
pub type RunSender = mpsc::UnboundedSender<WorkerRun>;

/// Settings of a worker that are fixed when it starts.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// Address that the worker listens on.
    pub address: SocketAddr,
    /// Instance id, which `x-instance-id` carries and `x-expect-instance` is compared with.
    pub name: String,
    /// Seed of service times and of the choice of affected requests.
    pub seed: u64,
    /// Service that the worker belongs to.
    pub service: String,
    /// Maximum number of requests that run at once.
    pub slots: u32,
}

/// Handle of a running worker; dropping it stops the worker and closes its connections.
#[derive(Debug)]
pub struct Worker {
    /// Behaviour, which can be changed at any time.
    pub behaviour: Rc<Cell<WorkerBehaviour>>,
    /// End of the cold time. Until then `/health` states the remaining time in `x-cold-ms`.
    pub cold_until: Rc<Cell<Option<Instant>>>,
    /// Whether `/health` answers with status 503. Requests are still run.
    pub draining: Rc<Cell<bool>>,
    /// Number of running requests.
    pub running: Rc<Cell<u32>>,
    _stop: oneshot::Sender<()>,
}

#[derive(Clone)]
struct WorkerState {
    behaviour: Rc<Cell<WorkerBehaviour>>,
    cold_until: Rc<Cell<Option<Instant>>>,
    draining: Rc<Cell<bool>>,
    options: Rc<WorkerOptions>,
    random: Rc<RefCell<Random>>,
    running: Rc<Cell<u32>>,
    stop: futures::future::Shared<oneshot::Receiver<()>>,
    waiting: Rc<Cell<u32>>,
    run_sender: RunSender,
}

/// Returns the body with which a worker answers a request of this id.
pub fn answer_body(id: &str, worker: &str) -> Bytes {
    format!("answer to {id} by {worker}\n").repeat(8).into()
}

/// Starts a worker. It must be called inside the runtime.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn serve(options: WorkerOptions, run_sender: RunSender) -> std::io::Result<Worker> {
    let listener = monoio::net::TcpListener::bind(options.address)?;
    let (stop, stopped) = oneshot::channel();
    let state = WorkerState {
        behaviour: Rc::default(),
        cold_until: Rc::default(),
        draining: Rc::default(),
        random: Rc::new(RefCell::new(Random::new(options.seed))),
        options: Rc::new(options),
        running: Rc::default(),
        stop: stopped.shared(),
        waiting: Rc::default(),
        run_sender,
    };
    let worker = Worker {
        behaviour: Rc::clone(&state.behaviour),
        cold_until: Rc::clone(&state.cold_until),
        draining: Rc::clone(&state.draining),
        running: Rc::clone(&state.running),
        _stop: stop,
    };
    monoio::spawn(async move {
        loop {
            let accept = listener.accept().fuse();
            let mut stop = state.stop.clone();
            pin_mut!(accept);
            let accepted = select_biased! {
                _ = stop => return,
                accepted = accept => accepted,
            };
            if let Ok((stream, _)) = accepted
                && let Ok(connection) = Connection::from_stream(stream)
            {
                monoio::spawn(state.clone().connection(connection));
            }
        }
    });
    Ok(worker)
}

/// Increments a counter, and decrements it when dropped.
struct CountGuard(Rc<Cell<u32>>);

impl CountGuard {
    fn new(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl WorkerState {
    async fn connection(self, mut connection: Connection) {
        loop {
            let mut stop = self.stop.clone();
            let served = {
                let serve = self.serve_one(&mut connection).fuse();
                pin_mut!(serve);
                select_biased! {
                    // A stopped worker closes all its connections.
                    _ = stop => None,
                    served = serve => served,
                }
            };
            if served.is_none() {
                return;
            }
        }
    }

    /// Serves one request; returns `None` if the connection must be closed.
    async fn serve_one(&self, connection: &mut Connection) -> Option<()> {
        let request = connection.read_request().await.ok()??;
        let work = self.work(&request).fuse();
        let (answer, answer_fault) = {
            let closed = connection.closed().fuse();
            pin_mut!(work, closed);
            select_biased! {
                end = work => end,
                () = closed => return None,
            }
        };
        let answer = self.add_headers(answer, &request);
        match answer_fault {
            AnswerFault::AnswerLost => None,
            AnswerFault::Hang => std::future::pending().await,
            AnswerFault::Truncate => {
                let _ = connection.reply_truncated(&answer).await;
                None
            }
            AnswerFault::Unframed => {
                let _ = connection.reply(&answer, Coding::Unframed).await;
                None
            }
            AnswerFault::Close => {
                let mut answer = answer;
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert("connection", close);
                let _ = connection.reply(&answer, Coding::Fixed).await;
                None
            }
            AnswerFault::Extra => {
                connection.reply(&answer, Coding::Chunked).await.ok()?;
                monoio::time::sleep(EXTRA_DELAY).await;
                connection.reply(&answer, Coding::Fixed).await.ok()
            }
            AnswerFault::Error | AnswerFault::None | AnswerFault::Shed => {
                connection.reply(&answer, Coding::Fixed).await.ok()
            }
        }
    }

    async fn work(&self, request: &Request<Bytes>) -> (Response<Bytes>, AnswerFault) {
        if request.uri().path() == "/health" {
            return (self.health(), AnswerFault::None);
        }
        let not_run = |status: StatusCode| {
            let mut refusal = answer(status, "not run\n");
            let flag = HeaderValue::from_static("1");
            refusal.headers_mut().insert("x-not-executed", flag);
            (refusal, AnswerFault::None)
        };
        let expected = header_text(request, "x-expect-instance");
        if !expected.is_empty() && expected != self.options.name {
            return (
                answer(StatusCode::MISDIRECTED_REQUEST, ""),
                AnswerFault::None,
            );
        }
        if header_text(request, "x-request-id").is_empty() {
            return not_run(StatusCode::BAD_REQUEST);
        }
        let behaviour = self.behaviour.get();
        let faulty = self.random.borrow_mut().chance(behaviour.percent);
        let answer_fault = if faulty {
            behaviour.answer_fault
        } else {
            AnswerFault::None
        };
        let arrived = Instant::now();
        let deadline = header_text(request, "x-deadline-ms").parse().ok();
        let deadline = deadline.map(Duration::from_millis);
        if answer_fault == AnswerFault::Shed || !self.acquire_slot(arrived, deadline).await {
            return not_run(StatusCode::SERVICE_UNAVAILABLE);
        }
        let _running = CountGuard::new(&self.running);
        self.report_run(request, deadline);
        let mean = behaviour.work * behaviour.slowdown / 100;
        let time = self
            .random
            .borrow_mut()
            .spread(mean, Spread::Lognormal(0.3));
        monoio::time::sleep(time).await;
        if answer_fault == AnswerFault::Error {
            return (
                answer(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
                answer_fault,
            );
        }
        let id = header_text(request, "x-request-id");
        (
            answer(StatusCode::OK, answer_body(&id, &self.options.name)),
            answer_fault,
        )
    }

    /// Waits until a slot is free. Returns `false` if too many requests wait already or the
    /// deadline passes.
    async fn acquire_slot(&self, arrived: Instant, deadline: Option<Duration>) -> bool {
        if self.waiting.get() >= self.options.slots * QUEUE_PER_SLOT {
            return false;
        }
        let _waiting = CountGuard::new(&self.waiting);
        while self.running.get() >= self.options.slots {
            monoio::time::sleep(SLOT_POLL).await;
            if deadline.is_some_and(|deadline| arrived.elapsed() >= deadline) {
                return false;
            }
        }
        true
    }

    fn health(&self) -> Response<Bytes> {
        let status = if self.draining.get() {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        };
        let mut health = answer(status, "");
        if let Some(left) = self.cold_left() {
            // Rounded up, since zero would state a warm worker.
            let left = HeaderValue::from(left.as_millis() as u64 + 1);
            health.headers_mut().insert("x-cold-ms", left);
        }
        health
    }

    /// Remaining cold time; `None` while the worker is warm.
    fn cold_left(&self) -> Option<Duration> {
        let until = self.cold_until.get()?;
        let left = until.saturating_duration_since(Instant::now());
        (!left.is_zero()).then_some(left)
    }

    fn report_run(&self, request: &Request<Bytes>, deadline: Option<Duration>) {
        let run = WorkerRun {
            body: request.body().clone(),
            caller: header_text(request, "x-caller-service"),
            cold: self.cold_left().is_some(),
            deadline,
            id: header_text(request, "x-request-id"),
            line: format!("{} {}", request.method(), request.uri()),
            service: self.options.service.clone(),
            started: Instant::now(),
            worker: self.options.name.clone(),
        };
        let _ = self.run_sender.unbounded_send(run);
    }

    /// Adds the headers that every answer carries.
    fn add_headers(
        &self,
        mut answer: Response<Bytes>,
        request: &Request<Bytes>,
    ) -> Response<Bytes> {
        let load = format!(
            "{},{},{},{}",
            self.running.get(),
            self.waiting.get(),
            self.options.slots,
            self.behaviour.get().slowdown
        );
        let id = header_text(request, "x-request-id");
        let seal = format!("{}.{id}", self.options.name);
        let headers = [
            ("x-instance-id", self.options.name.clone()),
            ("x-server-load", load),
            ("x-request-id", id),
            ("x-response-seal", seal),
        ];
        for (name, value) in headers {
            if let Ok(value) = HeaderValue::from_str(&value) {
                answer.headers_mut().insert(name, value);
            }
        }
        answer
    }
}

fn header_text(request: &Request<Bytes>, name: &str) -> String {
    let value = request.headers().get(name);
    value
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
