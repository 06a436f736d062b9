//! Requests between daemons over plain TCP, to the peers task of another daemon and to misbehaving peers
//! that are scripted over loopback.

#[path = "common/peer_daemon.rs"]
mod peer_daemon;
#[path = "common/runtime.rs"]
mod runtime;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Instant;

use futures::channel::oneshot;
use hawthornwall_node::messages::{GateMessage, PeersMessage, PeersStatus};
use hawthornwall_wire::peer::{HttpAnswer, Reply, RequestId, RunResult, encode_reply};
use insta::assert_snapshot;
use rstest::rstest;

use peer_daemon::{Daemon, LIMIT, SILENCE, daemon, end, frame, free_address, reply};
use runtime::block_on;

async fn status(daemon: &Daemon) -> PeersStatus {
    let (reply, receiver) = oneshot::channel();
    let message = PeersMessage::Status(reply);
    daemon.peers.unbounded_send(message).expect("the task runs");
    receiver.await.expect("the task replies")
}

/// Guards against replies that are delivered to another requester, and against a new connection for each
/// request.
#[test]
fn sequential_requests_reuse_connections() {
    let observed = block_on(async {
        let (ours, mut theirs) = (daemon(), daemon());
        let mut observed = Vec::new();
        for round in 0..2 {
            let sent = [1, 2].map(|n| ours.send(theirs.address, 10 * round + n));
            let mut pending = [theirs.request().await, theirs.request().await];
            // The second request is answered first.
            pending.sort_by_key(|(id, _)| std::cmp::Reverse(*id));
            for (id, to) in pending {
                let _ = to.send(reply(id));
            }
            for one in sent {
                observed.push(end(one).await);
            }
        }
        let (ours, theirs) = (status(&ours).await, status(&theirs).await);
        observed.push(format!(
            "{} and {} open",
            ours.connections, theirs.connections
        ));
        observed.join("\n")
    });
    assert_snapshot!(observed, @r"
    reply to request0000000000000001: Refused(Full)
    reply to request0000000000000002: Refused(Full)
    reply to request000000000000000b: Refused(Full)
    reply to request000000000000000c: Refused(Full)
    2 and 2 open
    ");
}

/// Guards against work that continues after its requester has dropped the request.
#[test]
fn dropped_request_cancels_its_work() {
    let observed = block_on(async {
        let (ours, mut theirs) = (daemon(), daemon());
        let sent = ours.send(theirs.address, 1);
        let (_, pending) = theirs.request().await;
        drop(sent);
        let message = theirs.gate_message().await;
        drop(pending);
        matches!(message, GateMessage::Cancel(_))
    });
    assert!(observed);
}

/// Guards against a connection that is closed as silent while a request runs for longer than the
/// timeout.
#[test]
fn long_request_keeps_its_connection() {
    let observed = block_on(async {
        let (ours, mut theirs) = (daemon(), daemon());
        let sent = ours.send(theirs.address, 1);
        let (id, pending) = theirs.request().await;
        monoio::time::sleep(SILENCE * 4).await;
        let _ = pending.send(reply(id));
        end(sent).await
    });
    assert_snapshot!(observed, @"reply to request0000000000000001: Refused(Full)");
}

/// What a misbehaving peer does after it has read a request.
#[derive(Clone, Copy, Debug)]
enum Misbehaviour {
    /// Closes the connection.
    Close,
    /// Sends half of a reply and closes the connection.
    Truncate,
    /// Sends a length that exceeds the message limit.
    Oversized,
    /// Sends a message that can't be decoded as a reply.
    Malformed,
    /// Sends nothing more.
    Silence,
    /// Sends an answer of its target with this status.
    Status(u16),
    /// Sends a reply in small parts, each well within the silence timeout.
    Trickle,
}

fn misbehave(mut stream: TcpStream, misbehaviour: Misbehaviour) {
    let _ = stream.read(&mut [0; 4096]);
    let frame = frame(&encode_reply(&Reply::Run(Box::new(reply(RequestId(1))))));
    match misbehaviour {
        Misbehaviour::Close => {}
        Misbehaviour::Truncate => {
            let _ = stream.write_all(&frame[..frame.len() / 2]);
        }
        Misbehaviour::Oversized => {
            let _ = stream.write_all(&u32::MAX.to_be_bytes());
            thread::sleep(LIMIT);
        }
        Misbehaviour::Malformed => {
            let _ = stream.write_all(&[0, 0, 0, 2, 0xff, 0xff]);
        }
        Misbehaviour::Silence => thread::sleep(LIMIT),
        Misbehaviour::Status(status) => {
            let mut reply = reply(RequestId(1));
            reply.result = RunResult::Answered(HttpAnswer {
                body: bytes::Bytes::new(),
                headers: Vec::new(),
                status,
            });
            let message = encode_reply(&Reply::Run(Box::new(reply)));
            let _ = stream.write_all(&(message.len() as u32).to_be_bytes());
            let _ = stream.write_all(&message);
        }
        Misbehaviour::Trickle => {
            for byte in frame {
                let _ = stream.write_all(&[byte]);
                thread::sleep(SILENCE / 5);
            }
        }
    }
}

/// Guards against an incomplete reply that is accepted as complete, an answer with a status that a caller can't
/// interpret, and an unlimited wait for a reply that is never sent.
#[rstest]
#[case::close(Misbehaviour::Close, "Lost(Closed)")]
#[case::truncated(Misbehaviour::Truncate, "Lost(Closed)")]
#[case::oversized(Misbehaviour::Oversized, "Lost(Closed)")]
#[case::malformed(Misbehaviour::Malformed, "Lost(Malformed)")]
#[case::silence(Misbehaviour::Silence, "Lost(Closed)")]
#[case::status_0(Misbehaviour::Status(0), "Lost(Malformed)")]
#[case::status_20(Misbehaviour::Status(20), "Lost(Malformed)")]
#[case::status_99(Misbehaviour::Status(99), "Lost(Malformed)")]
#[case::status_100(Misbehaviour::Status(100), "Lost(Malformed)")]
#[case::status_199(Misbehaviour::Status(199), "Lost(Malformed)")]
#[case::status_600(Misbehaviour::Status(600), "Lost(Malformed)")]
#[case::status_999(Misbehaviour::Status(999), "Lost(Malformed)")]
#[case::status_1000(Misbehaviour::Status(1_000), "Lost(Malformed)")]
#[case::trickle(
    Misbehaviour::Trickle,
    "reply to request0000000000000001: Refused(Full)"
)]
fn misbehaving_peer(#[case] misbehaviour: Misbehaviour, #[case] expected: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        let (stream, _) = listener.accept().expect("the daemon connects");
        misbehave(stream, misbehaviour);
    });
    let started = Instant::now();
    let observed = block_on(async { end(daemon().send(address, 1)).await });
    assert_eq!(observed, expected);
    assert!(started.elapsed() < LIMIT, "the request ended late");
}

/// Guards against a request to a stopped daemon that fails later than after a round trip, and
/// against one that is reported as possibly run although it was not sent.
#[test]
fn stopped_peer_is_unreachable_at_once() {
    let started = Instant::now();
    let observed = block_on(async { end(daemon().send(free_address(), 1)).await });
    assert_eq!(observed, "Unreachable");
    assert!(started.elapsed() < SILENCE, "the refusal came late");
}

/// Guards against malformed input from a peer that stops the daemon.
#[rstest]
#[case::garbage(b"GET / HTTP/1.1\r\n\r\n")]
#[case::no_request(&[0, 0, 0, 3, 9, 9, 9])]
fn malformed_request_ends_its_connection(#[case] bytes: &[u8]) {
    let observed = block_on(async {
        let (ours, mut theirs) = (daemon(), daemon());
        let mut stream = TcpStream::connect(theirs.address).expect("the daemon listens");
        stream.write_all(bytes).expect("the daemon reads");
        let read = thread::spawn(move || stream.read(&mut [0; 16]).unwrap_or_default());
        let sent = ours.send(theirs.address, 1);
        let (id, pending) = theirs.request().await;
        let _ = pending.send(reply(id));
        let served = end(sent).await;
        format!("{served}, {:?} bytes", read.join().expect("no panic"))
    });
    assert_eq!(
        observed,
        "reply to request0000000000000001: Refused(Full), 0 bytes"
    );
}
