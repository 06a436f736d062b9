//! The catalog task against a scripted store over loopback.

mod common;

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use hawthornwall_core::catalog::{Change, Sources, StorePosition, UpdateHead, UpdatePayload};
use hawthornwall_node::catalog::{CatalogStart, run};
use hawthornwall_node::clock::Clock;
use hawthornwall_node::messages::{
    ControlMessage, GateSender, PeerAddress, PeerFault, PeersMessage, RouterMessage,
};
use hawthornwall_wire::peer::{Reply, Request, StoreUpdate};
use insta::assert_snapshot;
use rstest::rstest;

use common::runtime::block_on;
use common::script::{Connection, serve};

/// Longest time that a test waits for another world.
const LIMIT: Duration = Duration::from_secs(3);

/// Base64 of a configuration at a version with one service.
const ROUTES_2: &str = "eyJ2ZXJzaW9uIjoicjIiLCJsaXN0ZW5lcnMiOltdLCJjbHVzdGVycyI6W119";
const ROUTES_9: &str = "eyJ2ZXJzaW9uIjoicjkiLCJsaXN0ZW5lcnMiOltdLCJjbHVzdGVycyI6W119";
const ROUTES_5: &str = "eyJ2ZXJzaW9uIjoicjUiLCJsaXN0ZW5lcnMiOltdLCJjbHVzdGVycyI6W119";
/// Port of all daemons.
const PEER_PORT: u16 = 7;

/// What the store answers: items or events, all at one revision.
fn content(kind: &str, items: &[(&str, &str)], revision: u64) -> String {
    let items: Vec<_> = items
        .iter()
        .map(|(key, value)| format!(r#"{{"key":"{key}","value":"{value}","revision":{revision}}}"#))
        .collect();
    let items = items.join(",");
    ok(&format!(
        r#"{{"{kind}":[{items}],"hasMore":false,"storeRevision":{revision}}}"#
    ))
}

fn page(items: &[(&str, &str)], revision: u64) -> String {
    content("items", items, revision)
}

fn events(items: &[(&str, &str)], revision: u64) -> String {
    content("events", items, revision)
}

fn ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn status(code: u16) -> String {
    format!("HTTP/1.1 {code} X\r\nContent-Length: 0\r\n\r\n")
}

/// Base64 of the entry of a target beside the daemon at `ip`.
fn entry(ip: IpAddr) -> String {
    STANDARD.encode(format!(
        r#"{{"address":"{ip}:80","info":{{"service":"s","version":"v1","zone":"a","slots":2}},"status":{{"state":"ready","sequence":1,"coldRemainingS":0}}}}"#
    ))
}

/// The catalog task and the channels of the tasks around it.
struct Daemon {
    control: mpsc::UnboundedSender<ControlMessage>,
    peers: mpsc::UnboundedReceiver<PeersMessage>,
    router: mpsc::UnboundedReceiver<RouterMessage>,
}

fn daemon(store: SocketAddr) -> Daemon {
    let (control, receiver) = mpsc::unbounded();
    let (gate, _) = mpsc::unbounded();
    let (peers, peer_messages) = mpsc::unbounded();
    let (router, router_messages) = mpsc::unbounded();
    monoio::spawn(run(CatalogStart {
        clock: Clock::start(),
        domain: "a".to_owned(),
        gate: GateSender::new(gate),
        own: ([127, 0, 0, 1], 9).into(),
        peer_port: PEER_PORT,
        peers,
        receiver,
        router,
        seed: 1,
        store,
    }));
    Daemon {
        control,
        peers: peer_messages,
        router: router_messages,
    }
}

impl Daemon {
    async fn ready(&self) -> String {
        let (reply, ready) = oneshot::channel();
        let _ = self.control.unbounded_send(ControlMessage::Ready(reply));
        format!("ready {}", ready.await.unwrap_or(false))
    }

    async fn world(&mut self) -> String {
        match monoio::time::timeout(LIMIT, self.router.next()).await {
            Ok(Some(RouterMessage::World(world))) => {
                let targets = world.members.len();
                let used = world.members.values().filter(|m| !m.leaving).count();
                let version = world.config.version;
                format!("world {version}, {targets} targets, {used} used")
            }
            Ok(Some(_) | None) | Err(_) => "no other world".to_owned(),
        }
    }

    /// The next peer that is asked, and where its reply goes.
    async fn asked(&mut self) -> (String, oneshot::Sender<Result<Reply, PeerFault>>) {
        loop {
            let next = monoio::time::timeout(LIMIT, self.peers.next()).await;
            if let PeersMessage::Send { reply, request, to } =
                next.expect("a peer is asked").expect("the task runs")
            {
                let PeerAddress::Socket(to) = to else {
                    panic!("a target was asked for news");
                };
                let Request::StoreUpdate(position) = request else {
                    panic!("{request:?} is no question for news");
                };
                let confirmed = position.age.is_some();
                let text = format!("{to} after {}, confirmed {confirmed}", position.revision);
                return (text, reply);
            }
        }
    }
}

/// Runs the task and describes the worlds that other tasks got, whether it was ready before the
/// first, and the calls.
fn follow(connections: Vec<Connection>, worlds: usize) -> String {
    let (address, calls) = serve(connections);
    let seen = block_on(async {
        let mut daemon = daemon(address);
        let mut seen = vec![daemon.ready().await];
        for _ in 0..worlds {
            seen.push(daemon.world().await);
        }
        seen.push(daemon.ready().await);
        seen
    });
    format!("{}\n{}", made(&calls), seen.join("\n"))
}

/// The calls, without the exact length of watches that go on from an earlier one.
fn made(calls: &std::sync::mpsc::Receiver<String>) -> String {
    let line = |call: String| match call.split_once("waitMs=") {
        Some((start, rest)) if !rest.starts_with("0 ") && !rest.starts_with("800 ") => {
            format!("{start}waitMs=(the rest)")
        }
        Some(_) | None => call,
    };
    let lines: Vec<_> = calls.try_iter().map(line).collect();
    lines.join("\n")
}

/// An address whose daemon the one of this test asks for news.
fn parent() -> IpAddr {
    let own = SocketAddr::from(([127, 0, 0, 1], PEER_PORT));
    let before = |ip: &IpAddr| {
        let daemons = [(SocketAddr::new(*ip, PEER_PORT), "a")];
        !Sources::of(own, "a", &daemons).parents.is_empty()
    };
    let mut all = (1..=255).map(|n| IpAddr::from([10, 0, 0, n]));
    all.find(before).expect("half of all addresses come before")
}

fn news(revision: u64, changes: Vec<(u64, Change)>) -> Reply {
    let head = UpdateHead {
        age: Duration::from_millis(1),
        outage: None,
        revision,
    };
    let payload = UpdatePayload::Changes(changes);
    Reply::StoreUpdate(Box::new(StoreUpdate { head, payload }))
}

/// Guards against a daemon that is ready by contents that may be old, and against missed changes.
#[test]
fn load_then_watch() {
    let first = vec![
        page(&[("op/config", ROUTES_2)], 4),
        events(&[], 4),
        events(&[("op/config", ROUTES_5)], 9),
    ];
    assert_snapshot!(follow(vec![Connection::silent_after(first)], 2));
}

/// Guards against changes that are lost with the store's history.
#[test]
fn history_gone() {
    let first = vec![
        page(&[("op/config", ROUTES_2)], 4),
        events(&[], 4),
        status(410),
        page(&[("op/config", ROUTES_5)], 9),
    ];
    assert_snapshot!(follow(vec![Connection::silent_after(first)], 2));
}

/// Guards against a watch from an old revision after a cut, which the store may never answer, and against
/// changes that the store has skipped in an empty answer.
#[test]
fn cut_watch() {
    let first = vec![
        page(&[("op/config", ROUTES_2)], 4),
        events(&[], 4),
        String::new(),
    ];
    let second = vec![
        events(&[], 8),
        status(410),
        page(&[("op/config", ROUTES_5)], 9),
    ];
    let connections = vec![
        Connection::closed_after(first),
        Connection::silent_after(second),
    ];
    assert_snapshot!(follow(connections, 2));
}

/// Guards against giving up on a store that turns calls away, and against older or unreadable routes
/// in force.
#[test]
fn refused_older_and_unreadable() {
    let first = vec![
        status(503),
        status(429),
        page(&[("op/config", ROUTES_5)], 4),
        events(&[("op/config", ROUTES_2)], 5),
        events(
            &[
                ("op/config", "e30="),
                ("servers/i-1", "%%"),
                ("op/config", ROUTES_9),
            ],
            6,
        ),
    ];
    assert_snapshot!(follow(vec![Connection::silent_after(first)], 3));
}

/// Guards against a store that is read although a peer has told the news, news that are applied twice,
/// and a daemon that no longer reads the store when its peer falls silent.
#[test]
fn peer_in_place_of_the_store() {
    let peer = parent();
    let first = vec![
        page(&[("op/config", ROUTES_2), ("servers/i-1", &entry(peer))], 4),
        events(&[("op/config", ROUTES_9)], 9),
    ];
    let (address, calls) = serve(vec![Connection::silent_after(first)]);
    let seen = block_on(async {
        let mut daemon = daemon(address);
        let (asked, reply) = daemon.asked().await;
        let mut seen = vec![asked, daemon.ready().await];
        let gone = |name: &str| Change::TargetGone {
            name: name.to_owned(),
        };
        let _ = reply.send(Ok(news(6, vec![(3, gone("i-1")), (6, gone("i-2"))])));
        seen.push(daemon.world().await);
        let (asked, reply) = daemon.asked().await;
        seen.extend([asked, daemon.ready().await]);
        drop(reply);
        seen.push(daemon.world().await);
        seen
    });
    let text = format!("{}\n{}", made(&calls), seen.join("\n"));
    assert_snapshot!(text.replace(&peer.to_string(), "PEER"));
}

/// Guards against a peer that asks in vain, or is told what it knows.
#[test]
fn peers_are_told() {
    let first = vec![
        page(&[("op/config", ROUTES_2)], 4),
        events(&[("servers/i-1", &entry(parent()))], 7),
    ];
    let (address, _calls) = serve(vec![Connection::silent_after(first)]);
    let seen = block_on(async {
        let daemon = daemon(address);
        let mut seen = Vec::new();
        for revision in [2, 4, 7] {
            let (reply, news) = oneshot::channel();
            let position = StorePosition {
                age: None,
                revision,
            };
            let message = ControlMessage::Ask { position, reply };
            daemon.control.unbounded_send(message).expect("it runs");
            let StoreUpdate { head, payload } = news.await.expect("there are news");
            let payload = match payload {
                UpdatePayload::Changes(changes) => {
                    let revisions: Vec<_> = changes.iter().map(|(at, _)| *at).collect();
                    format!("changes {revisions:?}")
                }
                UpdatePayload::Contents(contents) => format!("{} targets", contents.targets.len()),
                UpdatePayload::TooLarge => "too much".to_owned(),
            };
            seen.push(format!("after {revision}: {}, {payload}", head.revision));
        }
        seen.join("\n")
    });
    assert_snapshot!(seen);
}

/// Guards against targets that a daemon gives up because its peers can't see them, although it is cut off
/// from the store with them; and against a target that gets work after it has left.
#[rstest]
#[case::reached(events(&[], 4), "world v2, 1 targets, 0 used")]
#[case::cut_off(status(503), "world v2, 1 targets, 1 used")]
fn peer_says_a_target_is_gone(#[case] check: String, #[case] expected: &str) {
    let peer = parent();
    let first = vec![
        page(&[("op/config", ROUTES_2), ("servers/i-1", &entry(peer))], 4),
        check,
    ];
    let (address, calls) = serve(vec![Connection::silent_after(first)]);
    let seen = block_on(async {
        let mut daemon = daemon(address);
        let (_, reply) = daemon.asked().await;
        let _ = reply.send(Ok(news(4, Vec::new())));
        assert_eq!(daemon.world().await, "world v2, 1 targets, 1 used");
        // By now the store has not been heard of for long enough that it is checked.
        monoio::time::sleep(Duration::from_millis(600)).await;
        let (_, reply) = daemon.asked().await;
        let gone = Change::TargetGone {
            name: "i-1".to_owned(),
        };
        let _ = reply.send(Ok(news(5, vec![(5, gone)])));
        daemon.world().await
    });
    assert_eq!(seen, expected);
    let last = calls.try_iter().last();
    assert!(last.is_some_and(|call| call.contains("allowStale=1")));
}
