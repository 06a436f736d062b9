//! The reader of a platform service against a scripted server over loopback.

mod common;

use std::time::Duration;

use futures::StreamExt;
use hawthornwall_core::gossip::Endpoint;
use hawthornwall_node::messages::ControlMessage;
use hawthornwall_node::platform::{Published, ReadRequest, ReaderStart, run};
use insta::assert_snapshot;
use rstest::rstest;

use common::runtime::block_on;
use common::script::{Connection, serve};

const DOCUMENT: &str =
    "HTTP/1.1 200 OK\r\nRevision: 7\r\nContent-Length: 15\r\n\r\n{\"patches\": []}";

fn replies(texts: &[&str]) -> Vec<String> {
    let steps = texts.iter().map(|text| (*text).to_owned());
    steps.collect()
}

/// Reads `count` times and describes the requests that the server received and the results.
fn run_reader(scripts: Vec<Connection>, count: usize) -> String {
    let (address, lines) = serve(scripts);
    let results = block_on(async {
        let (control, mut ends) = futures::channel::mpsc::unbounded();
        let (requests, receiver) = futures::channel::mpsc::unbounded();
        monoio::spawn(run(ReaderStart {
            address,
            control,
            endpoint: Endpoint::Config,
            requests: receiver,
        }));
        let mut results = Vec::new();
        for _ in 0..count {
            let wait = Duration::from_millis(20);
            requests
                .unbounded_send(ReadRequest { wait })
                .expect("the reader runs");
            let Some(ControlMessage::Platform(end)) = ends.next().await else {
                panic!("the reader ended");
            };
            results.push(match end.result {
                Ok(Published::Config(document)) => format!("{} patches", document.patches.len()),
                Ok(Published::Instances(list)) => format!("{} instances", list.instances.len()),
                Ok(Published::Unchanged) => "unchanged".to_owned(),
                Err(fault) => fault.to_string(),
            });
        }
        results
    });
    let lines: Vec<_> = lines.try_iter().collect();
    format!("{}\n{}", lines.join("\n"), results.join("\n"))
}

/// Guards against accepting an incomplete or ambiguous response.
#[rstest]
#[case::whole("whole", DOCUMENT)]
#[case::chunked(
    "chunked",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
)]
#[case::unchanged("unchanged", "HTTP/1.1 304 Not Modified\r\n\r\n")]
#[case::cut(
    "cut",
    "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"patches\": []}"
)]
#[case::cut_chunk(
    "cut_chunk",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}"
)]
#[case::no_length("no_length", "HTTP/1.1 200 OK\r\n\r\n{}")]
#[case::two_lengths(
    "two_lengths",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\n{}"
)]
#[case::too_long("too_long", "HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n{}")]
#[case::status("status", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")]
#[case::content("content", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{\"a\":")]
#[case::no_http("no_http", "hello\r\n\r\n")]
fn response(#[case] name: &str, #[case] reply: &'static str) {
    let script = Connection::closed_after(replies(&[reply]));
    assert_snapshot!(name, run_reader(vec![script], 1));
}

/// Guards against reusing a connection after a timeout, and against sending a revision from the previous
/// connection on the next one.
#[test]
fn silent_connection_is_replaced() {
    let silent = Connection::silent_after(replies(&[DOCUMENT, ""]));
    let unchanged = "HTTP/1.1 304 Not Modified\r\n\r\n";
    let next = Connection::silent_after(replies(&[DOCUMENT, unchanged]));
    assert_snapshot!(run_reader(vec![silent, next], 4));
}

/// Guards against a failed read, and so a warning, each time the platform closes an idle connection.
#[test]
fn closed_idle_connection_is_replaced() {
    let script = || Connection::closed_after(replies(&[DOCUMENT]));
    assert_snapshot!(run_reader(vec![script(), script()], 2));
}
