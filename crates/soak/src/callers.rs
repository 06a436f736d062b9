//! Simulated callers. Each sends one request at a time, to varying daemons, and reuses its connection for
//! most requests.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hawthornwall_testkit::http1::Connection;
use hawthornwall_testkit::random::Random;
use http::{Request, Response};

use crate::fleet::Fleet;
use crate::history::{History, RequestEnd, SentRequest};

/// Mean time between an answer and the next request of a caller.
const MEAN_PAUSE: Duration = Duration::from_millis(120);
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Deadline that requests state.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time after the deadline for which a caller still accepts an answer.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// Percentage of requests whose caller closes the connection after a random time.
const DISCONNECT_PERCENT: u32 = 4;
/// Percentage of requests that are sent over a new connection.
const RECONNECT_PERCENT: u32 = 15;
/// Number of newest configuration versions whose routes callers request.
const TESTED_VERSIONS: usize = 2;
/// Host name that all routes match.
pub(crate) const HOST: &str = "soak.example";

/// State that all callers share.
pub(crate) struct Traffic {
    /// Factor by which the request rate is raised.
    pub burst: Cell<u32>,
    pub daemons: Vec<Endpoint>,
    pub fleet: Rc<Fleet>,
    pub history: RefCell<History>,
    pub stop: Cell<bool>,
    /// All configuration versions written so far, in ascending order.
    pub versions: RefCell<Vec<u64>>,
}

/// Caller listener of a daemon.
pub(crate) struct Endpoint {
    pub address: SocketAddr,
    /// Service to which the daemon attributes requests of its callers.
    pub origin: String,
}

struct Caller {
    connection: Option<(usize, Connection)>,
    next: u64,
    number: usize,
    random: Random,
    traffic: Rc<Traffic>,
}

/// Sends requests until [`Traffic::stop`] is set.
pub(crate) async fn run(number: usize, seed: u64, traffic: Rc<Traffic>) {
    let mut caller = Caller {
        connection: None,
        next: 0,
        number,
        random: Random::new(seed.wrapping_mul(1_000) + number as u64),
        traffic,
    };
    while !caller.traffic.stop.get() {
        let pause = caller.random.exponential(MEAN_PAUSE) / caller.traffic.burst.get();
        monoio::time::sleep(pause).await;
        caller.request().await;
    }
}

impl Caller {
    async fn request(&mut self) {
        let id = format!("{:x}-{:x}", self.number, self.next);
        self.next += 1;
        let daemon = self.choose_daemon();
        let kept = self.connection.take().filter(|(of, _)| *of == daemon);
        let (sent, request) = self.random_request(&id, daemon);
        let disconnects = self
            .random
            .chance(DISCONNECT_PERCENT)
            .then(|| self.random.exponential(Duration::from_millis(60)));
        let connection = match kept {
            Some((_, connection)) => Some(connection),
            None => self.connect(daemon).await,
        };
        let sent = SentRequest {
            at: Instant::now(),
            ..sent
        };
        let traffic = Rc::clone(&self.traffic);
        traffic.history.borrow_mut().record_sent(&id, sent);
        let end = |ended: RequestEnd| {
            let now = Instant::now();
            traffic.history.borrow_mut().record_end(&id, ended, now);
        };
        let Some(mut connection) = connection else {
            return end(RequestEnd::NotConnected);
        };
        let limit = disconnects.unwrap_or(DEADLINE + DEADLINE_GRACE);
        match monoio::time::timeout(limit, connection.exchange(&request)).await {
            Err(_) => end(RequestEnd::Disconnected),
            Ok(Err(_)) => end(RequestEnd::Closed),
            Ok(Ok(answer)) => {
                end(end_of(&answer));
                let closes = answer.headers().get("connection");
                let kept = closes.is_none_or(|v| v != "close") && connection.is_usable();
                self.connection = kept.then_some((daemon, connection));
            }
        }
    }

    /// Chooses the daemon of the open connection, or sometimes a random one that is ready. A connection
    /// that the daemon has closed isn't reused, since it would be unknown whether a request sent over
    /// it was read.
    fn choose_daemon(&mut self) -> usize {
        let kept = self
            .connection
            .as_mut()
            .and_then(|(of, connection)| connection.is_usable().then_some(*of));
        if kept.is_none() || self.random.chance(RECONNECT_PERCENT) {
            self.connection = None;
        }
        let nodes = &self.traffic.fleet.nodes;
        let ready: Vec<_> = (0..nodes.len()).filter(|n| nodes[*n].ready.get()).collect();
        let any = match ready.len() {
            0 => self.random.below(nodes.len()),
            count => ready[self.random.below(count)],
        };
        self.connection.as_ref().map_or(any, |(of, _)| *of)
    }

    async fn connect(&self, daemon: usize) -> Option<Connection> {
        let open = Connection::open(self.traffic.daemons[daemon].address);
        monoio::time::timeout(CONNECT_TIMEOUT, open)
            .await
            .ok()?
            .ok()
    }

    fn random_request(&mut self, id: &str, daemon: usize) -> (SentRequest, Request<Bytes>) {
        let endpoint = &self.traffic.daemons[daemon];
        let back = self.random.below(TESTED_VERSIONS);
        let tested = self
            .traffic
            .versions
            .borrow()
            .iter()
            .rev()
            .nth(back)
            .copied();
        let (method, path, version) = match self.random.below(10) {
            0..=3 => ("GET", "/get/", None),
            4..=7 => ("POST", "/post/", None),
            8 => ("GET", "/mix/", None),
            _ => ("GET", "/get/", tested),
        };
        let path = match version {
            Some(version) => format!("/v{version}/{id}"),
            None => format!("{path}{id}"),
        };
        let body = if method == "POST" {
            Bytes::from(format!("order {id}\n").repeat(self.random.below(200)))
        } else {
            Bytes::new()
        };
        let request = Request::builder()
            .method(method)
            .uri(&path)
            .header("host", HOST)
            .header("x-request-id", id)
            .header("x-deadline-ms", DEADLINE.as_millis().to_string())
            .body(body.clone())
            .expect("the parts of the request are valid");
        let sent = SentRequest {
            at: Instant::now(),
            body,
            daemon: (daemon, self.traffic.fleet.nodes[daemon].starts.get()),
            deadline: DEADLINE,
            idempotent: method == "GET",
            line: format!("{method} {path}"),
            origin: endpoint.origin.clone(),
            service: match path.as_bytes().get(1) {
                Some(b'p') => Some("orders".to_owned()),
                Some(b'm') => None,
                Some(_) | None => Some("views".to_owned()),
            },
            version,
        };
        (sent, request)
    }
}

fn end_of(answer: &Response<Bytes>) -> RequestEnd {
    let seal = answer.headers().get("x-response-seal");
    RequestEnd::Answer {
        body: answer.body().clone(),
        seal: seal
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned(),
        status: answer.status().as_u16(),
    }
}
