//! The operators' listener over a loopback socket, with stubs of the other tasks.

use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::mpsc;
use hawthornwall_core::config::{Change, Patch};
use hawthornwall_core::prelude::*;
use hawthornwall_node::admin::{Admin, Identity, run};
use hawthornwall_node::clock::Clock;
use hawthornwall_node::messages::{
    ControlMessage, ControlStatus, GateMessage, GateSender, GateStatus, Member, PeersMessage,
    PeersStatus, RoutingState,
};
use hawthornwall_node::telemetry::{Event, Telemetry, run as run_telemetry};
use insta::assert_snapshot;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use rstest::rstest;

const STATUS: &str = "GET /status HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

/// Behaviour of the stubs.
#[derive(Clone, Copy)]
struct Setup {
    gate: TargetState,
    gate_replies: bool,
    ready: bool,
    version: u64,
}

const SERVING: Setup = Setup {
    gate: TargetState::Serving,
    gate_replies: true,
    ready: true,
    version: 1,
};

/// The messages that the stubs received.
#[derive(Debug, Default, Eq, PartialEq)]
struct Received {
    drained: bool,
    leaving: bool,
}

fn routing(version: u64) -> Rc<RoutingState> {
    let patch = Patch {
        author: "trainee".to_owned(),
        base: Version(0),
        changes: vec![Change::CreateService {
            name: "calendar".to_owned(),
            hosts: std::collections::BTreeSet::new(),
            rules: hawthornwall_core::config::Rules::default(),
        }],
        note: String::new(),
        time: String::new(),
    };
    let empty = Configuration::default();
    let config = match version {
        0 => empty,
        _ => empty.replay(&patch).expect("the patch is valid"),
    };
    Rc::new(RoutingState {
        config,
        ..RoutingState::default()
    })
}

async fn control(mut inbox: mpsc::UnboundedReceiver<ControlMessage>, setup: Setup) -> bool {
    let mut leaving = false;
    while let Some(message) = inbox.next().await {
        match message {
            ControlMessage::Config(reply) => drop(reply.send(routing(setup.version))),
            ControlMessage::Leaving => leaving = true,
            ControlMessage::Ready(reply) => drop(reply.send(setup.ready)),
            ControlMessage::Status(reply) => {
                let member = Member {
                    expect: None,
                    instance: None,
                    leaving: false,
                    peer: ([127, 0, 0, 1], 9001).into(),
                };
                let status = ControlStatus {
                    digest: 7,
                    evacuated: ["dk-2".to_owned()].into(),
                    in_force_ms: 1_500,
                    members: [("calendar-1".to_owned(), member)].into(),
                    neighbours: 4,
                    platform_reads: 3,
                    ready: setup.ready,
                    skipped: vec!["patch 1 by trainee: the patch holds no change".to_owned()],
                    version: Version(setup.version),
                    watching: true,
                };
                let _ = reply.send(status);
            }
            other @ (ControlMessage::StoreUpdate { .. }
            | ControlMessage::Exchange { .. }
            | ControlMessage::Exchanged { .. }
            | ControlMessage::Platform(_)) => {
                panic!("the admin task doesn't send {other:?}")
            }
        }
    }
    leaving
}

async fn gate(mut inbox: mpsc::UnboundedReceiver<GateMessage>, setup: Setup) -> bool {
    let mut drained = false;
    let mut unanswered = Vec::new();
    while let Some(message) = inbox.next().await {
        match message {
            GateMessage::Drain(_) => drained = true,
            GateMessage::Status(reply) if !setup.gate_replies => unanswered.push(reply),
            GateMessage::Status(reply) => {
                let mut status = GateStatus::default();
                status.report.state = setup.gate;
                let _ = reply.send(status);
            }
            other => panic!("the admin task doesn't send {other:?}"),
        }
    }
    drained
}

async fn peers(mut inbox: mpsc::UnboundedReceiver<PeersMessage>) {
    while let Some(message) = inbox.next().await {
        if let PeersMessage::Status(reply) = message {
            let _ = reply.send(PeersStatus::default());
        }
    }
}

/// Sends `requests` in order on one connection; returns the responses and the messages to the stubs.
async fn exchange(setup: Setup, requests: &[&str]) -> (String, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let (control_sender, control_inbox) = mpsc::unbounded();
    let (gate_sender, gate_inbox) = mpsc::unbounded();
    let (peers_sender, peers_inbox) = mpsc::unbounded();
    let (telemetry, telemetry_inbox) = Telemetry::channel();
    let (elapsed, outcome) = (Duration::from_millis(3), Outcome::Answered);
    telemetry.record(Event::Request { elapsed, outcome });
    let control = monoio::spawn(control(control_inbox, setup));
    let gate = monoio::spawn(gate(gate_inbox, setup));
    monoio::spawn(peers(peers_inbox));
    monoio::spawn(run_telemetry(telemetry_inbox, None));
    let admin = Admin {
        clock: Clock::start(),
        control: control_sender,
        gate: GateSender::new(gate_sender),
        identity: Identity {
            domain: "dk-1".to_owned(),
            instance: InstanceId(0x9f),
            name: "calendar-1".to_owned(),
        },
        memory: hawthornwall_node::memory::Memory::default(),
        peers: peers_sender,
        telemetry,
    };
    let text = {
        let server = run(listener, Rc::new(admin));
        let client = send_requests(address, requests);
        futures::pin_mut!(server, client);
        match futures::future::select(client, server).await {
            futures::future::Either::Left((text, _)) => text,
            futures::future::Either::Right(((), _)) => panic!("the admin task ended"),
        }
    };
    let (leaving, drained) = (control.await, gate.await);
    (text, Received { drained, leaving })
}

async fn send_requests(address: std::net::SocketAddr, requests: &[&str]) -> String {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the listener accepts");
    for request in requests {
        let (result, _) = stream.write_all(request.as_bytes().to_vec()).await;
        result.expect("the request is taken");
    }
    let mut text = Vec::new();
    loop {
        let (result, chunk) = stream.read(vec![0; 4096]).await;
        match result {
            Ok(length) if length > 0 => text.extend_from_slice(&chunk[..length]),
            Ok(_) | Err(_) => break,
        }
    }
    String::from_utf8(text).expect("responses are text")
}

fn in_runtime<T>(future: impl Future<Output = T>) -> T {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the runtime starts")
        .block_on(future)
}

/// The response with its JSON body indented, without `Content-Length`, and with the uptime and the digest
/// replaced.
fn normalize(response: &str) -> String {
    let (head, body) = response
        .split_once("\r\n\r\n")
        .expect("the response has a head");
    let mut body: serde_json::Value = serde_json::from_str(body).expect("the body is JSON");
    if let Some(uptime) = body.get_mut("uptime_ms") {
        assert!(uptime.is_u64());
        *uptime = "[age]".into();
    }
    // The digest depends on the encoding of patches, which these tests don't cover.
    if body.get("digest").is_some() {
        body["digest"] = "[digest]".into();
    }
    let length = |line: &&str| !line.starts_with("Content-Length");
    let head: Vec<_> = head.lines().filter(length).collect();
    format!("{}\n\n{body:#}", head.join("\n"))
}

/// Guards against a status page that reports readiness without a configuration, or hides that a task doesn't
/// reply.
#[rstest]
#[case::serving("serving", SERVING)]
#[case::no_configuration("starting", Setup { version: 0, ..SERVING })]
#[case::other_sources_awaited("awaiting", Setup { ready: false, ..SERVING })]
#[case::draining("draining", Setup { gate: TargetState::Draining, ..SERVING })]
#[case::target_down("down", Setup { gate: TargetState::Down, ..SERVING })]
#[case::silent_gate("unresponsive", Setup { gate_replies: false, ..SERVING })]
fn status(#[case] name: &str, #[case] setup: Setup) {
    let (text, _) = in_runtime(exchange(setup, &[STATUS]));
    assert_snapshot!(format!("status_{name}"), normalize(&text));
}

/// Guards against invalid requests that are processed or get no response.
#[rstest]
#[case::config(
    "config",
    "GET /config HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
)]
#[case::query("query", "GET /config?x=1 HTTP/1.0\r\n\r\n")]
#[case::unknown_page(
    "unknown_page",
    "GET /pages HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
)]
#[case::wrong_method(
    "wrong_method",
    "GET /drain HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
)]
#[case::two_lengths(
    "two_lengths",
    "POST /drain HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"
)]
#[case::chunked(
    "chunked",
    "POST /drain HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)]
#[case::long_body(
    "long_body",
    "POST /drain HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n"
)]
#[case::no_host("no_host", "GET /status HTTP/1.1\r\n\r\n")]
#[case::no_http("no_http", "hello\r\n\r\n")]
fn page(#[case] name: &str, #[case] request: &str) {
    let (text, received) = in_runtime(exchange(SERVING, &[request]));
    assert_snapshot!(name, normalize(&text));
    assert_eq!(received, Received::default());
}

/// Guards against buffering a head of unlimited length.
#[test]
fn long_head() {
    let request = format!("GET / HTTP/1.1\r\nHost: {}\r\n\r\n", "a".repeat(9_000));
    let (text, _) = in_runtime(exchange(SERVING, &[&request]));
    assert!(text.starts_with("HTTP/1.1 431 "), "{text}");
}

/// Guards against showing a configuration before one is in force.
#[test]
fn config_before_the_first() {
    let setup = Setup {
        version: 0,
        ..SERVING
    };
    let request = "GET /config HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let (text, _) = in_runtime(exchange(setup, &[request]));
    assert_snapshot!(normalize(&text));
}

/// Guards against a drain request that reaches only one of the `control` and `gate` tasks.
#[test]
fn drain() {
    let request =
        "POST /drain HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
    let (text, received) = in_runtime(exchange(SERVING, &[request]));
    assert_snapshot!(normalize(&text));
    let all = Received {
        drained: true,
        leaving: true,
    };
    assert_eq!(received, all);
}

/// Guards against closing the connection after a request, and against parsing a body as the next request.
#[test]
fn several_requests_on_one_connection() {
    let first = "GET /config HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET /c";
    let second = "onfig HTTP/1.1\r\nHost: a\r\n\r\n";
    let (text, _) = in_runtime(exchange(SERVING, &[first, second, STATUS]));
    let lines: Vec<_> = text
        .lines()
        .filter(|l| l.starts_with("HTTP/") || l.starts_with("Conn"))
        .collect();
    assert_snapshot!(lines.join("\n"));
}

const METRICS: &str = "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
const READY: &str = "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

/// Guards against metrics that a collector can't parse, and events missing in them.
#[test]
fn metrics() {
    let (text, _) = in_runtime(exchange(SERVING, &[METRICS]));
    assert_snapshot!(text.replace('\r', ""));
}

/// Guards against reporting readiness to health checks before the daemon can route requests.
#[rstest]
#[case::ready("ready", SERVING)]
#[case::not_ready("not_ready", Setup { ready: false, ..SERVING })]
fn ready(#[case] name: &str, #[case] setup: Setup) {
    let (text, _) = in_runtime(exchange(setup, &[READY]));
    assert_snapshot!(name, normalize(&text));
}
