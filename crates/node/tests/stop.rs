//! A planned stop over loopback, with requests of every length in each tenth of the grace.

#[path = "common/ingress.rs"]
mod ingress;
#[path = "common/runtime.rs"]
mod runtime;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use futures::future::join_all;
use hawthornwall_core::prelude::*;
use hawthornwall_core::stop::StopPlan;
use hawthornwall_node::clock::Clock;
use hawthornwall_node::messages::GateMessage;
use hawthornwall_wire::peer::{HttpAnswer, RunReply, RunResult};
use insta::assert_snapshot;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use monoio::time::{sleep, timeout};

use ingress::{Started, settings, start};
use runtime::block_on;

const GRACE: Duration = Duration::from_secs(3);
/// Configured length of the announcement; the plan shortens it.
const ANNOUNCE: Duration = Duration::from_millis(2_500);
/// Time from the start of the drain until the target has finished its work.
const DRAIN: Duration = Duration::from_millis(300);
/// Grace of the stop with answered requests before it.
const LONG_GRACE: Duration = Duration::from_secs(6);
/// Requests that arrive later than this after the signal, or than half of the grace, may not be broken off.
const UNNOTICED: Duration = Duration::from_secs(3);
/// Requests of each kind before the stop, and in each tenth of the grace.
const REPEATS: usize = 10;
/// Number in the paths of the requests before the stop, in place of a tenth of the grace.
const BEFORE: u32 = 99;
/// Service times of the requests, in milliseconds.
const LENGTHS: [u64; 4] = [20, 400, 1_500, 8_000];

/// What a caller saw of its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Seen {
    Closed,
    NotConnected,
    Status(u16),
}

/// Paths of the requests that the gate received.
type Passed = Rc<RefCell<BTreeSet<String>>>;

/// Answers each request after the time that its path states in milliseconds.
async fn run_gate(mut messages: mpsc::UnboundedReceiver<GateMessage>, passed: Passed) {
    while let Some(message) = messages.next().await {
        let GateMessage::Run { id, reply, run, .. } = message else {
            continue;
        };
        let path = run.http.path.clone();
        let length = path.rsplit('/').next().and_then(|text| text.parse().ok());
        passed.borrow_mut().insert(path);
        monoio::spawn(async move {
            sleep(Duration::from_millis(length.unwrap_or(0))).await;
            let answer = HttpAnswer {
                body: bytes::Bytes::from_static(b"done"),
                headers: Vec::new(),
                status: 200,
            };
            let _ = reply.send(RunReply {
                result: RunResult::Answered(answer),
                held: Duration::ZERO,
                id,
                report: LoadReport::default(),
            });
        });
    }
}

/// Sends one request at `at` and reads until the connection closes or a whole head has arrived.
async fn call(address: SocketAddr, at: Duration, path: &str) -> Seen {
    sleep(at).await;
    let Ok(mut stream) = TcpStream::connect_addr(address).await else {
        return Seen::NotConnected;
    };
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nx-deadline-ms: 10000\r\ncontent-length: 0\r\n\r\n"
    );
    let _ = stream.write_all(request.into_bytes()).await;
    let mut received = Vec::new();
    while let (Ok(1..), bytes) = stream.read(Vec::with_capacity(4 << 10)).await {
        received.extend_from_slice(&bytes);
        let text = String::from_utf8_lossy(&received);
        if let Some(status) = text.strip_prefix("HTTP/1.1 ").and_then(|t| t.get(..3)) {
            return Seen::Status(status.parse().unwrap_or(0));
        }
    }
    Seen::Closed
}

/// Whether the caller may see this of a request that arrived `at` after the signal, and was passed on or not.
fn is_allowed(seen: Option<Seen>, passed: bool, at: Duration, grace: Duration) -> bool {
    match seen {
        Some(Seen::Status(503) | Seen::Closed | Seen::NotConnected) => !passed,
        Some(Seen::Status(200)) => passed,
        // Only what arrived before callers noticed the stop may still run at the end.
        Some(Seen::Status(_)) => passed && at <= UNNOTICED.min(grace / 2),
        None => false,
    }
}

/// A daemon with a gate that answers after the time that a path states.
struct Daemon {
    address: SocketAddr,
    clock: Clock,
    drained: oneshot::Sender<()>,
    passed: Passed,
    stop: oneshot::Sender<StopPlan>,
}

impl Daemon {
    /// Starts the tasks between a caller and the gate; must be called on a runtime.
    fn start() -> Self {
        let clock = Clock::start();
        let Started {
            address,
            drained,
            gate,
            ingress: _ingress,
            router: _router,
            stop,
        } = start(&settings(""), clock);
        let passed = Passed::default();
        monoio::spawn(run_gate(gate, Rc::clone(&passed)));
        Self {
            address,
            clock,
            drained,
            passed,
            stop,
        }
    }

    /// Sends `paths` at once; all of them are answered.
    async fn serve(&self, paths: &[String]) {
        let calls = paths.iter().map(|p| call(self.address, Duration::ZERO, p));
        let seen = join_all(calls).await;
        assert!(seen.iter().all(|s| *s == Seen::Status(200)), "{seen:?}");
    }

    /// Stops the daemon, sends `requests`, and returns what became of each. If `drains`, the target finishes its
    /// work a while after the drain began; otherwise it has work until the end.
    async fn stop(self, grace: Duration, drains: bool, requests: Vec<Request>) -> Vec<Ended> {
        let plan = StopPlan::new(self.clock.now(), grace, ANNOUNCE);
        let _ = self.stop.send(plan);
        let drained = self.drained;
        monoio::spawn(async move {
            if drains {
                sleep(self.clock.until(plan.drain_at()) + DRAIN).await;
            } else {
                sleep(grace).await;
            }
            let _ = drained.send(());
        });
        let calls = requests.iter().map(|request| async {
            let limit = self.clock.until(plan.end());
            let call = call(self.address, request.at(grace), &request.path);
            timeout(limit, call).await.ok()
        });
        let seen = join_all(calls).await;
        let passed = self.passed.borrow();
        let ends = requests.into_iter().zip(seen);
        ends.map(|(request, seen)| Ended {
            passed: passed.contains(&request.path),
            request,
            seen,
        })
        .collect()
    }
}

/// A request that is sent in a tenth of the grace.
struct Request {
    kind: &'static str,
    /// Service time, in milliseconds.
    length: u64,
    path: String,
    tenth: u32,
}

impl Request {
    fn new(kind: &'static str, tenth: u32, number: usize, length: u64) -> Self {
        Self {
            kind,
            length,
            path: format!("/{kind}/{tenth}/{number}/{length}"),
            tenth,
        }
    }

    /// Time from the signal until the request is sent.
    fn at(&self, grace: Duration) -> Duration {
        grace * self.tenth / 10 + grace / 25
    }
}

/// What became of a request.
struct Ended {
    /// Whether the gate received it.
    passed: bool,
    request: Request,
    seen: Option<Seen>,
}

impl Ended {
    /// Describes the end if the caller may not see it.
    fn fault(&self, grace: Duration) -> Option<String> {
        let Self { passed, seen, .. } = *self;
        let Request { path, .. } = &self.request;
        let allowed = is_allowed(seen, passed, self.request.at(grace), grace);
        (!allowed).then(|| format!("{path}: passed on: {passed}, seen: {seen:?}"))
    }
}

/// Ends of the requests of one kind in one tenth of the grace.
#[derive(Debug, Default)]
struct Tally {
    broken: usize,
    refused: usize,
    served: usize,
}

impl Tally {
    fn count(&mut self, ended: &Ended) {
        match ended.seen {
            Some(Seen::Status(200)) => self.served += 1,
            Some(Seen::Closed | Seen::NotConnected | Seen::Status(_)) | None if ended.passed => {
                self.broken += 1;
            }
            Some(Seen::Closed | Seen::NotConnected | Seen::Status(_)) | None => self.refused += 1,
        }
    }
}

/// Guards against requests that are taken late in a planned stop and then cut without an answer, against
/// refusals of requests that have been passed on, and against a stop that serves nothing.
#[test]
fn requests_in_each_tenth_of_the_grace() {
    let lines = block_on(async {
        let mut requests = Vec::new();
        for tenth in 0..10 {
            for kind in ["read", "order"] {
                requests.extend(LENGTHS.map(|length| Request::new(kind, tenth, 0, length)));
            }
        }
        let mut lines = Vec::new();
        for ended in Daemon::start().stop(GRACE, true, requests).await {
            lines.extend(ended.fault(GRACE));
            if ended.request.tenth < 4 && ended.request.length < 500 {
                lines.push(format!("{}: {:?}", ended.request.path, ended.seen));
            }
        }
        lines.join("\n")
    });
    assert_snapshot!(lines);
}

/// Guards against requests that are taken late in a planned stop although answers of their route have lately
/// taken longer than what is left, and are broken off while their target is at work.
#[test]
fn late_requests_are_answered_or_refused() {
    let lines = block_on(async {
        let kinds = [("read", 20), ("order", 2_100)];
        let numbered = |tenth: u32| {
            kinds.into_iter().flat_map(move |(kind, length)| {
                (0..REPEATS).map(move |number| Request::new(kind, tenth, number, length))
            })
        };
        let daemon = Daemon::start();
        let before: Vec<_> = numbered(BEFORE).map(|request| request.path).collect();
        daemon.serve(&before).await;
        let requests = (0..10).flat_map(numbered).collect();
        let mut tallies = BTreeMap::<_, Tally>::new();
        let mut faults = Vec::new();
        for ended in daemon.stop(LONG_GRACE, false, requests).await {
            let cell = (ended.request.kind, ended.request.tenth);
            tallies.entry(cell).or_default().count(&ended);
            faults.extend(ended.fault(LONG_GRACE));
        }
        let rows = tallies
            .iter()
            .map(|(cell, tally)| format!("{cell:?}: {tally:?}"));
        rows.chain(faults).collect::<Vec<_>>().join("\n")
    });
    assert_snapshot!(lines);
}
