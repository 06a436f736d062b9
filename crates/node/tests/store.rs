//! The catalog task against a scripted store over loopback.

mod common;

use std::time::Duration;

use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use hawthornwall_node::catalog::{CatalogStart, run};
use hawthornwall_node::clock::Clock;
use hawthornwall_node::messages::{ControlMessage, GateSender, RouterMessage};
use insta::assert_snapshot;

use common::runtime::block_on;
use common::script::{Connection, serve};

/// Longest time that a test waits for another world.
const LIMIT: Duration = Duration::from_secs(3);

/// Base64 of a configuration at a version with one service.
const ROUTES_2: &str = "eyJ2ZXJzaW9uIjoicjIiLCJsaXN0ZW5lcnMiOltdLCJjbHVzdGVycyI6W119";
const ROUTES_9: &str = "eyJ2ZXJzaW9uIjoicjkiLCJsaXN0ZW5lcnMiOltdLCJjbHVzdGVycyI6W119";
const ROUTES_5: &str = "eyJ2ZXJzaW9uIjoicjUiLCJsaXN0ZW5lcnMiOltdLCJjbHVzdGVycyI6W119";

fn page(items: &[(&str, &str)], revision: u64) -> String {
    let items: Vec<_> = items
        .iter()
        .map(|(key, value)| format!(r#"{{"key":"{key}","value":"{value}","revision":1}}"#))
        .collect();
    let items = items.join(",");
    format!(r#"{{"items":[{items}],"hasMore":false,"storeRevision":{revision}}}"#)
}

fn events(items: &[(&str, &str)], revision: u64) -> String {
    page(items, revision).replacen("items", "events", 1)
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

/// Runs the task and describes the versions that other tasks got, whether it was ready before the
/// first, and the calls.
fn follow(connections: Vec<Connection>, worlds: usize) -> String {
    let (address, calls) = serve(connections);
    let seen = block_on(async {
        let (control, receiver) = mpsc::unbounded();
        let (gate, _gate) = mpsc::unbounded();
        let (peers, _peers) = mpsc::unbounded();
        let (router, mut routers) = mpsc::unbounded();
        monoio::spawn(run(CatalogStart {
            clock: Clock::start(),
            gate: GateSender::new(gate),
            own: ([127, 0, 0, 1], 9).into(),
            peer_port: 7,
            peers,
            receiver,
            router,
            seed: 1,
            store: address,
        }));
        let mut seen = vec![format!("ready {}", ready(&control).await)];
        for _ in 0..worlds {
            let Ok(Some(RouterMessage::World(world))) =
                monoio::time::timeout(LIMIT, routers.next()).await
            else {
                seen.push("no other world".to_owned());
                break;
            };
            seen.push(format!("world {}", world.config.version));
        }
        seen.push(format!("ready {}", ready(&control).await));
        seen
    });
    let calls: Vec<_> = calls.try_iter().collect();
    format!("{}\n{}", calls.join("\n"), seen.join("\n"))
}

async fn ready(control: &mpsc::UnboundedSender<ControlMessage>) -> bool {
    let (reply, ready) = oneshot::channel();
    let _ = control.unbounded_send(ControlMessage::Ready(reply));
    ready.await.unwrap_or(false)
}

/// Guards against a daemon that is ready before it knows routes, and against missed changes.
#[test]
fn load_then_watch() {
    let first = vec![
        ok(&page(&[("op/config", ROUTES_2)], 4)),
        ok(&events(&[("op/config", ROUTES_5)], 9)),
    ];
    assert_snapshot!(follow(vec![Connection::silent_after(first)], 2));
}

/// Guards against changes that are lost with the store's history.
#[test]
fn history_gone() {
    let first = vec![
        ok(&page(&[("op/config", ROUTES_2)], 4)),
        status(410),
        ok(&page(&[("op/config", ROUTES_5)], 9)),
    ];
    assert_snapshot!(follow(vec![Connection::silent_after(first)], 2));
}

/// Guards against a watch from an old revision after a cut, which the store may never answer.
#[test]
fn cut_watch() {
    let first = vec![ok(&page(&[("op/config", ROUTES_2)], 4)), String::new()];
    let second = vec![ok(&page(&[("op/config", ROUTES_5)], 9))];
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
        ok(&page(&[("op/config", ROUTES_5)], 4)),
        ok(&events(&[("op/config", ROUTES_2)], 5)),
        ok(&events(
            &[
                ("op/config", "e30="),
                ("servers/i-1", "%%"),
                ("op/config", ROUTES_9),
            ],
            6,
        )),
    ];
    assert_snapshot!(follow(vec![Connection::silent_after(first)], 3));
}
