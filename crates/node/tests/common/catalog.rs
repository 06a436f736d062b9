//! The catalog task with a stand-in for the tasks around it, and responses of a scripted store.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use hawthornwall_core::catalog::{Revision, Sources, UpdateChange, UpdateHead, UpdatePayload};
use hawthornwall_node::catalog::{CatalogStart, run};
use hawthornwall_node::clock::Clock;
use hawthornwall_node::messages::{
    ControlMessage, GateSender, PeerAddress, PeerFault, PeersMessage, RouterMessage,
};
use hawthornwall_node::telemetry::Telemetry;
use hawthornwall_wire::peer::{Reply, Request, StoreUpdate};

/// Time allowed for the next routing state or query.
pub const LIMIT: Duration = Duration::from_secs(3);

/// Base64 of routes at version 2, without listeners and clusters.
pub const ROUTES_2: &str = "eyJ2ZXJzaW9uIjoicjIiLCJsaXN0ZW5lcnMiOltdLCJjbHVzdGVycyI6W119";

/// Peer port of all daemons.
pub const PEER_PORT: u16 = 7;

/// A response of the store with items or events, all at one revision.
pub fn content(kind: &str, items: &[(&str, &str)], revision: u64) -> String {
    let items: Vec<_> = items
        .iter()
        .map(|(key, value)| format!(r#"{{"key":"{key}","value":"{value}","revision":{revision}}}"#))
        .collect();
    let items = items.join(",");
    ok(&format!(
        r#"{{"{kind}":[{items}],"hasMore":false,"storeRevision":{revision}}}"#
    ))
}

pub fn page(items: &[(&str, &str)], revision: u64) -> String {
    content("items", items, revision)
}

pub fn events(items: &[(&str, &str)], revision: u64) -> String {
    content("events", items, revision)
}

pub fn ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn status(code: u16) -> String {
    format!("HTTP/1.1 {code} X\r\nContent-Length: 0\r\n\r\n")
}

/// Base64 of the entry of a target that shares the address `ip` with its daemon.
pub fn entry(ip: IpAddr) -> String {
    STANDARD.encode(format!(
        r#"{{"address":"{ip}:80","info":{{"service":"s","version":"v1","zone":"a","slots":2}},"status":{{"state":"ready","sequence":1,"coldRemainingS":0}}}}"#
    ))
}

/// The catalog task and the channels of the tasks around it.
pub struct Daemon {
    pub control: mpsc::UnboundedSender<ControlMessage>,
    pub peers: mpsc::UnboundedReceiver<PeersMessage>,
    pub router: mpsc::UnboundedReceiver<RouterMessage>,
}

pub fn daemon(store: SocketAddr) -> Daemon {
    let (control, receiver) = mpsc::unbounded();
    let (gate, _) = mpsc::unbounded();
    let (ingress, _) = mpsc::unbounded();
    let (peers, peer_messages) = mpsc::unbounded();
    let (router, router_messages) = mpsc::unbounded();
    monoio::spawn(run(CatalogStart {
        clock: Clock::start(),
        domain: "a".to_owned(),
        gate: GateSender::new(gate),
        ingress,
        own_target: ([127, 0, 0, 1], 9).into(),
        peer_port: PEER_PORT,
        peers,
        receiver,
        router,
        seed: 1,
        store,
        telemetry: Telemetry::channel().0,
    }));
    Daemon {
        control,
        peers: peer_messages,
        router: router_messages,
    }
}

impl Daemon {
    pub async fn ready(&self) -> String {
        let (reply, ready) = oneshot::channel();
        let _ = self.control.unbounded_send(ControlMessage::Ready(reply));
        format!("ready {}", ready.await.unwrap_or(false))
    }

    pub async fn routing(&mut self) -> String {
        match monoio::time::timeout(LIMIT, self.router.next()).await {
            Ok(Some(RouterMessage::RoutingState(routing))) => {
                let targets = routing.members.len();
                let used = routing.members.values().filter(|m| !m.leaving).count();
                let version = routing.config.version;
                let evacuated = routing.evacuated.iter();
                let used = [format!("{used} used")].into_iter();
                let all: Vec<_> = used
                    .chain(evacuated.map(|d| format!("{d} evacuated")))
                    .collect();
                format!(
                    "routing state {version}, {targets} targets, {}",
                    all.join(", ")
                )
            }
            Ok(Some(_) | None) | Err(_) => "no other routing state".to_owned(),
        }
    }

    /// Describes the next query of a peer; returns the sender of its reply as well.
    pub async fn query(&mut self) -> (String, oneshot::Sender<Result<Reply, PeerFault>>) {
        loop {
            let next = monoio::time::timeout(LIMIT, self.peers.next()).await;
            if let PeersMessage::Send { reply, request, to } =
                next.expect("a peer is queried").expect("the task runs")
            {
                let PeerAddress::Socket(to) = to else {
                    panic!("the query went to a target");
                };
                let Request::StoreUpdate(position) = request else {
                    panic!("{request:?} is no query for an update");
                };
                let confirmed = position.age.is_some();
                let Revision { era, number } = position.revision;
                let era = (era > 0).then(|| format!(" of era {era}"));
                let era = era.unwrap_or_default();
                let text = format!("{to} after {number}{era}, confirmed {confirmed}");
                return (text, reply);
            }
        }
    }
}

/// The address of a peer that the daemon of this test queries for store updates.
pub fn parent() -> IpAddr {
    let own = SocketAddr::from(([127, 0, 0, 1], PEER_PORT));
    let before = |ip: &IpAddr| {
        let daemons = [(SocketAddr::new(*ip, PEER_PORT), "a")];
        !Sources::of(own, "a", &daemons).parents.is_empty()
    };
    let mut all = (1..=255).map(|n| IpAddr::from([10, 0, 0, n]));
    all.find(before).expect("half of all addresses come before")
}

pub fn update(revision: u64, changes: Vec<(u64, UpdateChange)>) -> Reply {
    let payload = UpdatePayload::Changes(changes);
    update_at(Revision::new(0, revision), payload)
}

pub fn update_at(revision: Revision, payload: UpdatePayload) -> Reply {
    let head = UpdateHead {
        age: Duration::from_millis(1),
        outage: None,
        revision,
    };
    Reply::StoreUpdate(Box::new(StoreUpdate { head, payload }))
}
