//! Tests the caller interface of a daemon with raw bytes. Each row uses a separate connection.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::Duration;

use hawthornwall_testkit::http1::json_once;
use hawthornwall_testkit::launcher::{Cluster, ClusterOptions, Deployment};
use insta::assert_snapshot;
use serde_json::json;

/// Time without received bytes after which no more answers are expected on an open connection.
const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between the parts of a request.
const PART_INTERVAL: Duration = Duration::from_millis(30);

/// Names and parts of requests. `|` stands for CR LF, `{KEY}` for an issued key, `{LONG}` for 20 KB,
/// `{MANY}` for 200 headers and `{HUGE}` for 2 MB; `{END}` closes the write side of the connection.
#[rustfmt::skip]
const ROWS: &[(&str, &[&str])] = &[
    ("plain", &["GET /calendar/a HTTP/1.1|host: a|x-size: 300||"]),
    ("by host name", &["GET /a HTTP/1.1|host: calendar|x-size: 300||"]),
    ("no host", &["GET /calendar/a HTTP/1.1||"]),
    ("two hosts", &["GET /calendar/a HTTP/1.1|host: a|host: b||"]),
    ("in parts", &["GET /cal", "endar/a HTT", "P/1.1|host: a|", "|"]),
    ("pipelined", &["GET /calendar/a HTTP/1.1|host: a|x-size: 300||GET /enrolment/b HTTP/1.1|host: a|x-size: 400||GET /none HTTP/1.1|host: a||"]),
    ("pipelined in parts", &["GET /calendar/a HTTP/1.1|host: a|x-size: 300||GET /enr", "olment/b HTTP/1.1|host: a|x-size: 400||"]),
    ("keep-alive", &["GET /calendar/a HTTP/1.1|host: a||", "GET /calendar/b HTTP/1.1|host: a||"]),
    ("connection: close", &["GET /calendar/a HTTP/1.1|host: a|connection: close||"]),
    ("HTTP/1.0", &["GET /calendar/a HTTP/1.0|host: a||"]),
    ("HTTP/1.0 keep-alive", &["GET /calendar/a HTTP/1.0|connection: keep-alive||"]),
    ("HTTP/2.0", &["GET /calendar/a HTTP/2.0|host: a||"]),
    ("HEAD", &["HEAD /calendar/a HTTP/1.1|host: a|x-size: 300||", "GET /calendar/a HTTP/1.1|host: a|x-size: 300||"]),
    ("unknown service", &["GET /none HTTP/1.1|host: a||"]),
    ("unknown service for a key", &["POST /.hawthornwall/keys/none HTTP/1.1|host: a|content-length: 0||"]),
    ("absolute form", &["GET http://calendar/a HTTP/1.1|host: a||"]),
    ("asterisk form", &["OPTIONS * HTTP/1.1|host: a||"]),
    ("CONNECT", &["CONNECT calendar:1 HTTP/1.1|host: a||"]),
    ("no HTTP", &["\u{1}\u{2}nonsense||"]),
    ("no method", &["/calendar/a HTTP/1.1|host: a||"]),
    ("space in header name", &["GET /calendar/a HTTP/1.1|host : a||"]),
    ("control character in header", &["GET /calendar/a HTTP/1.1|host: a|x-a: b\u{0}c||"]),
    ("folded header", &["GET /calendar/a HTTP/1.1|host: a|x-a: b| c||"]),
    ("oversized head", &["GET /calendar/a HTTP/1.1|host: a|x-a: {LONG}||"]),
    ("oversized head without end", &["GET /calendar/a HTTP/1.1|host: a|x-a: {LONG}"]),
    ("many headers", &["GET /calendar/a HTTP/1.1|host: a|{MANY}|"]),
    ("oversized body", &["POST /calendar/a HTTP/1.1|host: a|content-length: 2000000||{HUGE}"]),
    ("oversized chunked body", &["POST /calendar/a HTTP/1.1|host: a|transfer-encoding: chunked||1e8480|{HUGE}|0||"]),
    ("two lengths", &["POST /calendar/a HTTP/1.1|host: a|content-length: 3|content-length: 4||abcd"]),
    ("same length twice", &["POST /calendar/a HTTP/1.1|host: a|content-length: 3|content-length: 3||abc"]),
    ("length list", &["POST /calendar/a HTTP/1.1|host: a|content-length: 3, 3||abc"]),
    ("negative length", &["POST /calendar/a HTTP/1.1|host: a|content-length: -3||abc"]),
    ("signed length", &["POST /calendar/a HTTP/1.1|host: a|content-length: +3||abc"]),
    ("length too long", &["POST /calendar/a HTTP/1.1|host: a|content-length: 99999999999999999999||abc"]),
    ("length and chunked", &["POST /calendar/a HTTP/1.1|host: a|content-length: 3|transfer-encoding: chunked||0||"]),
    ("gzip coding", &["POST /calendar/a HTTP/1.1|host: a|transfer-encoding: gzip, chunked||0||"]),
    ("chunked twice", &["POST /calendar/a HTTP/1.1|host: a|transfer-encoding: chunked, chunked||0||"]),
    ("chunked", &["POST /calendar/a HTTP/1.1|host: a|x-size: 300|transfer-encoding: chunked||3|abc|", "4|defg|0||"]),
    ("chunked with trailer", &["POST /calendar/a HTTP/1.1|host: a|x-size: 300|transfer-encoding: chunked||3|abc|0|x-a: b||", "GET /calendar/a HTTP/1.1|host: a||"]),
    ("malformed chunk", &["POST /calendar/a HTTP/1.1|host: a|transfer-encoding: chunked||zz|abc|0||"]),
    ("chunk longer than declared", &["POST /calendar/a HTTP/1.1|host: a|transfer-encoding: chunked||3|abcdef|0||"]),
    ("chunked answer", &["GET /calendar/a HTTP/1.1|host: a|x-size: 300|x-chunked: 1||"]),
    ("expects 100-continue", &["POST /calendar/a HTTP/1.1|host: a|x-size: 300|content-length: 3|expect: 100-continue||", "abc"]),
    ("expects something else", &["POST /calendar/a HTTP/1.1|host: a|content-length: 3|expect: 200-ok||abc"]),
    ("expects 100-continue, oversized", &["POST /calendar/a HTTP/1.1|host: a|content-length: 2000000|expect: 100-continue||"]),
    ("key", &["POST /.hawthornwall/keys/calendar HTTP/1.1|host: a|content-length: 0||"]),
    ("GET of a key", &["GET /.hawthornwall/keys/calendar HTTP/1.1|host: a||"]),
    ("keyed and repeated", &["POST /calendar/a HTTP/1.1|host: a|x-size: 300|idempotency-key: {KEY}|content-length: 3||abc", "POST /calendar/a HTTP/1.1|host: a|x-size: 300|idempotency-key: {KEY}|content-length: 3||abc"]),
    ("mismatched body", &["POST /calendar/a HTTP/1.1|host: a|idempotency-key: {KEY}|content-length: 3||abc", "POST /calendar/a HTTP/1.1|host: a|idempotency-key: {KEY}|content-length: 3||abd"]),
    ("mismatched path", &["POST /calendar/a HTTP/1.1|host: a|idempotency-key: {KEY}|content-length: 3||abc", "POST /calendar/b HTTP/1.1|host: a|idempotency-key: {KEY}|content-length: 3||abc"]),
    ("key of another service", &["POST /enrolment/a HTTP/1.1|host: a|idempotency-key: {KEY}|content-length: 3||abc"]),
    ("altered key", &["POST /calendar/a HTTP/1.1|host: a|idempotency-key: {KEY}0|content-length: 3||abc"]),
    ("invalid key", &["POST /calendar/a HTTP/1.1|host: a|idempotency-key: mine|content-length: 3||abc"]),
    ("two keys", &["POST /calendar/a HTTP/1.1|host: a|idempotency-key: {KEY}|idempotency-key: mine|content-length: 3||abc"]),
    ("deadline is no number", &["GET /calendar/a HTTP/1.1|host: a|hawthornwall-deadline: soon||"]),
    ("deadline of zero", &["GET /calendar/a HTTP/1.1|host: a|hawthornwall-deadline: 0||"]),
    ("deadline too long for a number", &["GET /calendar/a HTTP/1.1|host: a|hawthornwall-deadline: 99999999999999999999||"]),
    ("bad traceparent", &["GET /calendar/a HTTP/1.1|host: a|traceparent: 00-xyz||"]),
    ("closed in the head", &["GET /calendar/a HTTP/1.1|ho", "{END}"]),
    ("closed in the body", &["POST /calendar/a HTTP/1.1|host: a|content-length: 30||abc", "{END}"]),
    ("closed in a chunk", &["POST /calendar/a HTTP/1.1|host: a|transfer-encoding: chunked||30|abc", "{END}"]),
    ("closed while it runs", &["GET /calendar/a HTTP/1.1|host: a||{END}"]),
    ("closed at once", &["{END}"]),
];

fn expand(part: &str, key: &str) -> Vec<u8> {
    let many = || "x-a: b\r\n".repeat(200);
    let text = part.replace('|', "\r\n").replace("{KEY}", key);
    let text = text
        .replace("{LONG}", &"a".repeat(20_000))
        .replace("{MANY}", &many());
    text.replace("{HUGE}", &"a".repeat(2_000_000)).into_bytes()
}

/// Sends the parts and returns the answers as text: status lines, outcome, framing, and the state of
/// the connection afterwards.
fn exchange(address: SocketAddr, parts: &[&str], key: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a timeout");
    for part in parts {
        let (part, end) = part
            .strip_suffix("{END}")
            .map_or((*part, false), |p| (p, true));
        // The daemon may close the connection before the complete request is sent.
        let _ = stream.write_all(&expand(part, key));
        if end {
            let _ = stream.shutdown(Shutdown::Write);
        }
        sleep(PART_INTERVAL);
    }
    let (mut received, mut buf) = (Vec::new(), [0; 4096]);
    let end = loop {
        match stream.read(&mut buf) {
            Ok(0) => break "closed",
            Ok(n) => received.extend_from_slice(&buf[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break "open",
            Err(_) => break "reset",
        }
    };
    summarize(&String::from_utf8_lossy(&received)) + end
}

fn summarize(answers: &str) -> String {
    let shown = [
        "hawthornwall-outcome",
        "hawthornwall-reason",
        "connection",
        "content-length",
    ];
    let mut text = String::new();
    for answer in answers.split("HTTP/1.1 ").skip(1) {
        let head = answer.split("\r\n\r\n").next().unwrap_or_default();
        let mut lines = head.lines();
        text += lines.next().unwrap_or_default();
        for (name, value) in lines.filter_map(|l| l.split_once(": ")) {
            let name = name.to_ascii_lowercase();
            if shown.contains(&name.as_str()) {
                let _ = write!(
                    text,
                    "; {}={value}",
                    name.trim_start_matches("hawthornwall-")
                );
            }
        }
        text += "\n    ";
    }
    text
}

fn key(address: SocketAddr) -> String {
    let issued = json_once(address, "POST", "/.hawthornwall/keys/calendar", "");
    let issued = issued.expect("a key");
    issued["key"].as_str().expect("text").to_owned()
}

// Guards against requests without a defined answer, and against malformed requests that prevent the
// daemon from serving other callers.
#[test]
fn each_request_gets_a_clear_answer() {
    let options = ClusterOptions {
        behaviour: json!({ "mean_us": 1_000, "spread": "fixed" }),
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start(Deployment::Small, options).expect("the deployment starts");
    let address = cluster.nodes[0].addresses.caller;
    let mut table = String::new();
    for (name, parts) in ROWS {
        let answers = exchange(address, parts, &key(address));
        let _ = writeln!(table, "{name}\n    {answers}");
        let next = json_once(address, "GET", "/calendar/next", "");
        assert!(next.is_ok(), "after {name}: {next:?}");
    }
    assert_snapshot!(table);
}
