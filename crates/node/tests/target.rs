//! The gate against the answers of a platform's target, scripted over loopback.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use hawthornwall_core::admission::WorkId;
use hawthornwall_core::prelude::*;
use hawthornwall_node::clock::Clock;
use hawthornwall_node::dialect::Dialect;
use hawthornwall_node::gate::{GateStart, Gatekeeper};
use hawthornwall_node::messages::{GateMessage, ProbeMessage};
use hawthornwall_node::telemetry::Telemetry;
use hawthornwall_settings::Settings;
use hawthornwall_wire::peer::{Header, HttpRequest, RequestId, RunReply, RunRequest, RunResult};
use insta::assert_snapshot;
use rstest::rstest;

use common::runtime::block_on;
use common::script::{Connection, serve};

const SEALED: &str = "X-Request-Id: 7\r\nX-Response-Seal: s\r\n";

fn settings(target: SocketAddr) -> Settings {
    let text = format!(
        r#"{{ "name": "t1", "domain": "a", "caller": {{ "listen": "127.0.0.1:1" }},
        "target": {{ "address": "{target}", "silence_ms": 300 }},
        "peer": {{ "listen": "127.0.0.1:2", "secret": "{}" }},
        "platform": {{ "store": "127.0.0.1:3" }}, "admin": {{ "listen": "127.0.0.1:4" }} }}"#,
        "0".repeat(64)
    );
    Settings::parse(&text).expect("the settings are valid")
}

fn request() -> RunRequest {
    RunRequest {
        expected_target: Some("i-1".to_owned()),
        http: HttpRequest {
            body: Vec::new(),
            headers: vec![Header {
                name: "x-request-id".to_owned(),
                value: b"7".to_vec(),
            }],
            method: "GET".to_owned(),
            path: "/a/1".to_owned(),
        },
        key: None,
        time_left: Duration::from_secs(1),
        objective: Duration::ZERO,
        run_once: false,
        max_wait: Duration::MAX,
        rank: 0,
        first_instance: None,
        service: ServiceId(0),
        target: TargetId(1),
        trace: None,
        objective_left: None,
    }
}

/// Sends `count` requests in turn and describes how they ended.
fn ends(connections: Vec<Connection>, count: u64) -> String {
    let (address, lines) = serve(connections);
    let ends = block_on(async {
        let (gate, receiver) = mpsc::unbounded();
        let (probe, _probes) = mpsc::unbounded::<ProbeMessage>();
        let (telemetry, _events) = Telemetry::channel();
        let settings = settings(address);
        monoio::spawn(
            Gatekeeper::new(GateStart {
                clock: Clock::start(),
                dialect: Dialect::Platform,
                instance: InstanceId(1),
                probe,
                receiver,
                settings: &settings,
                telemetry,
            })
            .run(),
        );
        let mut ends = Vec::new();
        for id in 0..count {
            let (reply, end) = oneshot::channel::<RunReply>();
            let _ = gate.unbounded_send(GateMessage::Run {
                id: RequestId(id),
                reply,
                run: Box::new(request()),
                work: WorkId(id),
            });
            // The target states no load here, so the gate is told that it can't be asked.
            let _ = gate.unbounded_send(GateMessage::Loaded(None));
            ends.push(describe(end.await.map(|r| r.result)));
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
        ends
    });
    let lines: Vec<_> = lines.try_iter().collect();
    format!("{}\n{}", lines.join("\n"), ends.join("\n"))
}

fn describe<E>(end: Result<RunResult, E>) -> String {
    match end {
        Ok(RunResult::Answered(answer)) => {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            format!("answered {} {body:?}", answer.status)
        }
        Ok(RunResult::KeyIssued(_)) => "issued".to_owned(),
        Ok(RunResult::Lost(loss)) => format!("lost {loss}"),
        Ok(RunResult::Refused(refusal)) => format!("refused {refusal}"),
        Err(_) => "no reply".to_owned(),
    }
}

fn answer(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// Guards against an answer that is broken, another request's or a false promise and reaches the
/// caller, and against a whole one that doesn't.
#[rstest]
#[case::whole("whole", answer("200 OK", SEALED, "ab"))]
#[case::no_seal("no_seal", answer("200 OK", "X-Request-Id: 7\r\n", "ab"))]
#[case::own_failure("own_failure", answer("500 X", SEALED, "no"))]
#[case::not_run("not_run", answer("503 X", "X-Not-Executed: 1\r\n", ""))]
#[case::too_busy("too_busy", answer("429 X", "X-Not-Executed: 1\r\n", ""))]
#[case::false_promise("false_promise", answer("503 X", SEALED, ""))]
#[case::other_target("other_target", answer("421 X", "X-Instance-Id: i-2\r\n", ""))]
#[case::no_http("no_http", "garbage\r\n\r\n".to_owned())]
#[case::cut("cut", format!("HTTP/1.1 200 OK\r\n{SEALED}Content-Length: 9\r\n\r\nab"))]
#[case::unframed("unframed", format!("HTTP/1.1 200 OK\r\n{SEALED}\r\nab"))]
#[case::other_request(
    "other_request",
    answer("200 OK", "X-Request-Id: 6\r\nX-Response-Seal: s\r\n", "other") + &answer("200 OK", SEALED, "ab")
)]
fn answers(#[case] name: &str, #[case] reply: String) {
    let script = Connection::closed_after(vec![reply]);
    assert_snapshot!(name, ends(vec![script], 1));
}

/// Guards against bytes that arrive after a whole answer and are taken for the next one.
#[test]
fn extra_answer() {
    let extra = answer("200 OK", SEALED, "ab") + &answer("200 OK", SEALED, "extra");
    let next = answer("200 OK", SEALED, "next");
    let scripts = vec![
        Connection::silent_after(vec![extra]),
        Connection::silent_after(vec![next]),
    ];
    assert_snapshot!(ends(scripts, 2));
}

/// Guards against waiting for a target that has gone silent beyond the silence bound.
#[test]
fn silent_target() {
    let scripts = vec![Connection::silent_after(vec![String::new()])];
    assert_snapshot!(ends(scripts, 1));
}

/// Guards against a target that closes without an answer and is reported as one that has not run the
/// request.
#[test]
fn closed_without_answer() {
    let scripts = vec![Connection::closed_after(vec![String::new()])];
    assert_snapshot!(ends(scripts, 1));
}
