//! Reads of the platform against a scripted server over loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use futures::StreamExt;
use hawthornwall_core::spread::Endpoint;
use hawthornwall_node::messages::ControlMessage;
use hawthornwall_node::platform::{Published, ReadRequest, ReaderStart, run};
use insta::assert_snapshot;
use rstest::rstest;

const DOCUMENT: &str =
    "HTTP/1.1 200 OK\r\nRevision: 7\r\nContent-Length: 15\r\n\r\n{\"patches\": []}";

/// What the server does with one connection: sends a part after each request, then closes, or keeps
/// the connection open in silence.
struct Script {
    replies: Vec<&'static str>,
    then_silent: bool,
}

/// Serves one connection after another and passes on the requests' first lines.
fn serve(scripts: Vec<Script>) -> (SocketAddr, mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let (lines, received) = mpsc::channel();
    thread::spawn(move || {
        let mut open = Vec::new();
        for (number, script) in scripts.into_iter().enumerate() {
            let (mut stream, _) = listener.accept().expect("a reader connects");
            let mut buffer = [0; 4096];
            for reply in script.replies {
                let length = stream.read(&mut buffer).unwrap_or(0);
                let text = String::from_utf8_lossy(&buffer[..length]);
                let line = text.lines().next().unwrap_or_default();
                let _ = lines.send(format!("connection {number}: {line}"));
                let _ = stream.write_all(reply.as_bytes());
            }
            if script.then_silent {
                open.push(stream);
            }
        }
        // Silent connections stay open until the test ends.
        thread::sleep(Duration::from_secs(5));
    });
    (address, received)
}

/// Reads `count` times and describes the results and the requests that the server saw.
fn read(scripts: Vec<Script>, count: usize) -> String {
    let (address, lines) = serve(scripts);
    let results = async {
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
    };
    let runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build();
    let results = runtime.expect("the runtime starts").block_on(results);
    let lines: Vec<_> = lines.try_iter().collect();
    format!("{}\n{}", lines.join("\n"), results.join("\n"))
}

/// Guards against a partial or ambiguous response that is taken for a whole one.
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
    let script = Script {
        replies: vec![reply],
        then_silent: false,
    };
    assert_snapshot!(name, read(vec![script], 1));
}

/// Guards against a watch that stays on a connection that went silent, and against the revision of a
/// server that is gone.
#[test]
fn silent_connection_is_replaced() {
    let silent = Script {
        replies: vec![DOCUMENT, ""],
        then_silent: true,
    };
    let next = Script {
        replies: vec![DOCUMENT, "HTTP/1.1 304 Not Modified\r\n\r\n"],
        then_silent: true,
    };
    assert_snapshot!(read(vec![silent, next], 4));
}

/// Guards against a warning each time the platform closes an idle connection.
#[test]
fn closed_idle_connection_is_replaced() {
    let script = || Script {
        replies: vec![DOCUMENT],
        then_silent: false,
    };
    assert_snapshot!(read(vec![script(), script()], 2));
}
