//! Requests between daemons over plain TCP, against another daemon's peers task and against peers
//! that misbehave, scripted over loopback.

#[path = "common/runtime.rs"]
mod runtime;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use hawthornwall_core::prelude::*;
use hawthornwall_node::messages::{
    GateMessage, GateSender, PeerAddress, PeerFault, PeersMessage, PeersSender, PeersStatus,
};
use hawthornwall_node::peers::{Peers, PeersStart};
use hawthornwall_settings::{LinkKind, PeerSettings};
use hawthornwall_wire::peer::{
    HttpRequest, Reply, Request, RequestId, RunReply, RunRequest, RunResult, encode_reply,
};
use insta::assert_snapshot;
use rstest::rstest;

use runtime::block_on;

/// Silence bound of the tests' links.
const SILENCE: Duration = Duration::from_millis(150);
/// Longest wait for something that must happen.
const LIMIT: Duration = Duration::from_secs(3);
/// Longest message.
const MESSAGE_LIMIT: usize = 1 << 16;

type Sent = oneshot::Receiver<Result<Reply, PeerFault>>;

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the listener is bound")
}

/// A peers task, and the gate that its requests reach.
struct Daemon {
    address: SocketAddr,
    gate: mpsc::UnboundedReceiver<GateMessage>,
    peers: PeersSender,
}

fn daemon() -> Daemon {
    let address = free_address();
    let (control, _) = mpsc::unbounded();
    let (gate, gate_receiver) = mpsc::unbounded();
    let (peers, receiver) = mpsc::unbounded();
    let settings = PeerSettings {
        advertise: None,
        link: LinkKind::Tcp,
        listen: address,
        secret: None,
        seeds: Vec::new(),
        silence: SILENCE,
    };
    let started = Peers::start(PeersStart {
        control,
        gate: GateSender::new(gate),
        limit: MESSAGE_LIMIT,
        receiver,
        settings: &settings,
    });
    monoio::spawn(started.expect("the address is free").run());
    Daemon {
        address,
        gate: gate_receiver,
        peers,
    }
}

impl Daemon {
    fn send(&self, to: SocketAddr, id: u64) -> Sent {
        let (reply, receiver) = oneshot::channel();
        let message = PeersMessage::Send {
            reply,
            request: Request::Run(RequestId(id), Box::new(run())),
            to: PeerAddress::Socket(to),
        };
        self.peers.unbounded_send(message).expect("the task runs");
        receiver
    }

    async fn status(&self) -> PeersStatus {
        let (reply, receiver) = oneshot::channel();
        let message = PeersMessage::Status(reply);
        self.peers.unbounded_send(message).expect("the task runs");
        receiver.await.expect("the task replies")
    }

    /// The next message that reached the gate.
    async fn gate_message(&mut self) -> GateMessage {
        let next = monoio::time::timeout(LIMIT, self.gate.next()).await;
        next.expect("a message arrives").expect("the task runs")
    }

    /// Waits for a request and returns its id and where its reply goes.
    async fn request(&mut self) -> (RequestId, oneshot::Sender<RunReply>) {
        match self.gate_message().await {
            GateMessage::Run { id, reply, .. } => (id, reply),
            other => panic!("no request arrived but {other:?}"),
        }
    }
}

fn run() -> RunRequest {
    RunRequest {
        expected_target: None,
        http: HttpRequest {
            body: vec![7; 100],
            headers: Vec::new(),
            method: "GET".to_owned(),
            path: "/a".to_owned(),
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

fn reply(id: RequestId) -> RunReply {
    RunReply {
        result: RunResult::Refused(Refusal::Full),
        held: Duration::ZERO,
        id,
        report: LoadReport::default(),
    }
}

async fn end(sent: Sent) -> String {
    match monoio::time::timeout(LIMIT, sent).await {
        Err(_) => "no end".to_owned(),
        Ok(Err(_)) => "dropped".to_owned(),
        Ok(Ok(Err(fault))) => format!("{fault:?}"),
        Ok(Ok(Ok(Reply::Run(reply)))) => format!("reply to {}: {:?}", reply.id, reply.result),
        Ok(Ok(Ok(Reply::Exchange(_) | Reply::StoreUpdate(_)))) => "another reply".to_owned(),
    }
}

/// Guards against replies that reach another requester, and a connection for each request.
#[test]
fn requests_share_connections_in_turn() {
    let seen = block_on(async {
        let (ours, mut theirs) = (daemon(), daemon());
        let mut seen = Vec::new();
        for round in 0..2 {
            let sent = [1, 2].map(|n| ours.send(theirs.address, 10 * round + n));
            let mut waiting = [theirs.request().await, theirs.request().await];
            // The second request is answered first.
            waiting.sort_by_key(|(id, _)| std::cmp::Reverse(*id));
            for (id, to) in waiting {
                let _ = to.send(reply(id));
            }
            for one in sent {
                seen.push(end(one).await);
            }
        }
        let (ours, theirs) = (ours.status().await, theirs.status().await);
        seen.push(format!(
            "{} and {} open",
            ours.connections, theirs.connections
        ));
        seen.join("\n")
    });
    assert_snapshot!(seen, @r"
    reply to request0000000000000001: Refused(Full)
    reply to request0000000000000002: Refused(Full)
    reply to request000000000000000b: Refused(Full)
    reply to request000000000000000c: Refused(Full)
    2 and 2 open
    ");
}

/// Guards against work that goes on after its requester has left.
#[test]
fn leaving_cancels_the_work() {
    let seen = block_on(async {
        let (ours, mut theirs) = (daemon(), daemon());
        let sent = ours.send(theirs.address, 1);
        let (_, waiting) = theirs.request().await;
        drop(sent);
        let message = theirs.gate_message().await;
        drop(waiting);
        matches!(message, GateMessage::Cancel(_))
    });
    assert!(seen);
}

/// Guards against long work that counts as a silent connection.
#[test]
fn long_work_is_no_silence() {
    let seen = block_on(async {
        let (ours, mut theirs) = (daemon(), daemon());
        let sent = ours.send(theirs.address, 1);
        let (id, waiting) = theirs.request().await;
        monoio::time::sleep(SILENCE * 4).await;
        let _ = waiting.send(reply(id));
        end(sent).await
    });
    assert_snapshot!(seen, @"reply to request0000000000000001: Refused(Full)");
}

/// What a peer does with a connection once it has read a request.
#[derive(Clone, Copy, Debug)]
enum Deed {
    /// Closes it.
    Close,
    /// Sends half of a reply and closes it.
    Cut,
    /// Announces a reply longer than any message.
    Endless,
    /// Sends a message that is no reply.
    Garble,
    /// Sends nothing more.
    Silence,
    /// Sends a reply in small parts, each well within the silence bound.
    Trickle,
}

fn follow(mut stream: TcpStream, deed: Deed) {
    let _ = stream.read(&mut [0; 4096]);
    let message = encode_reply(&Reply::Run(Box::new(reply(RequestId(1)))));
    let mut frame = (message.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(&message);
    match deed {
        Deed::Close => {}
        Deed::Cut => {
            let _ = stream.write_all(&frame[..frame.len() / 2]);
        }
        Deed::Endless => {
            let _ = stream.write_all(&u32::MAX.to_be_bytes());
            thread::sleep(LIMIT);
        }
        Deed::Garble => {
            let _ = stream.write_all(&[0, 0, 0, 2, 0xff, 0xff]);
        }
        Deed::Silence => thread::sleep(LIMIT),
        Deed::Trickle => {
            for byte in frame {
                let _ = stream.write_all(&[byte]);
                thread::sleep(SILENCE / 5);
            }
        }
    }
}

/// Guards against a reply that is taken for whole, and a wait without end for one that never comes.
#[rstest]
#[case::close(Deed::Close, "Lost(Closed)")]
#[case::cut(Deed::Cut, "Lost(Closed)")]
#[case::endless(Deed::Endless, "Lost(Closed)")]
#[case::garble(Deed::Garble, "Lost(Malformed)")]
#[case::silence(Deed::Silence, "Lost(Closed)")]
#[case::trickle(Deed::Trickle, "reply to request0000000000000001: Refused(Full)")]
fn misbehaving_peer(#[case] deed: Deed, #[case] expected: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        let (stream, _) = listener.accept().expect("the daemon connects");
        follow(stream, deed);
    });
    let started = Instant::now();
    let seen = block_on(async { end(daemon().send(address, 1)).await });
    assert_eq!(seen, expected);
    assert!(started.elapsed() < LIMIT, "the request ended late");
}

/// Guards against a daemon that is down and costs its callers more than a round trip, and against a
/// request that may have run counting as unsent.
#[test]
fn absent_peer_is_unreachable_at_once() {
    let started = Instant::now();
    let seen = block_on(async { end(daemon().send(free_address(), 1)).await });
    assert_eq!(seen, "Unreachable");
    assert!(started.elapsed() < SILENCE, "the refusal came late");
}

/// Guards against a peer that can end another daemon by what it sends.
#[rstest]
#[case::garbage(b"GET / HTTP/1.1\r\n\r\n")]
#[case::no_request(&[0, 0, 0, 3, 9, 9, 9])]
fn malformed_request_ends_its_connection(#[case] bytes: &[u8]) {
    let seen = block_on(async {
        let (ours, mut theirs) = (daemon(), daemon());
        let mut stream = TcpStream::connect(theirs.address).expect("the daemon listens");
        stream.write_all(bytes).expect("the daemon reads");
        let read = thread::spawn(move || stream.read(&mut [0; 16]).unwrap_or_default());
        let sent = ours.send(theirs.address, 1);
        let (id, waiting) = theirs.request().await;
        let _ = waiting.send(reply(id));
        let served = end(sent).await;
        format!("{served}, {:?} bytes", read.join().expect("no panic"))
    });
    assert_eq!(
        seen,
        "reply to request0000000000000001: Refused(Full), 0 bytes"
    );
}
