//! Tasks of a worker: its listener, and one for each connection.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, pin_mut, select_biased};
use http::{HeaderValue, Request, Response, StatusCode};

use super::conduct::{Conduct, Quirk};
use crate::http1::{Coding, Connection, answer};
use crate::random::Random;
use crate::target::Spread;

/// Requests that wait for a slot, for each slot.
const QUEUE_PER_SLOT: u32 = 4;
/// Time between two looks at whether a slot is free.
const SLOT_POLL: Duration = Duration::from_millis(1);
/// How much later a second answer comes.
const EXTRA_DELAY: Duration = Duration::from_millis(2);

/// One run of a request, told when it begins.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerRun {
    /// The request's body.
    pub body: Bytes,
    /// Service that the request is said to come from.
    pub caller: String,
    /// Time that it is said to have left.
    pub deadline: Option<Duration>,
    /// The request's id.
    pub id: String,
    /// Method and path.
    pub line: String,
    /// The worker's service.
    pub service: String,
    /// Begin.
    pub started: Instant,
    /// The worker's name.
    pub worker: String,
}

/// Receives every run.
pub type Witness = mpsc::UnboundedSender<WorkerRun>;

/// What a worker is.
#[derive(Clone, Debug)]
pub struct WorkerPlan {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its id.
    pub name: String,
    /// Seed of its random choices.
    pub seed: u64,
    /// Its service.
    pub service: String,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// A worker that runs; it ends when dropped.
#[derive(Debug)]
pub struct Worker {
    /// How it behaves, to be set at any time.
    pub conduct: Rc<Cell<Conduct>>,
    /// Whether it says that it leaves.
    pub draining: Rc<Cell<bool>>,
    /// Requests that run.
    pub running: Rc<Cell<u32>>,
    _stop: oneshot::Sender<()>,
}

#[derive(Clone)]
struct Serving {
    conduct: Rc<Cell<Conduct>>,
    draining: Rc<Cell<bool>>,
    plan: Rc<WorkerPlan>,
    random: Rc<RefCell<Random>>,
    running: Rc<Cell<u32>>,
    stop: futures::future::Shared<oneshot::Receiver<()>>,
    waiting: Rc<Cell<u32>>,
    witness: Witness,
}

/// The body of the answer to a request.
pub fn body_of(id: &str, worker: &str) -> Bytes {
    format!("answer to {id} by {worker}\n").repeat(8).into()
}

/// Starts a worker inside the runtime.
///
/// # Errors
///
/// Its address can't be bound.
pub fn serve(plan: WorkerPlan, witness: Witness) -> std::io::Result<Worker> {
    let listener = monoio::net::TcpListener::bind(plan.address)?;
    let (stop, stopped) = oneshot::channel();
    let serving = Serving {
        conduct: Rc::default(),
        draining: Rc::default(),
        random: Rc::new(RefCell::new(Random::new(plan.seed))),
        plan: Rc::new(plan),
        running: Rc::default(),
        stop: stopped.shared(),
        waiting: Rc::default(),
        witness,
    };
    let worker = Worker {
        conduct: Rc::clone(&serving.conduct),
        draining: Rc::clone(&serving.draining),
        running: Rc::clone(&serving.running),
        _stop: stop,
    };
    monoio::spawn(async move {
        loop {
            let accept = listener.accept().fuse();
            let mut stop = serving.stop.clone();
            pin_mut!(accept);
            let accepted = select_biased! {
                _ = stop => return,
                accepted = accept => accepted,
            };
            if let Ok((stream, _)) = accepted
                && let Ok(connection) = Connection::from_stream(stream)
            {
                monoio::spawn(serving.clone().connection(connection));
            }
        }
    });
    Ok(worker)
}

/// Counts one until it is dropped.
struct Count(Rc<Cell<u32>>);

impl Count {
    fn new(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Serving {
    async fn connection(self, mut connection: Connection) {
        loop {
            let mut stop = self.stop.clone();
            let served = {
                let serve = self.serve_one(&mut connection).fuse();
                pin_mut!(serve);
                select_biased! {
                    // A worker that ends closes all its connections.
                    _ = stop => None,
                    served = serve => served,
                }
            };
            if served.is_none() {
                return;
            }
        }
    }

    /// Serves one request; `None` if the connection is over.
    async fn serve_one(&self, connection: &mut Connection) -> Option<()> {
        let request = connection.read_request().await.ok()??;
        let work = self.work(&request).fuse();
        let (answer, quirk) = {
            let closed = connection.closed().fuse();
            pin_mut!(work, closed);
            select_biased! {
                end = work => end,
                () = closed => return None,
            }
        };
        let answer = self.dress(answer, &request);
        match quirk {
            Quirk::AnswerLost => None,
            Quirk::Hang => std::future::pending().await,
            Quirk::Truncate => {
                let _ = connection.reply_truncated(&answer).await;
                None
            }
            Quirk::Unframed => {
                let _ = connection.reply(&answer, Coding::Unframed).await;
                None
            }
            Quirk::Close => {
                let mut answer = answer;
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert("connection", close);
                let _ = connection.reply(&answer, Coding::Fixed).await;
                None
            }
            Quirk::Extra => {
                connection.reply(&answer, Coding::Chunked).await.ok()?;
                monoio::time::sleep(EXTRA_DELAY).await;
                connection.reply(&answer, Coding::Fixed).await.ok()
            }
            Quirk::Error | Quirk::None | Quirk::Shed => {
                connection.reply(&answer, Coding::Fixed).await.ok()
            }
        }
    }

    async fn work(&self, request: &Request<Bytes>) -> (Response<Bytes>, Quirk) {
        if request.uri().path() == "/health" {
            let status = if self.draining.get() {
                StatusCode::SERVICE_UNAVAILABLE
            } else {
                StatusCode::OK
            };
            return (answer(status, ""), Quirk::None);
        }
        let not_run = |status: StatusCode| {
            let mut refusal = answer(status, "not run\n");
            let yes = HeaderValue::from_static("1");
            refusal.headers_mut().insert("x-not-executed", yes);
            (refusal, Quirk::None)
        };
        let expected = text(request, "x-expect-instance");
        if !expected.is_empty() && expected != self.plan.name {
            return (answer(StatusCode::MISDIRECTED_REQUEST, ""), Quirk::None);
        }
        if text(request, "x-request-id").is_empty() {
            return not_run(StatusCode::BAD_REQUEST);
        }
        let conduct = self.conduct.get();
        let befalls = self.random.borrow_mut().chance(conduct.percent);
        let quirk = if befalls { conduct.quirk } else { Quirk::None };
        let arrived = Instant::now();
        let deadline = text(request, "x-deadline-ms").parse().ok();
        let deadline = deadline.map(Duration::from_millis);
        if quirk == Quirk::Shed || !self.slot(arrived, deadline).await {
            return not_run(StatusCode::SERVICE_UNAVAILABLE);
        }
        let _running = Count::new(&self.running);
        self.tell(request, deadline);
        let usual = conduct.work * conduct.slowdown / 100;
        let time = self
            .random
            .borrow_mut()
            .spread(usual, Spread::Lognormal(0.3));
        monoio::time::sleep(time).await;
        if quirk == Quirk::Error {
            return (answer(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"), quirk);
        }
        let id = text(request, "x-request-id");
        (answer(StatusCode::OK, body_of(&id, &self.plan.name)), quirk)
    }

    /// Waits for a slot; false if there is none in time.
    async fn slot(&self, arrived: Instant, deadline: Option<Duration>) -> bool {
        if self.waiting.get() >= self.plan.slots * QUEUE_PER_SLOT {
            return false;
        }
        let _waiting = Count::new(&self.waiting);
        while self.running.get() >= self.plan.slots {
            monoio::time::sleep(SLOT_POLL).await;
            if deadline.is_some_and(|deadline| arrived.elapsed() >= deadline) {
                return false;
            }
        }
        true
    }

    fn tell(&self, request: &Request<Bytes>, deadline: Option<Duration>) {
        let run = WorkerRun {
            body: request.body().clone(),
            caller: text(request, "x-caller-service"),
            deadline,
            id: text(request, "x-request-id"),
            line: format!("{} {}", request.method(), request.uri()),
            service: self.plan.service.clone(),
            started: Instant::now(),
            worker: self.plan.name.clone(),
        };
        let _ = self.witness.unbounded_send(run);
    }

    /// Adds the headers of every answer.
    fn dress(&self, mut answer: Response<Bytes>, request: &Request<Bytes>) -> Response<Bytes> {
        let load = format!(
            "{},{},{},{}",
            self.running.get(),
            self.waiting.get(),
            self.plan.slots,
            self.conduct.get().slowdown
        );
        let id = text(request, "x-request-id");
        let seal = format!("{}.{id}", self.plan.name);
        let headers = [
            ("x-instance-id", self.plan.name.clone()),
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

fn text(request: &Request<Bytes>, name: &str) -> String {
    let value = request.headers().get(name);
    value
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
