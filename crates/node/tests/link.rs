//! Links of a limited rate: a saturated own link, and large bodies that are admitted to links.

#[path = "common/peer_daemon.rs"]
mod peer_daemon;
#[path = "common/runtime.rs"]
mod runtime;
#[path = "common/slow_link.rs"]
mod slow_link;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::oneshot;
use hawthornwall_core::link::{OUTSTANDING, Rate};
use hawthornwall_core::prelude::*;
use hawthornwall_node::messages::GateMessage;
use hawthornwall_wire::peer::{
    BodyOffer, Reply, Request, RequestId, RunReply, RunRequest, RunResult, decode_request,
    encode_reply, encode_request,
};
use insta::assert_snapshot;
use monoio::net::ListenerOpts;
use rstest::rstest;

use peer_daemon::{Daemon, LIMIT, LINK_MBPS, SILENCE, daemon, daemon_with, end, frame, reply, run};
use runtime::block_on;
use slow_link::SlowLink;

/// Waits for the offer of a body and returns its size and the channel for the decision of the gate.
async fn offer(daemon: &mut Daemon) -> (u64, oneshot::Sender<(Result<(), Refusal>, LoadReport)>) {
    // The message isn't printed, since it may hold a large body.
    let GateMessage::Offer { offer, reply } = daemon.gate_message().await else {
        panic!("another message than an offer arrived");
    };
    (offer.size, reply)
}

/// Waits for the offer of a body, which the gate admits.
async fn admit_offer(daemon: &mut Daemon) -> u64 {
    let (size, decide) = offer(daemon).await;
    let _ = decide.send((Ok(()), LoadReport::default()));
    size
}

/// A request with a body that needs a grant.
fn large_run(size: usize) -> RunRequest {
    let mut run = run();
    run.http.body = vec![7; size].into();
    run.time_left = LIMIT;
    run
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
        let ours = daemon_with(None, SILENCE);
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
        let (size, decide) = offer(&mut theirs).await;
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
    assert_eq!(admit_offer(theirs).await, BODY as u64);
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

/// Guards against more bodies at a time than the link takes, against a grant that is lost when its sender fails
/// or doesn't use it, and against a wait for the link that counts as a network delay.
#[rstest]
#[case::sender_fails(true)]
#[case::unused(false)]
fn further_body_waits_for_the_link(#[case] fails: bool) {
    let observed = block_on(async {
        let (ours, mut theirs) = (daemon(), daemon());
        let sender = granted_sender(&mut theirs).await;
        let sent = ours.send_run(theirs.address, 1, large_run(BODY));
        admit_offer(&mut theirs).await;
        let waits = monoio::time::timeout(SILENCE * 2, theirs.gate.next()).await;
        assert!(
            waits.is_err(),
            "a message arrived although the link is in use"
        );
        let sender = (!fails).then_some(sender);
        let (id, pending) = theirs.request().await;
        drop(sender);
        let _ = pending.send(reply(id));
        let Ok(Ok(Reply::Run(replied))) = sent.await else {
            panic!("the request has no reply");
        };
        assert!(replied.held >= SILENCE * 2, "held for {:?}", replied.held);
        format!("reply to {}: {:?}", replied.id, replied.result)
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
        admit_offer(&mut theirs).await;
        let (id, pending) = theirs.request().await;
        let _ = pending.send(reply(id));
        end(sent).await
    });
    assert_eq!(observed, "reply to request0000000000000001: Refused(Full)");
}

/// Serves a connection as a daemon of an earlier build does: it closes the connection on an offer, and runs
/// requests. Reports the size of each.
fn serve_without_offers(mut stream: TcpStream, sizes: &mpsc::Sender<usize>) {
    let mut length = [0; 4];
    while stream.read_exact(&mut length).is_ok() {
        let mut message = vec![0; u32::from_be_bytes(length) as usize];
        let _ = stream.read_exact(&mut message);
        let Ok(Request::Run(id, run)) = decode_request(&message.into()) else {
            return;
        };
        let _ = sizes.send(run.http.body.len());
        let reply = encode_reply(&Reply::Run(Box::new(reply(id))));
        let _ = stream.write_all(&frame(&reply));
    }
}

/// Guards against large bodies that a daemon of an earlier build doesn't get, as it can't decode offers.
#[test]
fn peer_without_offers_gets_the_body() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let (sizes, received) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sizes = sizes.clone();
            thread::spawn(move || serve_without_offers(stream, &sizes));
        }
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
    assert_eq!(received.try_iter().collect::<Vec<_>>(), [BODY, BODY]);
}

/// Guards against daemons whose requests change although the rate of their link isn't set.
#[test]
fn bodies_are_not_offered_without_a_link_rate() {
    let observed = block_on(async {
        let (ours, mut theirs) = (daemon_with(None, SILENCE), daemon());
        let sent = ours.send_run(theirs.address, 1, large_run(BODY));
        let (id, pending) = theirs.request().await;
        let _ = pending.send(reply(id));
        end(sent).await
    });
    assert_eq!(observed, "reply to request0000000000000001: Refused(Full)");
}

/// Guards against large bodies that fill the own link at once, so that small messages wait behind them, and
/// against bodies of a low rank that go first. The link takes 0.8 s for each body.
#[test]
fn bodies_are_sent_by_rank_one_after_the_other() {
    let observed = block_on(async {
        let (ours, mut theirs) = (daemon_with(Some(1.0), SILENCE), daemon_with(None, SILENCE));
        let to = theirs.address;
        let ranked = |rank| RunRequest {
            rank,
            time_left: LIMIT * 5,
            ..large_run(BODY)
        };
        let mut sent = vec![ours.send_run(to, 1, ranked(1))];
        admit_offer(&mut theirs).await;
        let mut order = vec![theirs.request().await];
        for (id, rank) in [(2, 1), (3, 0)] {
            sent.push(ours.send_run(to, id, ranked(rank)));
            admit_offer(&mut theirs).await;
        }
        sent.push(ours.send(to, 4));
        while order.len() < sent.len() {
            order.push(theirs.request().await);
        }
        let ids: Vec<_> = order.iter().map(|(id, _)| id.0.to_string()).collect();
        ids.join(" ")
    });
    assert_eq!(observed, "1 4 3 2");
}

/// Number of senders, with one body each.
const SENDERS: u64 = 12;
/// Bytes of a message beyond its body, at most.
const OVERHEAD: u64 = 1_000;

/// Guards against large bodies of many senders that queue on the link of the receiving daemon, so that small
/// messages arrive late behind them. What is queued is counted in bytes, so that the speed of this machine makes
/// no difference.
#[test]
fn bodies_of_many_senders_do_not_queue() {
    let queued = block_on(async {
        let mut theirs = daemon();
        let link = SlowLink::open(theirs.address, Rate::from_mbps(LINK_MBPS));
        // Keep-alive frames wait behind the bodies for longer than the usual timeout of these tests.
        let sender = |_| daemon_with(Some(LINK_MBPS), LIMIT);
        let senders: Vec<_> = (0..SENDERS).map(sender).collect();
        let sent: Vec<_> = (0..)
            .zip(&senders)
            .map(|(id, sender)| {
                let run = RunRequest {
                    time_left: LIMIT * 5,
                    ..large_run(BODY)
                };
                sender.send_run(link.address, id, run)
            })
            .collect();
        let mut answered = 0;
        while answered < SENDERS {
            match theirs.gate_message().await {
                GateMessage::Offer { reply, .. } => {
                    let _ = reply.send((Ok(()), LoadReport::default()));
                }
                GateMessage::Run { id, reply: to, .. } => {
                    answered += 1;
                    let _ = to.send(reply(id));
                }
                GateMessage::Cancel(_)
                | GateMessage::Drain(_)
                | GateMessage::IssueKey { .. }
                | GateMessage::LoadAnswer(_)
                | GateMessage::Probed(_)
                | GateMessage::RoutingState(_)
                | GateMessage::Status(_)
                | GateMessage::Stop(_) => panic!("neither an offer nor a request arrived"),
            }
        }
        for one in sent {
            let _ = end(one).await;
        }
        link.most_queued()
    });
    let limit = Rate::from_mbps(LINK_MBPS).bytes_in(OUTSTANDING);
    assert!(
        queued <= limit + SENDERS * OVERHEAD,
        "{queued} bytes were queued"
    );
}
