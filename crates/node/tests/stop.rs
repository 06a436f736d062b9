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
use futures::channel::mpsc;
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
                body: b"done".to_vec(),
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

/// Whether the caller may see this of a request that was passed on or not.
fn is_allowed(seen: Option<Seen>, passed: bool) -> bool {
    match seen {
        Some(Seen::Status(503) | Seen::Closed | Seen::NotConnected) => !passed,
        Some(Seen::Status(_)) => passed,
        None => false,
    }
}

/// Guards against requests that are taken late in a planned stop and then cut without an answer, against
/// refusals of requests that have been passed on, and against a stop that serves nothing.
#[test]
fn requests_in_each_tenth_of_the_grace() {
    let lines = block_on(async {
        let clock = Clock::start();
        let Started {
            address,
            drained,
            gate,
            stop,
        } = start(&settings(""), clock);
        let passed = Passed::default();
        monoio::spawn(run_gate(gate, Rc::clone(&passed)));
        let plan = StopPlan::new(clock.now(), GRACE, ANNOUNCE);
        let _ = stop.send(plan);
        monoio::spawn(async move {
            sleep(clock.until(plan.drain_at()) + DRAIN).await;
            let _ = drained.send(());
        });
        let mut calls = Vec::new();
        for tenth in 0..10 {
            for kind in ["read", "order"] {
                for length in LENGTHS {
                    let path = format!("/{kind}/{tenth}/{length}");
                    let at = GRACE * tenth / 10 + GRACE / 25;
                    calls.push(async move {
                        let limit = clock.until(plan.end());
                        let seen = timeout(limit, call(address, at, &path)).await.ok();
                        (path, tenth, length, seen)
                    });
                }
            }
        }
        let mut lines = Vec::new();
        for (path, tenth, length, seen) in join_all(calls).await {
            let passed = passed.borrow().contains(&path);
            if !is_allowed(seen, passed) {
                lines.push(format!("{path}: passed on: {passed}, seen: {seen:?}"));
            }
            if tenth < 4 && length < 500 {
                lines.push(format!("{path}: {seen:?}"));
            }
        }
        lines.join("\n")
    });
    assert_snapshot!(lines);
}

/// Grace of the stop with answered requests before it.
const LONG_GRACE: Duration = Duration::from_secs(6);
/// Requests that arrive later than this after the signal may not be broken off.
const UNNOTICED: Duration = Duration::from_secs(3);
/// Requests of each kind before the stop, and in each tenth of the grace.
const REPEATS: usize = 10;

/// Ends of the requests of one kind in one tenth of the grace.
#[derive(Debug, Default)]
struct Tally {
    broken: usize,
    refused: usize,
    served: usize,
}

impl Tally {
    fn count(&mut self, seen: Option<Seen>, passed: bool) {
        match seen {
            Some(Seen::Status(200)) => self.served += 1,
            _ if passed => self.broken += 1,
            _ => self.refused += 1,
        }
    }
}

/// Guards against requests that are taken late in a planned stop although answers of their route have lately
/// taken longer than what is left, and are broken off while their target is at work.
#[test]
fn late_requests_are_answered_or_refused() {
    let lines = block_on(async {
        let clock = Clock::start();
        let Started {
            address,
            drained,
            gate,
            stop,
        } = start(&settings(""), clock);
        let passed = Passed::default();
        monoio::spawn(run_gate(gate, Rc::clone(&passed)));
        let kinds = [("read", 20), ("order", 2_100)];
        let before = kinds.iter().flat_map(|(kind, length)| {
            (0..REPEATS).map(move |n| (format!("/{kind}/before/{n}/{length}"), n))
        });
        let before =
            before.map(|(path, _)| async move { call(address, Duration::ZERO, &path).await });
        assert!(
            join_all(before)
                .await
                .iter()
                .all(|s| *s == Seen::Status(200))
        );

        let plan = StopPlan::new(clock.now(), LONG_GRACE, ANNOUNCE);
        let _ = stop.send(plan);
        let mut calls = Vec::new();
        for (kind, length) in kinds {
            for tenth in 0..10 {
                for n in 0..REPEATS {
                    let path = format!("/{kind}/{tenth}/{n}/{length}");
                    let at = LONG_GRACE * tenth / 10 + LONG_GRACE / 25;
                    calls.push(async move {
                        let limit = clock.until(plan.end());
                        let seen = timeout(limit, call(address, at, &path)).await.ok();
                        ((kind, tenth), path, at, seen)
                    });
                }
            }
        }
        let mut tallies = BTreeMap::<_, Tally>::new();
        let mut faults = Vec::new();
        for (cell, path, at, seen) in join_all(calls).await {
            let passed = passed.borrow().contains(&path);
            tallies.entry(cell).or_default().count(seen, passed);
            if at > UNNOTICED && passed && seen != Some(Seen::Status(200)) {
                faults.push(format!("{path}: passed on at {at:?}, seen: {seen:?}"));
            }
        }
        // The target still has work until the end.
        drop(drained);
        let rows = tallies
            .iter()
            .map(|(cell, tally)| format!("{cell:?}: {tally:?}"));
        rows.chain(faults).collect::<Vec<_>>().join("\n")
    });
    assert_snapshot!(lines);
}
