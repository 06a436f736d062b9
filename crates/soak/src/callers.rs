//! Callers: each sends requests to one daemon after another, over connections that it keeps or not.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hawthornwall_testkit::http1::Connection;
use hawthornwall_testkit::random::Random;
use http::{Request, Response};

use crate::fleet::Fleet;
use crate::ledger::{Ended, Ledger, Sent};

/// Mean pause of a caller between two requests.
const GAP: Duration = Duration::from_millis(120);
/// Longest time for a connection to open.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// How long callers wait.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time beyond the deadline in which an answer is still read.
const LATE: Duration = Duration::from_millis(500);
/// Requests in a hundred whose caller leaves early.
const LEAVE_PERCENT: u32 = 4;
/// Requests in a hundred for which a new connection is opened.
const FRESH_PERCENT: u32 = 15;
/// Versions of the configuration, the newest first, whose routes are tested.
const TESTED_VERSIONS: usize = 2;
/// Host of all routes.
pub(crate) const HOST: &str = "soak.example";

/// What all callers share.
pub(crate) struct Traffic {
    /// How many times the usual load.
    pub burst: Cell<u32>,
    pub daemons: Vec<Front>,
    pub fleet: Rc<Fleet>,
    pub ledger: RefCell<Ledger>,
    pub stop: Cell<bool>,
    /// All versions of the configuration so far.
    pub versions: RefCell<Vec<u64>>,
}

/// Where a daemon takes callers.
pub(crate) struct Front {
    pub address: SocketAddr,
    /// The service that its callers' requests come from.
    pub origin: String,
}

struct Caller {
    connection: Option<(usize, Connection)>,
    next: u64,
    number: usize,
    random: Random,
    traffic: Rc<Traffic>,
}

/// Sends requests until it is told to stop.
pub(crate) async fn run(number: usize, seed: u64, traffic: Rc<Traffic>) {
    let mut caller = Caller {
        connection: None,
        next: 0,
        number,
        random: Random::new(seed.wrapping_mul(1_000) + number as u64),
        traffic,
    };
    while !caller.traffic.stop.get() {
        let gap = caller.random.exponential(GAP) / caller.traffic.burst.get();
        monoio::time::sleep(gap).await;
        caller.request().await;
    }
}

impl Caller {
    async fn request(&mut self) {
        let id = format!("{:x}-{:x}", self.number, self.next);
        self.next += 1;
        let daemon = self.choose();
        let kept = self.connection.take().filter(|(of, _)| *of == daemon);
        let (sent, request) = self.draw(&id, daemon);
        let leaves = self
            .random
            .chance(LEAVE_PERCENT)
            .then(|| self.random.exponential(Duration::from_millis(60)));
        let connection = match kept {
            Some((_, connection)) => Some(connection),
            None => self.connect(daemon).await,
        };
        let sent = Sent {
            at: Instant::now(),
            ..sent
        };
        let traffic = Rc::clone(&self.traffic);
        traffic.ledger.borrow_mut().sent(&id, sent);
        let end = |ended: Ended| {
            let now = Instant::now();
            traffic.ledger.borrow_mut().ended(&id, ended, now);
        };
        let Some(mut connection) = connection else {
            return end(Ended::NotConnected);
        };
        let limit = leaves.unwrap_or(DEADLINE + LATE);
        match monoio::time::timeout(limit, connection.exchange(&request)).await {
            Err(_) => end(Ended::Left),
            Ok(Err(_)) => end(Ended::Closed),
            Ok(Ok(answer)) => {
                end(answered(&answer));
                let closes = answer.headers().get("connection");
                let kept = closes.is_none_or(|v| v != "close") && connection.is_usable();
                self.connection = kept.then_some((daemon, connection));
            }
        }
    }

    /// The daemon of the kept connection mostly, any other sometimes. A connection that has closed
    /// meanwhile is not used: what a caller sends into it may have been read or not.
    fn choose(&mut self) -> usize {
        let kept = self
            .connection
            .as_mut()
            .and_then(|(of, connection)| connection.is_usable().then_some(*of));
        if kept.is_none() || self.random.chance(FRESH_PERCENT) {
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
        monoio::time::timeout(CONNECT_LIMIT, open).await.ok()?.ok()
    }

    fn draw(&mut self, id: &str, daemon: usize) -> (Sent, Request<Bytes>) {
        let front = &self.traffic.daemons[daemon];
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
        let sent = Sent {
            at: Instant::now(),
            body,
            daemon: (daemon, self.traffic.fleet.nodes[daemon].starts.get()),
            deadline: DEADLINE,
            idempotent: method == "GET",
            line: format!("{method} {path}"),
            origin: front.origin.clone(),
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

fn answered(answer: &Response<Bytes>) -> Ended {
    let seal = answer.headers().get("x-response-seal");
    Ended::Answer {
        body: answer.body().clone(),
        seal: seal
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned(),
        status: answer.status().as_u16(),
    }
}
