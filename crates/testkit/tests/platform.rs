//! Tests of the fake platform.

mod common;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use common::{any_port, ask, on_thread};
use hawthornwall_testkit::platform::serve;
use insta::assert_snapshot;
use rstest::rstest;

const FIRST: &str = r#"PUT /config | {"patches":[]}"#;
const LIST: &str = r#"PUT /instances | {"revision":0,"instances":[]}"#;

fn start() -> SocketAddr {
    on_thread(|| serve(any_port(), None))
}

fn transcript(address: SocketAddr, requests: &[&str]) -> String {
    let line = |request: &&str| format!("{request}\n    {}", ask(address, request));
    requests.iter().map(line).collect::<Vec<_>>().join("\n")
}

// Guards against a fake whose answers differ from the platform's design: tests of the daemons
// against it would prove nothing.
#[rstest]
#[case::nothing_published("nothing", &["GET /config?since=0&wait=0", "GET /instances", "GET /stats"])]
#[case::revisions("revisions", &[FIRST, "GET /config", "GET /config?since=1&wait=0", FIRST,
    "GET /config?since=1&wait=0", LIST, "GET /instances?since=0&wait=0", "GET /stats"])]
#[case::invalid("invalid", &[r#"PUT /config | {"patch":[]}"#, "PUT /instances | []",
    "PUT /config?unchecked=1 | not json", "GET /config", "GET /other"])]
#[case::down("down", &[FIRST, r#"POST /fault | {"down":true}"#, "GET /config", "GET /instances",
    "POST /fault | {}", "GET /config", "GET /stats"])]
#[case::stale("stale", &[FIRST, r#"POST /fault | {"stale":true}"#, FIRST, "GET /config",
    "POST /fault | {}", "GET /config"])]
#[case::lag("lag", &[LIST, r#"POST /fault | {"lag_ms":60000}"#, LIST, "GET /instances", FIRST,
    "GET /config"])]
fn answers(#[case] name: &str, #[case] requests: &[&str]) {
    assert_snapshot!(name, transcript(start(), requests));
}

// Guards against a watch that ends too early or too late, or misses a value published while it is
// open. `ms` is the allowed range in milliseconds.
#[rstest]
#[case::nothing_new("GET /config?since=1&wait=300", LIST, "304", 300..450)]
#[case::published("GET /config?since=1&wait=5000", FIRST, "200 revision=2", 100..250)]
#[case::lagging("GET /instances?since=0&wait=5000", LIST, "200 revision=1", 300..450)]
fn watches(
    #[case] request: &str,
    #[case] publish: &'static str,
    #[case] start_of_answer: &str,
    #[case] ms: std::ops::Range<u128>,
) {
    let address = start();
    ask(address, FIRST);
    ask(address, r#"POST /fault | {"lag_ms":200}"#);
    let started = Instant::now();
    let publisher = thread::spawn(move || {
        thread::sleep(Duration::from_millis(100));
        ask(address, publish);
    });
    let answer = ask(address, request);
    let waited = started.elapsed().as_millis();
    publisher.join().expect("the publisher ends");
    assert!(answer.starts_with(start_of_answer), "{answer}");
    assert!(ms.contains(&waited), "waited {waited} ms");
}
