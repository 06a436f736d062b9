//! Requests between daemons over plain TCP, to the peers task of another daemon and to misbehaving peers
//! that are scripted over loopback.

#[path = "common/runtime.rs"]
mod runtime;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering::Relaxed;
use std::thread;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use hawthornwall_core::prelude::*;
use hawthornwall_node::clock::Clock;
use hawthornwall_node::messages::{
    GateMessage, GateSender, PeerAddress, PeerFault, PeersMessage, PeersSender, PeersStatus,
};
use hawthornwall_node::peers::{Peers, PeersStart};
use hawthornwall_node::telemetry::Telemetry;
use hawthornwall_settings::{LinkKind, PeerSettings};
use hawthornwall_wire::peer::{
    BodyOffer, HttpRequest, Reply, Request, RequestId, RunReply, RunRequest, RunResult,
    encode_reply, encode_request,
};
use insta::assert_snapshot;
use monoio::net::ListenerOpts;
use rstest::rstest;

use runtime::block_on;

/// Silence timeout of the daemons under test.
const SILENCE: Duration = Duration::from_millis(150);
/// Maximum time to wait for an expected event.
const LIMIT: Duration = Duration::from_secs(3);
/// Maximum message size in bytes.
const MESSAGE_LIMIT: usize = 1 << 20;
/// Rate of the link of the daemons under test.
const LINK_MBPS: f64 = 10.0;

/// Lowest second octet of the loopback addresses of the daemons under test.
const FIRST_NETWORK: u8 = 128;
/// Number of second octets; the process id selects one, so that two runs at once use different addresses.
const NETWORKS: u8 = 64;

type PendingReply = oneshot::Receiver<Result<Reply, PeerFault>>;

/// Returns an address whose port stays free until a daemon binds it: no other socket of this machine uses
/// the IP address, neither to listen nor as the source of a connection.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(
        127,
        FIRST_NETWORK + high % NETWORKS,
        low,
        NEXT.fetch_add(1, Relaxed),
    );
    let listener = TcpListener::bind((ip, 0)).expect("a port is free");
    listener.local_addr().expect("the listener is bound")
}

/// A peers task, and the messages that it sends to its gate.
struct Daemon {
    address: SocketAddr,
    gate: mpsc::UnboundedReceiver<GateMessage>,
    peers: PeersSender,
}

fn daemon() -> Daemon {
    daemon_with_link(Some(LINK_MBPS))
}

fn daemon_with_link(link_mbps: Option<f64>) -> Daemon {
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
        memory: hawthornwall_node::memory::Memory::default(),
        clock: Clock::start(),
        control,
        gate: GateSender::new(gate),
        limit: MESSAGE_LIMIT,
        link_mbps,
        receiver,
        settings: &settings,
        telemetry: Telemetry::channel().0,
    });
    monoio::spawn(started.expect("the address is free").run());
    Daemon {
        address,
        gate: gate_receiver,
        peers,
    }
}

impl Daemon {
    fn send(&self, to: SocketAddr, id: u64) -> PendingReply {
        self.send_run(to, id, run())
    }

    fn send_run(&self, to: SocketAddr, id: u64, run: RunRequest) -> PendingReply {
        let (reply, receiver) = oneshot::channel();
        let message = PeersMessage::Send {
            reply,
            request: Request::Run(RequestId(id), Box::new(run)),
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

    /// Returns the next message to the gate.
    async fn gate_message(&mut self) -> GateMessage {
        let next = monoio::time::timeout(LIMIT, self.gate.next()).await;
        next.expect("a message arrives").expect("the task runs")
    }

    /// Waits for the offer of a body and returns its size and the channel for the decision of the gate.
    async fn offer(&mut self) -> (u64, oneshot::Sender<(Result<(), Refusal>, LoadReport)>) {
        match self.gate_message().await {
            GateMessage::Offer { offer, reply } => (offer.size, reply),
            // The message may hold a large body.
            _ => panic!("another message than an offer arrived"),
        }
    }

    /// Waits for the offer of a body, which the gate admits.
    async fn admit_offer(&mut self) -> u64 {
        let (size, decide) = self.offer().await;
        let _ = decide.send((Ok(()), LoadReport::default()));
        size
    }

    /// Waits for a request and returns its id and the channel for its reply.
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
            body: vec![7; 100].into(),
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

/// A request with a body that needs a grant.
fn large_run(size: usize) -> RunRequest {
    let mut run = run();
    run.http.body = vec![7; size].into();
    run.time_left = LIMIT;
    run
}

fn reply(id: RequestId) -> RunReply {
    RunReply {
        result: RunResult::Refused(Refusal::Full),
        held: Duration::ZERO,
        id,
        report: LoadReport::default(),
    }
}

async fn end(sent: PendingReply) -> String {
    match monoio::time::timeout(LIMIT, sent).await {
        Err(_) => "no end".to_owned(),
        Ok(Err(_)) => "dropped".to_owned(),
        Ok(Ok(Err(fault))) => format!("{fault:?}"),
        Ok(Ok(Ok(Reply::Run(reply)))) => format!("reply to {}: {:?}", reply.id, reply.result),
        Ok(Ok(Ok(Reply::BodyGranted(_) | Reply::Exchange(_) | Reply::StoreUpdate(_)))) => {
            "another reply".to_owned()
        }
    }
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
        let (ours, theirs) = (ours.status().await, theirs.status().await);
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
    /// Sends a reply in small parts, each well within the silence timeout.
    Trickle,
}

fn frame(message: &[u8]) -> Vec<u8> {
    [&(message.len() as u32).to_be_bytes(), message].concat()
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
        Misbehaviour::Trickle => {
            for byte in frame {
                let _ = stream.write_all(&[byte]);
                thread::sleep(SILENCE / 5);
            }
        }
    }
}

/// Guards against an incomplete reply that is accepted as complete, and against an unlimited wait for a
/// reply that is never sent.
#[rstest]
#[case::close(Misbehaviour::Close, "Lost(Closed)")]
#[case::truncated(Misbehaviour::Truncate, "Lost(Closed)")]
#[case::oversized(Misbehaviour::Oversized, "Lost(Closed)")]
#[case::malformed(Misbehaviour::Malformed, "Lost(Malformed)")]
#[case::silence(Misbehaviour::Silence, "Lost(Closed)")]
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

/// A peer that doesn't accept connections: its accept queue is full, and the system discards requests to
/// connect. The connections that fill it are kept open.
struct SilentPeer {
    address: SocketAddr,
    _connections: Vec<TcpStream>,
    _listener: monoio::net::TcpListener,
}

fn silent_peer() -> SilentPeer {
    let options = ListenerOpts::new().backlog(0);
    let listener = monoio::net::TcpListener::bind_with_config("127.0.0.1:0", &options);
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let wait = Duration::from_millis(50);
    let connect = || TcpStream::connect_timeout(&address, wait).ok();
    SilentPeer {
        address,
        _connections: std::iter::from_fn(connect).collect(),
        _listener: listener,
    }
}

/// Guards against requests that are tried at one silent peer after another although the own link is
/// saturated, and against a request that stays refused or waits on once the link is free.
#[test]
fn second_silent_peer_is_waited_for() {
    let observed = block_on(async {
        let (ours, mut theirs) = (daemon(), daemon());
        let [first, second] = [silent_peer(), silent_peer()];
        let mut observed = vec![end(ours.send(first.address, 1)).await];
        let waiting = ours.send(second.address, 2);
        let waited = monoio::time::sleep(SILENCE * 3);
        let (waiting, ()) = futures::join!(
            async { monoio::time::timeout(SILENCE * 3, waiting).await.is_err() },
            waited
        );
        observed.push(format!("waits: {waiting}"));
        let waiting = ours.send(second.address, 3);
        monoio::time::sleep(SILENCE * 2).await;
        let sent = ours.send(theirs.address, 4);
        let (id, pending) = theirs.request().await;
        let _ = pending.send(reply(id));
        observed.push(end(sent).await);
        observed.push(end(waiting).await);
        observed.join("\n")
    });
    assert_snapshot!(observed, @r"
    Unreachable
    waits: true
    reply to request0000000000000004: Refused(Full)
    Unreachable
    ");
}

/// Guards against a wait for a link that transports nothing until the deadline of the request, after which
/// it would count as one that may have run.
#[test]
fn saturated_link_refuses_before_the_deadline() {
    let observed = block_on(async {
        let ours = daemon();
        let [first, second] = [silent_peer(), silent_peer()];
        let sent = [first.address, second.address].map(|to| ours.send(to, 1));
        let mut observed = Vec::new();
        for one in sent {
            observed.push(end(one).await);
        }
        observed.join("\n")
    });
    assert_snapshot!(observed, @r"
    Unreachable
    Link
    ");
}

/// Guards against the loss of some peers that is taken for a fault of the own link while another peer
/// answers.
#[test]
fn lost_peers_are_unreachable_while_others_answer() {
    let observed = block_on(async {
        let (ours, mut theirs) = (daemon(), daemon());
        let lost = [silent_peer(), silent_peer(), silent_peer()];
        let mut observed = Vec::new();
        for peer in lost.iter().chain(&lost) {
            let unreachable = ours.send(peer.address, 1);
            let sent = ours.send(theirs.address, 2);
            let (id, pending) = theirs.request().await;
            let _ = pending.send(reply(id));
            let _ = end(sent).await;
            observed.push(end(unreachable).await);
        }
        observed.join(" ")
    });
    assert_snapshot!(observed, @"Unreachable Unreachable Unreachable Unreachable Unreachable Unreachable");
}

/// Guards against daemons whose behaviour changes although the rate of their link isn't set.
#[test]
fn silent_peers_are_unreachable_without_a_link_rate() {
    let observed = block_on(async {
        let ours = daemon_with_link(None);
        let [first, second] = [silent_peer(), silent_peer()];
        let mut observed = Vec::new();
        for one in [first.address, second.address].map(|to| ours.send(to, 1)) {
            observed.push(end(one).await);
        }
        observed.join(" ")
    });
    assert_snapshot!(observed, @"Unreachable Unreachable");
}

/// Time between two checks of a thread.
const POLL: Duration = Duration::from_millis(5);
/// Size of the bodies under test: two of them exceed what a link of [`LINK_MBPS`] takes at a time.
const BODY: usize = 100_000;

/// Guards against a large body that crosses the link although its target has no room, and against one that
/// is granted and not passed on.
#[rstest]
#[case::admitted(Ok(()), "reply to request0000000000000001: Refused(Down)")]
#[case::full(Err(Refusal::Full), "reply to request0000000000000001: Refused(Full)")]
fn large_body_is_offered_first(#[case] decision: Result<(), Refusal>, #[case] expected: &str) {
    let observed = block_on(async {
        let (ours, mut theirs) = (daemon(), daemon());
        let sent = ours.send_run(theirs.address, 1, large_run(BODY));
        let (size, decide) = theirs.offer().await;
        assert_eq!(size, BODY as u64);
        let _ = decide.send((decision, LoadReport::default()));
        if decision.is_ok() {
            let GateMessage::Run {
                id, reply: to, run, ..
            } = theirs.gate_message().await
            else {
                panic!("the body doesn't arrive");
            };
            assert_eq!(run.http.body.len(), BODY);
            let _ = to.send(RunReply {
                result: RunResult::Refused(Refusal::Down),
                ..reply(id)
            });
        }
        end(sent).await
    });
    assert_eq!(observed, expected);
}

/// A sender of another daemon that offers a body, is granted it, and sends nothing more.
async fn granted_sender(theirs: &mut Daemon) -> TcpStream {
    let mut stream = TcpStream::connect(theirs.address).expect("the daemon listens");
    let run = large_run(BODY);
    let offer = BodyOffer {
        max_wait: run.max_wait,
        objective: run.objective,
        objective_left: run.objective_left,
        rank: run.rank,
        size: BODY as u64,
        time_left: run.time_left,
    };
    let message = encode_request(&Request::OfferBody(RequestId(9), offer));
    stream
        .write_all(&frame(&message))
        .expect("the daemon reads");
    assert_eq!(theirs.admit_offer().await, BODY as u64);
    let granted = frame(&encode_reply(&Reply::BodyGranted(RequestId(9))));
    let mut read = vec![0; granted.len()];
    let reader = thread::spawn(move || {
        stream.read_exact(&mut read).expect("the daemon decides");
        (stream, read)
    });
    while !reader.is_finished() {
        monoio::time::sleep(POLL).await;
    }
    let (stream, read) = reader.join().expect("no panic");
    assert_eq!(read, granted);
    stream
}

/// Guards against more bodies at a time than the link takes, and against a grant that is lost when its
/// sender fails or doesn't use it.
#[rstest]
#[case::sender_fails(true)]
#[case::unused(false)]
fn further_body_waits_for_the_link(#[case] fails: bool) {
    let observed = block_on(async {
        let (ours, mut theirs) = (daemon(), daemon());
        let sender = granted_sender(&mut theirs).await;
        let sent = ours.send_run(theirs.address, 1, large_run(BODY));
        theirs.admit_offer().await;
        let waits = monoio::time::timeout(SILENCE * 2, theirs.gate.next()).await;
        assert!(
            waits.is_err(),
            "a message arrived although the link is in use"
        );
        let sender = (!fails).then_some(sender);
        let (id, pending) = theirs.request().await;
        drop(sender);
        let _ = pending.send(reply(id));
        end(sent).await
    });
    assert_eq!(observed, "reply to request0000000000000001: Refused(Full)");
}

/// Guards against a truncated body that is passed on as complete, and against its grant that stays in use.
#[test]
fn truncated_body_never_arrives() {
    let observed = block_on(async {
        let (ours, mut theirs) = (daemon(), daemon());
        let mut sender = granted_sender(&mut theirs).await;
        let message = encode_request(&Request::Run(RequestId(9), Box::new(large_run(BODY))));
        let half = &frame(&message)[..message.len() / 2];
        sender.write_all(half).expect("the daemon reads");
        drop(sender);
        let sent = ours.send_run(theirs.address, 1, large_run(BODY));
        theirs.admit_offer().await;
        let (id, pending) = theirs.request().await;
        let _ = pending.send(reply(id));
        end(sent).await
    });
    assert_eq!(observed, "reply to request0000000000000001: Refused(Full)");
}

/// Guards against large bodies that a daemon of an earlier build doesn't get: it can't decode offers and
/// closes the connection.
#[test]
fn peer_without_offers_gets_the_body() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let read = thread::spawn(move || {
        let (mut offered, _) = listener.accept().expect("the daemon connects");
        let _ = offered.read(&mut [0; 4096]);
        drop(offered);
        let mut sizes = Vec::new();
        for id in [1, 2] {
            let (mut stream, _) = listener.accept().expect("the daemon connects");
            let mut length = [0; 4];
            stream.read_exact(&mut length).expect("a request arrives");
            let mut message = vec![0; u32::from_be_bytes(length) as usize];
            stream.read_exact(&mut message).expect("a request arrives");
            let reply = encode_reply(&Reply::Run(Box::new(reply(RequestId(id)))));
            stream.write_all(&frame(&reply)).expect("the daemon reads");
            sizes.push(message.len() >= BODY);
        }
        sizes
    });
    let observed = block_on(async {
        let ours = daemon();
        let mut observed = Vec::new();
        for id in [1, 2] {
            observed.push(end(ours.send_run(address, id, large_run(BODY))).await);
        }
        observed.join(", ")
    });
    assert_eq!(
        observed,
        "reply to request0000000000000001: Refused(Full), reply to request0000000000000002: Refused(Full)"
    );
    assert_eq!(read.join().expect("no panic"), [true, true]);
}

/// Guards against daemons whose requests change although the rate of their link isn't set.
#[test]
fn bodies_are_not_offered_without_a_link_rate() {
    let observed = block_on(async {
        let (ours, mut theirs) = (daemon_with_link(None), daemon());
        let sent = ours.send_run(theirs.address, 1, large_run(BODY));
        let (id, pending) = theirs.request().await;
        let _ = pending.send(reply(id));
        end(sent).await
    });
    assert_eq!(observed, "reply to request0000000000000001: Refused(Full)");
}
