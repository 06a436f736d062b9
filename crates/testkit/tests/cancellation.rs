//! Tests of cancellation by the caller and of targets that never answer.

use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

use hawthornwall_testkit::http1::json_once;
use hawthornwall_testkit::launcher::{Cluster, ClusterOptions, Deployment};
use serde_json::{Value, json};

const GET: &[u8] = b"GET /calendar/a HTTP/1.1\r\nhost: a\r\n\r\n";

fn start(behaviour: Value, settings: Value) -> Cluster {
    let options = ClusterOptions {
        behaviour,
        settings,
        ..ClusterOptions::default()
    };
    Cluster::start(Deployment::Small, options).expect("the deployment starts")
}

/// Returns the sum of a counter over the targets of the calendar service.
fn total(cluster: &Cluster, counter: &str) -> u64 {
    let nodes = cluster.nodes.iter().filter(|n| n.service == "calendar");
    let stats =
        nodes.map(|n| json_once(n.addresses.control, "GET", "/stats", "").expect("counters"));
    stats.map(|s| s[counter].as_u64().unwrap_or_default()).sum()
}

/// Guards against an idempotent request that keeps its slot at the target after its caller has
/// closed the connection: the slot would be missing for other callers.
#[test]
fn a_closed_caller_connection_frees_the_slot() {
    let cluster = start(
        json!({ "mean_us": 3_000_000, "spread": "fixed" }),
        json!({}),
    );
    let mut caller = TcpStream::connect(cluster.nodes[0].addresses.caller).expect("a connection");
    caller.write_all(GET).expect("the request is sent");
    let sent = Instant::now();
    while total(&cluster, "started") == 0 {
        assert!(
            sent.elapsed() < Duration::from_secs(1),
            "the request never started"
        );
        sleep(Duration::from_millis(10));
    }
    drop(caller);
    sleep(Duration::from_millis(300));
    assert_eq!(total(&cluster, "cancelled"), total(&cluster, "started"));
}

/// Guards against a target that is still preferred although its requests expire and other targets
/// answer. Its daemon is alive and reports low load.
#[test]
fn a_silent_target_is_avoided() {
    let cluster = start(json!({ "mean_us": 1_000, "spread": "fixed" }), json!({}));
    let first = &cluster.nodes[0];
    json_once(
        first.addresses.control,
        "POST",
        "/control",
        r#"{"silent":true}"#,
    )
    .expect("a change");
    let answered = (0..40).filter(|_| {
        let mut caller = TcpStream::connect(first.addresses.caller).expect("a connection");
        caller.write_all(b"POST /calendar/a HTTP/1.1\r\nhost: a\r\nhawthornwall-deadline: 100\r\ncontent-length: 0\r\nconnection: close\r\n\r\n").expect("the request is sent");
        let mut answer = String::new();
        let _ = std::io::Read::read_to_string(&mut caller, &mut answer);
        answer.starts_with("HTTP/1.1 200")
    });
    let answered = answered.count();
    assert!(answered >= 34, "{answered} of 40 answered");
}
