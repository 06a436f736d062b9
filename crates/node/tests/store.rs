//! The catalog task against a scripted store over loopback.

#[path = "common/catalog.rs"]
mod catalog;
mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use futures::channel::oneshot;
use hawthornwall_core::catalog::{
    PublishedRoutes, Revision, RouteDelta, Snapshot, Sources, StorePosition, UpdateChange,
    UpdatePayload,
};
use hawthornwall_core::ids::Version;
use hawthornwall_node::messages::ControlMessage;
use hawthornwall_wire::peer::StoreUpdate;
use insta::assert_snapshot;
use rstest::rstest;

use catalog::{
    Daemon, LIMIT, PEER_PORT, ROUTES_2, daemon, entry, events, ok, page, parent, status, update,
    update_at,
};
use common::runtime::block_on;
use common::script::{Connection, serve};

const ROUTES_9: &str = "eyJ2ZXJzaW9uIjoicjkiLCJsaXN0ZW5lcnMiOltdLCJjbHVzdGVycyI6W119";
const ROUTES_5: &str = "eyJ2ZXJzaW9uIjoicjUiLCJsaXN0ZW5lcnMiOltdLCJjbHVzdGVycyI6W119";
/// Time for which a daemon is cut off, after which it backs off for as long as it ever does.
const CUT: Duration = Duration::from_secs(6);
/// Interval at which the test checks for a call that was cut.
const POLL: Duration = Duration::from_millis(2);
/// Time within which a daemon that reaches the store again follows a removal that a peer reported during a cut.
const FOLLOW_LIMIT: Duration = Duration::from_secs(3);

/// Runs the task and describes the calls, the routing states that it sent, and whether it was ready before the
/// first and after the last of them.
fn run_script(connections: Vec<Connection>, state_count: usize) -> String {
    let (address, calls) = serve(connections);
    let observations = block_on(async {
        let mut daemon = daemon(address);
        let mut observations = vec![daemon.ready().await];
        for _ in 0..state_count {
            observations.push(daemon.routing().await);
        }
        observations.push(daemon.ready().await);
        observations
    });
    format!("{}\n{}", format_calls(&calls), observations.join("\n"))
}

/// Formats the calls, one per line; durations of watches that depend on the time passed are replaced.
fn format_calls(calls: &std::sync::mpsc::Receiver<String>) -> String {
    let line = |call: String| match call.split_once("waitMs=") {
        Some((start, rest)) if !rest.starts_with("0 ") && !rest.starts_with("800 ") => {
            format!("{start}waitMs=(the rest)")
        }
        Some(_) | None => call,
    };
    let lines: Vec<_> = calls.try_iter().map(line).collect();
    lines.join("\n")
}

/// Guards against a daemon that becomes ready with contents from a stale read, and against missed changes.
#[test]
fn load_then_watch() {
    let first = vec![
        page(&[("op/config", ROUTES_2)], 4),
        events(&[], 4),
        events(&[("op/config", ROUTES_5)], 9),
    ];
    assert_snapshot!(run_script(vec![Connection::silent_after(first)], 2));
}

/// Guards against never reading the store again because one entry of another writer is as large as the
/// store allows: a value of 1 MiB, encoded in base64.
#[test]
fn large_entry_of_another_writer() {
    let large = STANDARD.encode("[".repeat(1 << 20));
    let first = vec![
        page(&[("op/config", ROUTES_2), ("servers/i-1", &large)], 4),
        events(&[("servers/i-1", &large)], 5),
        events(&[("op/config", ROUTES_5)], 9),
    ];
    assert_snapshot!(run_script(vec![Connection::silent_after(first)], 2));
}

/// Base64 of the entry of a target of `service` in `state`, at an address with the last octet `host`.
fn entry_of(service: &str, state: &str, host: u8) -> String {
    STANDARD.encode(format!(
        r#"{{"address":"10.0.0.{host}:80","info":{{"service":"{service}","version":"v1","zone":"a","slots":2}},"status":{{"state":"{state}","sequence":1,"coldRemainingS":0}}}}"#
    ))
}

/// Base64 of a configuration without routes that names a service for each protocol, `s1` and on.
fn protocols(version: u64, protocols: &[&str]) -> String {
    let clusters = protocols.iter().zip(1..);
    let clusters = clusters.map(|(p, n)| format!(r#"{{"name":"s{n}","protocol":"{p}"}}"#));
    let clusters: Vec<_> = clusters.collect();
    let clusters = clusters.join(",");
    STANDARD.encode(format!(
        r#"{{"version":"r{version}","listeners":[],"clusters":[{clusters}]}}"#
    ))
}

/// Guards against requests to targets that speak another protocol than HTTP/1.1, against targets of other
/// services that are lost with them, and against targets that stay unused once a later version names a known
/// protocol.
#[test]
fn unknown_protocol() {
    let first = vec![
        page(
            &[
                ("op/config", &protocols(2, &["h1", "h9"])),
                ("servers/i-1", &entry_of("s1", "ready", 1)),
                ("servers/i-2", &entry_of("s2", "ready", 2)),
                ("servers/i-3", &entry_of("s2", "ready", 3)),
            ],
            4,
        ),
        events(&[], 4),
        events(&[("op/config", &protocols(3, &["h1", "h1"]))], 5),
    ];
    assert_snapshot!(run_script(vec![Connection::silent_after(first)], 2));
}

/// Guards against work for a target in a state that this build doesn't know.
#[test]
fn unknown_state() {
    let first = vec![
        page(
            &[
                ("op/config", ROUTES_2),
                ("servers/i-1", &entry_of("s1", "ready", 1)),
                ("servers/i-2", &entry_of("s1", "resting", 2)),
            ],
            4,
        ),
        events(&[], 4),
        events(&[("servers/i-1", &entry_of("s1", "resting", 1))], 5),
        events(&[("servers/i-2", &entry_of("s1", "ready", 2))], 6),
    ];
    assert_snapshot!(run_script(vec![Connection::silent_after(first)], 3));
}

/// A response of the store in an era.
fn in_era(era: u64, response: &str) -> String {
    response.replacen("\r\n", &format!("\r\nStore-Era: {era}\r\n"), 1)
}

/// The addresses of daemons that query the daemon of this test, and are not queried by it.
fn children() -> impl Iterator<Item = IpAddr> {
    let own = SocketAddr::from(([127, 0, 0, 1], PEER_PORT));
    let after = move |ip: &IpAddr| {
        let daemons = [(SocketAddr::new(*ip, PEER_PORT), "a")];
        Sources::of(own, "a", &daemons).parents.is_empty()
    };
    (1..=255).map(|n| IpAddr::from([10, 0, 0, n])).filter(after)
}

/// Guards against a daemon that watches on from a revision which the store has lost, against routes that go back
/// to an older version, and against targets that go out of use because an older copy lacks them. The first two
/// responses are of era 1; then the store returns from a copy with the routes of version 2 and without i-2, and
/// what is missing is written again, except for i-2.
#[rstest]
#[case::watch("older_copy_in_watch", vec![in_era(2, &events(&[("op/config", ROUTES_9)], 45))])]
#[case::history_gone("older_copy_after_history", vec![in_era(2, &status(410))])]
#[case::busy("older_copy_in_rejection", vec![in_era(2, &status(503))])]
#[case::of_older_era(
    "older_copy_then_older_era",
    vec![in_era(2, &status(410)), in_era(1, &page(&[("op/config", ROUTES_9)], 50))]
)]
fn older_copy(#[case] name: &str, #[case] first_of_era: Vec<String>) {
    let entries: Vec<_> = children().take(2).map(entry).collect();
    let before = [
        ("op/config", ROUTES_5),
        ("servers/i-1", &entries[0]),
        ("servers/i-2", &entries[1]),
    ];
    let copy = [("op/config", ROUTES_2), ("servers/i-1", &entries[0])];
    let mut responses = vec![in_era(1, &page(&before, 40)), in_era(1, &events(&[], 40))];
    responses.extend(first_of_era);
    responses.extend([
        in_era(2, &page(&copy, 30)),
        in_era(2, &events(&[("op/config", ROUTES_9)], 31)),
    ]);
    let (address, calls) = serve(vec![Connection::silent_after(responses)]);
    let observations = block_on(async {
        let mut daemon = daemon(address);
        let mut observations = Vec::new();
        for _ in 0..4 {
            observations.push(daemon.routing().await);
        }
        observations
    });
    let text = format!("{}\n{}", format_calls(&calls), observations.join("\n"));
    assert_snapshot!(name, text);
}

/// Guards against contents of which a part is of an earlier era, since the store has returned from an older copy
/// between two pages.
#[test]
fn load_across_eras() {
    let entry = entry(children().next().expect("half of all addresses come after"));
    let items = format!(r#"[{{"key":"op/config","value":"{ROUTES_9}","revision":40}}]"#);
    let first = ok(&format!(
        r#"{{"items":{items},"hasMore":true,"storeRevision":40}}"#
    ));
    let responses = vec![
        in_era(1, &first),
        in_era(2, &page(&[("servers/i-1", &entry)], 30)),
        in_era(
            2,
            &page(&[("op/config", ROUTES_2), ("servers/i-1", &entry)], 30),
        ),
        in_era(2, &events(&[], 30)),
    ];
    assert_snapshot!(run_script(vec![Connection::silent_after(responses)], 1));
}

/// Guards against missing the changes that the store dropped from its history.
#[test]
fn history_gone() {
    let first = vec![
        page(&[("op/config", ROUTES_2)], 4),
        events(&[], 4),
        status(410),
        page(&[("op/config", ROUTES_5)], 9),
    ];
    assert_snapshot!(run_script(vec![Connection::silent_after(first)], 2));
}

/// Guards against two faults after the connection of a watch has closed. A repeated watch from an old
/// revision may never be answered by the store, so that changes are missed. An empty response at a newer
/// revision may leave out changes, which are missed if the next watch starts at that revision.
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
    assert_snapshot!(run_script(connections, 2));
}

/// Guards against no further calls to a store that rejects some, and against older or undecodable routes in
/// force.
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
    assert_snapshot!(run_script(vec![Connection::silent_after(first)], 3));
}

/// Guards against reads of the store although a peer sends updates, changes that are applied twice, and a
/// daemon that doesn't return to the store when its peer stops replying.
#[test]
fn peer_in_place_of_the_store() {
    let peer = parent();
    let first = vec![
        page(&[("op/config", ROUTES_2), ("servers/i-1", &entry(peer))], 4),
        events(&[("op/config", ROUTES_9)], 9),
    ];
    let (address, calls) = serve(vec![Connection::silent_after(first)]);
    let observations = block_on(async {
        let mut daemon = daemon(address);
        let (query, reply) = daemon.query().await;
        let mut observations = vec![query, daemon.ready().await];
        let gone = |name: &str| UpdateChange::TargetGone {
            name: name.to_owned(),
        };
        let _ = reply.send(Ok(update(6, vec![(3, gone("i-1")), (6, gone("i-2"))])));
        observations.push(daemon.routing().await);
        let (query, reply) = daemon.query().await;
        observations.extend([query, daemon.ready().await]);
        drop(reply);
        observations.push(daemon.routing().await);
        observations
    });
    let text = format!("{}\n{}", format_calls(&calls), observations.join("\n"));
    assert_snapshot!(text.replace(&peer.to_string(), "PEER"));
}

/// Guards against a read of the store for a change of routes that a peer sends as a difference, and against a
/// difference that is applied to other routes than it was taken from.
#[rstest]
#[case::same("same", Version(2))]
#[case::other("other", Version(3))]
fn peer_sends_difference(#[case] name: &str, #[case] base: Version) {
    let peer = parent();
    let first = vec![
        page(&[("op/config", ROUTES_2), ("servers/i-1", &entry(peer))], 4),
        events(&[("op/config", ROUTES_9)], 9),
    ];
    let (address, calls) = serve(vec![Connection::silent_after(first)]);
    let observations = block_on(async {
        let mut daemon = daemon(address);
        let (_, reply) = daemon.query().await;
        let _ = reply.send(Ok(update(4, Vec::new())));
        let mut observations = vec![daemon.routing().await];
        let (_, reply) = daemon.query().await;
        // An update is used only if it is newer than the one before it.
        monoio::time::sleep(Duration::from_millis(10)).await;
        let delta = RouteDelta {
            base,
            limits: None,
            removed: Vec::new(),
            services: BTreeMap::new(),
            unsupported: BTreeSet::new(),
            written: Vec::new(),
            version: Version(5),
        };
        let _ = reply.send(Ok(update(6, vec![(6, UpdateChange::RouteDelta(delta))])));
        observations.push(daemon.routing().await);
        let (query, _) = daemon.query().await;
        observations.push(query);
        observations
    });
    let text = format!("{}\n{}", format_calls(&calls), observations.join("\n"));
    assert_snapshot!(name, text.replace(&peer.to_string(), "PEER"));
}

/// Guards against queries of peers that get no update, or changes that the peer already has.
#[test]
fn queries_are_answered() {
    let first = vec![
        page(&[("op/config", ROUTES_2)], 4),
        events(&[("servers/i-1", &entry(parent()))], 7),
    ];
    let (address, _calls) = serve(vec![Connection::silent_after(first)]);
    let seen = block_on(async {
        let daemon = daemon(address);
        let mut replies = Vec::new();
        for revision in [2, 4, 7] {
            let (reply, update) = oneshot::channel();
            let position = StorePosition {
                age: None,
                revision: Revision::new(0, revision),
            };
            let message = ControlMessage::StoreUpdate { position, reply };
            daemon.control.unbounded_send(message).expect("it runs");
            let StoreUpdate { head, payload } = update.await.expect("the query is answered");
            let payload = match payload {
                UpdatePayload::Changes(changes) => {
                    let revisions: Vec<_> = changes.iter().map(|(at, _)| *at).collect();
                    format!("changes {revisions:?}")
                }
                UpdatePayload::Contents(contents) => format!("{} targets", contents.targets.len()),
                UpdatePayload::TooLarge => "too large".to_owned(),
            };
            replies.push(format!(
                "after {revision}: {}, {payload}",
                head.revision.number
            ));
        }
        replies.join("\n")
    });
    assert_snapshot!(seen);
}

/// Guards against a daemon that can't reach the store and stays with contents that the store has lost although a
/// peer has newer ones, against routes that go back, and against a target that goes out of use because the copy
/// lacks it.
#[test]
fn peer_of_a_later_era_while_cut_off() {
    let peer = parent();
    let first = vec![
        page(
            &[("op/config", ROUTES_2), ("servers/i-1", &entry(peer))],
            40,
        ),
        status(503),
    ];
    let (address, calls) = serve(vec![Connection::silent_after(first)]);
    let observations = block_on(async {
        let mut daemon = daemon(address);
        let (_, reply) = daemon.query().await;
        let _ = reply.send(Ok(update(40, Vec::new())));
        let mut observations = vec![daemon.routing().await];
        // After this delay the last answer of the store is too old, so that the store must be checked.
        monoio::time::sleep(Duration::from_millis(600)).await;
        let (_, reply) = daemon.query().await;
        let copy = Snapshot {
            routes: Some(PublishedRoutes {
                version: Version(1),
                ..PublishedRoutes::default()
            }),
            ..Snapshot::default()
        };
        let copy = UpdatePayload::Contents(copy);
        let _ = reply.send(Ok(update_at(Revision::new(1, 30), copy)));
        observations.push(daemon.routing().await);
        let (query, _) = daemon.query().await;
        observations.push(query);
        observations
    });
    let text = format!("{}\n{}", format_calls(&calls), observations.join("\n"));
    assert_snapshot!(text.replace(&peer.to_string(), "PEER"));
}

/// Guards against changes of a later era that are applied to contents of an earlier one, which they don't follow.
#[test]
fn peer_sends_changes_of_a_later_era() {
    let peer = parent();
    let first = vec![
        page(
            &[("op/config", ROUTES_2), ("servers/i-1", &entry(peer))],
            40,
        ),
        in_era(
            1,
            &page(
                &[("op/config", ROUTES_9), ("servers/i-1", &entry(peer))],
                30,
            ),
        ),
    ];
    let (address, calls) = serve(vec![Connection::silent_after(first)]);
    let observations = block_on(async {
        let mut daemon = daemon(address);
        let (_, reply) = daemon.query().await;
        let _ = reply.send(Ok(update(40, Vec::new())));
        let mut observations = vec![daemon.routing().await];
        let (_, reply) = daemon.query().await;
        let delta = RouteDelta {
            base: Version(2),
            limits: None,
            removed: Vec::new(),
            services: BTreeMap::new(),
            unsupported: BTreeSet::new(),
            written: Vec::new(),
            version: Version(5),
        };
        let changes = UpdatePayload::Changes(vec![(41, UpdateChange::RouteDelta(delta))]);
        let _ = reply.send(Ok(update_at(Revision::new(1, 41), changes)));
        observations.push(daemon.routing().await);
        observations
    });
    let text = format!("{}\n{}", format_calls(&calls), observations.join("\n"));
    assert_snapshot!(text.replace(&peer.to_string(), "PEER"));
}

/// Guards against a daemon of an earlier era that isn't told the later one, or gets changes that don't follow its
/// contents, and against a daemon that learns of a later era from a query, and sends older contents as newer or
/// doesn't read the store again.
#[test]
fn queries_of_other_eras() {
    let child = children().next().expect("half of all addresses come after");
    let entry = entry(child);
    let contents = [("op/config", ROUTES_2), ("servers/i-1", entry.as_str())];
    let first = vec![
        in_era(1, &page(&contents, 4)),
        in_era(1, &events(&[], 4)),
        String::new(),
    ];
    let second = vec![in_era(2, &page(&contents, 2))];
    let connections = vec![
        Connection::silent_after(first),
        Connection::silent_after(second),
    ];
    let (address, calls) = serve(connections);
    let observations = block_on(async {
        let mut daemon = daemon(address);
        let mut observations = vec![daemon.routing().await];
        for position in [Revision::new(0, 900), Revision::new(2, 1)] {
            let (reply, update) = oneshot::channel();
            let message = ControlMessage::StoreUpdate {
                position: StorePosition {
                    age: Some(Duration::ZERO),
                    revision: position,
                },
                reply,
            };
            daemon.control.unbounded_send(message).expect("it runs");
            let update = monoio::time::timeout(LIMIT, update).await;
            let update = update.expect("the query is answered in time");
            let StoreUpdate { head, payload } = update.expect("the query is answered");
            let payload = match payload {
                UpdatePayload::Changes(_) => "changes",
                UpdatePayload::Contents(_) => "contents",
                UpdatePayload::TooLarge => "too large",
            };
            observations.push(format!("after {position}: {payload} at {}", head.revision));
        }
        observations
    });
    let text = format!("{}\n{}", format_calls(&calls), observations.join("\n"));
    assert_snapshot!(text);
}

/// A daemon with the contents of `store` at revision 4, one used target among them, which a peer has confirmed.
async fn member(store: SocketAddr) -> Daemon {
    let mut daemon = daemon(store);
    let (_, reply) = daemon.query().await;
    let _ = reply.send(Ok(update(4, Vec::new())));
    assert_eq!(
        daemon.routing().await,
        "routing state v2, 1 targets, 1 used"
    );
    daemon
}

/// Guards against dropping a target on a peer's report while this daemon is cut off from the store, which
/// may be true of the target too, and against work for a target that has left.
#[rstest]
#[case::reached(events(&[], 4), "routing state v2, 1 targets, 0 used")]
#[case::cut_off(status(503), "routing state v2, 1 targets, 1 used")]
fn peer_reports_removed_target(#[case] check: String, #[case] expected: &str) {
    let peer = parent();
    let first = vec![
        page(&[("op/config", ROUTES_2), ("servers/i-1", &entry(peer))], 4),
        check,
    ];
    let (address, calls) = serve(vec![Connection::silent_after(first)]);
    let routing = block_on(async {
        let mut daemon = member(address).await;
        // After this delay the last answer of the store is too old, so that the store must be checked.
        monoio::time::sleep(Duration::from_millis(600)).await;
        let (_, reply) = daemon.query().await;
        let gone = UpdateChange::TargetGone {
            name: "i-1".to_owned(),
        };
        let _ = reply.send(Ok(update(5, vec![(5, gone)])));
        daemon.routing().await
    });
    assert_eq!(routing, expected);
    let last = calls.try_iter().last();
    assert!(last.is_some_and(|call| call.contains("allowStale=1")));
}

/// Serves a store with one target at `first`, and closes connections while it is cut off. The channel receives a
/// message for each call that is cut.
fn serve_cuts(first: String, cut: Arc<AtomicBool>) -> (SocketAddr, mpsc::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let (failed, received) = mpsc::channel();
    thread::spawn(move || {
        let mut answers = [first].into_iter();
        for stream in listener.incoming().flatten() {
            serve_until_cut(stream, &mut answers, &cut);
            let _ = failed.send(());
        }
    });
    (address, received)
}

fn serve_until_cut(
    mut stream: TcpStream,
    answers: &mut impl Iterator<Item = String>,
    cut: &AtomicBool,
) {
    while let Ok(1..) = stream.read(&mut [0; 4096]) {
        if cut.load(Ordering::Relaxed) {
            return;
        }
        let answer = answers.next().unwrap_or_else(|| events(&[], 5));
        let _ = stream.write_all(answer.as_bytes());
    }
}

/// Guards against requests for up to 4 s after a cut to a target that left during it, because the daemon backs off for
/// up to 2 s and then waits for 2 s more: they are cut when the target ends.
#[test]
fn removal_during_a_cut() {
    let peer = parent();
    let contents = page(&[("op/config", ROUTES_2), ("servers/i-1", &entry(peer))], 4);
    let cut = Arc::new(AtomicBool::new(false));
    let (address, failed) = serve_cuts(contents, Arc::clone(&cut));
    let (routing, took) = block_on(async {
        let mut daemon = member(address).await;
        cut.store(true, Ordering::Relaxed);
        let cut_at = Instant::now();
        let mut unanswered = Vec::new();
        while cut_at.elapsed() < CUT {
            unanswered.push(daemon.query().await);
        }
        let gone = UpdateChange::TargetGone {
            name: "i-1".to_owned(),
        };
        let (_, reply) = daemon.query().await;
        let _ = reply.send(Ok(update(5, vec![(5, gone)])));
        assert_eq!(
            daemon.routing().await,
            "routing state v2, 1 targets, 1 used"
        );
        failed.try_iter().for_each(drop);
        while failed.try_recv().is_err() {
            monoio::time::sleep(POLL).await;
        }
        cut.store(false, Ordering::Relaxed);
        let healed = Instant::now();
        (daemon.routing().await, healed.elapsed())
    });
    assert_eq!(routing, "routing state v2, 1 targets, 0 used");
    assert!(took < FOLLOW_LIMIT, "in force {took:?} after the cut");
}

/// Guards against taking an idle connection that has broken for an outage of the store: a target whose removal
/// a peer reports would stay in use as if it had lost its entry in the outage.
#[rstest]
#[case::closed(Connection::closed_after)]
#[case::silent(Connection::silent_after)]
fn removal_after_idle_connection_broke(#[case] first: fn(Vec<String>) -> Connection) {
    let peer = parent();
    let contents = page(&[("op/config", ROUTES_2), ("servers/i-1", &entry(peer))], 4);
    let connections = vec![
        first(vec![contents]),
        Connection::silent_after(vec![events(&[], 4)]),
    ];
    let (address, calls) = serve(connections);
    let routing = block_on(async {
        let mut daemon = daemon(address);
        let (_, reply) = daemon.query().await;
        let _ = reply.send(Ok(update(4, Vec::new())));
        let mut observations = vec![daemon.routing().await];
        // After this delay the last answer of the store is too old, so that the store must be checked.
        monoio::time::sleep(Duration::from_millis(600)).await;
        let (_, reply) = daemon.query().await;
        let gone = UpdateChange::TargetGone {
            name: "i-1".to_owned(),
        };
        let _ = reply.send(Ok(update(5, vec![(5, gone)])));
        observations.push(daemon.routing().await);
        observations.join("\n")
    });
    let calls: Vec<_> = calls.try_iter().collect();
    let last = calls.last().expect("the store is called");
    assert_eq!(
        routing,
        "routing state v2, 1 targets, 1 used\nrouting state v2, 1 targets, 0 used"
    );
    assert!(
        last.starts_with("connection 1") && last.contains("allowStale=1"),
        "{calls:?}"
    );
}

/// Guards against asking again and again for changes that can't be read, while routes of an old version stay in
/// force: after a long cut there may be more of them than one response may hold, or than the link carries in time.
#[rstest]
#[case::too_long("too_long", 9 << 20)]
#[case::too_slow("too_slow", 4 << 20)]
fn changes_that_cannot_be_read(#[case] name: &str, #[case] length: usize) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    let first = vec![
        page(&[("op/config", ROUTES_2)], 4),
        events(&[], 4),
        head + r#"{"events":["#,
    ];
    let second = vec![page(&[("op/config", ROUTES_9)], 90)];
    let connections = vec![
        Connection::silent_after(first),
        Connection::silent_after(second),
    ];
    assert_snapshot!(name, run_script(connections, 2));
}

/// A response of the store with the deletion of a key.
fn deletion(key: &str, revision: u64) -> String {
    ok(&format!(
        r#"{{"events":[{{"key":"{key}","revision":{revision},"deleted":true}}],"storeRevision":{revision}}}"#
    ))
}

/// Guards against an evacuation that is missed or ends too early, in this order: the stale read of a daemon that
/// starts doesn't contain it, another one begins with a value that can't be decoded, the first is revoked, the
/// store is unavailable, and has lost its history; the last read has neither the key nor an event of its deletion.
#[test]
fn evacuations() {
    let first = vec![
        page(&[("op/config", ROUTES_2)], 4),
        events(&[("op/evacuate/dk-1", "e30=")], 5),
        events(&[("op/evacuate/dk-2", "%%")], 6),
        deletion("op/evacuate/dk-1", 7),
        status(503),
        status(410),
        page(
            &[
                ("op/config", ROUTES_5),
                ("op/evacuate/dk-2", "e30="),
                ("op/evacuate/", "e30="),
            ],
            8,
        ),
        status(410),
        page(&[("op/config", ROUTES_5)], 9),
    ];
    assert_snapshot!(run_script(vec![Connection::silent_after(first)], 5));
}

/// Guards against evacuations that daemons don't learn of from each other, as changes and as contents, and
/// against dropping one with the connection to the peer.
#[test]
fn evacuations_from_a_peer() {
    let peer = parent();
    let first = vec![
        page(&[("op/config", ROUTES_2), ("servers/i-1", &entry(peer))], 4),
        status(503),
    ];
    let (address, _calls) = serve(vec![Connection::silent_after(first)]);
    let observations = block_on(async {
        let mut daemon = daemon(address);
        let (_, reply) = daemon.query().await;
        let begins = |domain: &str| UpdateChange::Evacuated {
            domain: domain.to_owned(),
        };
        let changes = vec![(5, begins("dk-1")), (6, begins("dk-2"))];
        let _ = reply.send(Ok(update(6, changes)));
        let mut observations = vec![daemon.routing().await];
        let (_, reply) = daemon.query().await;
        // An update is used only if it is newer than the one before it.
        monoio::time::sleep(Duration::from_millis(10)).await;
        let ends = UpdateChange::EvacuationEnded {
            domain: "dk-1".to_owned(),
        };
        let _ = reply.send(Ok(update(7, vec![(7, ends)])));
        observations.push(daemon.routing().await);
        for revision in [1, 6] {
            let (reply, update) = oneshot::channel();
            let position = StorePosition {
                age: None,
                revision: Revision::new(0, revision),
            };
            let message = ControlMessage::StoreUpdate { position, reply };
            daemon.control.unbounded_send(message).expect("it runs");
            let StoreUpdate { payload, .. } = update.await.expect("the query is answered");
            observations.push(match payload {
                UpdatePayload::Changes(changes) => format!("after {revision}: {changes:?}"),
                UpdatePayload::Contents(all) => format!("after {revision}: {:?}", all.evacuated),
                UpdatePayload::TooLarge => "too large".to_owned(),
            });
        }
        let (_, reply) = daemon.query().await;
        drop(reply);
        observations.push(daemon.routing().await);
        observations
    });
    assert_snapshot!(observations.join("\n"));
}
