//! Several control tasks in one runtime. A fake `peers` task forwards their exchanges; a fake
//! platform is reachable for only some of them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, select_biased};
use hawthornwall_core::config::{Change, Document, Patch, Rules};
use hawthornwall_core::members::Identity;
use hawthornwall_core::prelude::*;
use hawthornwall_node::clock::Clock;
use hawthornwall_node::control::{ControlStart, run};
use hawthornwall_node::messages::{
    ControlMessage, ControlSender, ControlStatus, GateMessage, GateSender, PeerAddress, PeerFault,
    PeersMessage, RouterMessage,
};
use hawthornwall_settings::ControlSettings;
use hawthornwall_wire::peer::{Reply, Request};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};

/// The documents that the platform serves, with their revisions, by path.
type PlatformContent = Rc<RefCell<BTreeMap<&'static str, (u64, String)>>>;
/// All daemons by address, and the addresses that are cut off from the others.
type Network = Rc<RefCell<(BTreeMap<SocketAddr, ControlSender>, BTreeSet<SocketAddr>)>>;

struct Daemon {
    control: ControlSender,
    gate: mpsc::UnboundedReceiver<GateMessage>,
    router: mpsc::UnboundedReceiver<RouterMessage>,
}

impl Daemon {
    fn start(n: u8, platform: SocketAddr, network: &Network) -> Self {
        let (control, receiver) = mpsc::unbounded();
        let (gate, gate_receiver) = mpsc::unbounded();
        let (router, router_receiver) = mpsc::unbounded();
        let (peers, peers_receiver) = mpsc::unbounded();
        network.borrow_mut().0.insert(peer(n), control.clone());
        monoio::spawn(forward_exchanges(
            peer(n),
            peers_receiver,
            Rc::clone(network),
        ));
        monoio::spawn(run(ControlStart {
            clock: Clock::start(),
            config: platform,
            gate: GateSender::new(gate),
            identity: Identity {
                domain: format!("dk-{n}"),
                instance: InstanceId(u64::from(n)),
                peer: peer(n),
                target: format!("t{n}"),
            },
            instances: platform,
            peers,
            receiver,
            router,
            seed: u64::from(n),
            seeds: [1, 2].into_iter().filter(|s| *s != n).map(peer).collect(),
            sender: control.clone(),
            settings: ControlSettings {
                exchange: Duration::from_millis(100),
                start_wait: Duration::from_millis(100),
                watchers: 1,
            },
            started: 1,
        }));
        Self {
            control,
            gate: gate_receiver,
            router: router_receiver,
        }
    }

    async fn status(&self) -> ControlStatus {
        let (reply, status) = oneshot::channel();
        let _ = self.control.unbounded_send(ControlMessage::Status(reply));
        status.await.expect("the control task runs")
    }

    /// Waits until the status fulfils a condition.
    async fn wait_until(&self, what: &str, reached: impl Fn(&ControlStatus) -> bool) {
        for _ in 0..500 {
            if reached(&self.status().await) {
                return;
            }
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("{what} not reached: {:?}", self.status().await);
    }
}

fn peer(n: u8) -> SocketAddr {
    ([10, 0, 0, n], 7000).into()
}

/// Forwards exchanges of one daemon to others, unless one of the two is cut off.
async fn forward_exchanges(
    own: SocketAddr,
    mut messages: mpsc::UnboundedReceiver<PeersMessage>,
    network: Network,
) {
    while let Some(message) = messages.next().await {
        let PeersMessage::Send { reply, request, to } = message else {
            continue;
        };
        let (Request::Exchange(exchange), PeerAddress::Socket(to)) = (request, to) else {
            panic!("control sends only exchanges to addresses");
        };
        let target = {
            let (daemons, isolated) = &*network.borrow();
            daemons
                .get(&to)
                .filter(|_| isolated.contains(&to) == isolated.contains(&own))
                .cloned()
        };
        let Some(target) = target else {
            let _ = reply.send(Err(PeerFault::Unreachable));
            continue;
        };
        monoio::spawn(async move {
            let (sender, receiver) = oneshot::channel();
            let _ = target.unbounded_send(ControlMessage::Exchange {
                exchange,
                reply: sender,
            });
            if let Ok(exchange) = receiver.await {
                let _ = reply.send(Ok(Reply::Exchange(Box::new(exchange))));
            }
        });
    }
}

fn serve(content: &PlatformContent) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let content = Rc::clone(content);
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(serve_connection(stream, Rc::clone(&content)));
        }
    });
    address
}

async fn serve_connection(mut stream: TcpStream, content: PlatformContent) {
    loop {
        let (read, buffer) = stream.read(Vec::with_capacity(4096)).await;
        if read.unwrap_or(0) == 0 {
            return;
        }
        let text = String::from_utf8_lossy(&buffer).into_owned();
        let number = |name| {
            let (_, rest) = text.split_once(name).expect("the reader names it");
            let end = rest
                .find(|c: char| !c.is_ascii_digit())
                .unwrap_or(rest.len());
            rest[..end].parse::<u64>().expect("it is a number")
        };
        let path = if text.starts_with("GET /config?") {
            "/config"
        } else {
            "/instances"
        };
        let mut reply = "HTTP/1.1 304 Not Modified\r\n\r\n".to_owned();
        for _ in 0..=number("wait=") / 10 {
            if let Some((revision, body)) = content.borrow().get(path)
                && *revision > number("since=")
            {
                let length = body.len();
                reply = format!(
                    "HTTP/1.1 200 OK\r\nRevision: {revision}\r\nContent-Length: {length}\r\n\r\n{body}"
                );
                break;
            }
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        let _ = stream.write_all(reply.into_bytes()).await;
    }
}

/// A document with `count` patches, each creating a service and its target.
fn document(count: u8) -> String {
    let patch = |n: u8| Patch {
        author: "trainee".to_owned(),
        base: Version(u64::from(n) - 1),
        changes: vec![
            Change::CreateService {
                name: format!("s{n}"),
                hosts: BTreeSet::new(),
                rules: Rules::default(),
            },
            Change::CreateTarget {
                name: format!("t{n}"),
                service: format!("s{n}"),
                domain: format!("dk-{n}"),
                slots: 1,
            },
        ],
        note: String::new(),
        time: String::new(),
    };
    let patches = (1..=count).map(patch).collect();
    let document = Document {
        patches,
        ..Document::default()
    };
    serde_json::to_string(&document).expect("a document is JSON")
}

fn in_runtime(future: impl Future<Output = ()>) {
    let runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build();
    runtime.expect("the runtime starts").block_on(future);
}

/// Starts three daemons, of which only the first can reach the platform, and waits until version 4 is in
/// force at all of them.
async fn start(content: &PlatformContent, network: &Network) -> Vec<Daemon> {
    content.borrow_mut().insert("/config", (1, document(4)));
    content.borrow_mut().insert(
        "/instances",
        (1, r#"{"revision": 1, "instances": []}"#.to_owned()),
    );
    let platform = serve(content);
    // The listener is closed, so connections to its address are refused.
    let closed = TcpListener::bind("127.0.0.1:0").map(|l| l.local_addr());
    let closed = closed.and_then(|a| a).expect("a port was free");
    let address = |n| if n == 1 { platform } else { closed };
    let daemons: Vec<_> = (1..=3)
        .map(|n| Daemon::start(n, address(n), network))
        .collect();
    for daemon in &daemons {
        daemon
            .wait_until("v4", |s| s.version == Version(4) && s.ready)
            .await;
        let known = |s: &ControlStatus| s.members.values().filter(|m| m.instance.is_some()).count();
        daemon.wait_until("members", |s| known(s) == 3).await;
    }
    daemons
}

/// Guards against daemons that receive versions only from the platform, and against versions that
/// decrease or are skipped.
#[test]
fn versions_reach_daemons_without_platform() {
    in_runtime(async {
        let (content, network) = (PlatformContent::default(), Network::default());
        let mut daemons = start(&content, &network).await;
        for count in 5..8 {
            content
                .borrow_mut()
                .insert("/config", (u64::from(count), document(count)));
            for daemon in &daemons {
                daemon
                    .wait_until("newer version", |s| s.version == Version(u64::from(count)))
                    .await;
            }
        }
        content.borrow_mut().insert("/config", (9, document(2)));
        monoio::time::sleep(Duration::from_millis(300)).await;
        for daemon in &mut daemons {
            assert_eq!(daemon.status().await.version, Version(7));
            let mut versions = Vec::new();
            while let Ok(RouterMessage::RoutingState(routing)) = daemon.router.try_recv() {
                assert!(routing.config.verify().is_empty());
                versions.push(routing.config.version.0);
            }
            assert!(versions.is_sorted() && versions[0] == 4, "{versions:?}");
            versions.dedup();
            assert_eq!(versions, [4, 5, 6, 7]);
        }
    });
}

/// Guards against a daemon that doesn't receive newer versions after a partition. It lacks more patches
/// than one reply contains, so it must receive the whole configuration.
#[test]
fn partitioned_daemon_catches_up() {
    in_runtime(async {
        let (content, network) = (PlatformContent::default(), Network::default());
        let daemons = start(&content, &network).await;
        network.borrow_mut().1.insert(peer(3));
        content.borrow_mut().insert("/config", (2, document(100)));
        daemons[1]
            .wait_until("v100", |s| s.version == Version(100))
            .await;
        assert_eq!(daemons[2].status().await.version, Version(4));
        network.borrow_mut().1.clear();
        daemons[2]
            .wait_until("v100", |s| s.version == Version(100))
            .await;
    });
}

/// Guards against a leaving member that isn't relayed to all daemons, and against a daemon that the
/// platform marks as leaving and that continues to accept work.
#[test]
fn leaving_state_reaches_all_daemons() {
    in_runtime(async {
        let (content, network) = (PlatformContent::default(), Network::default());
        let mut daemons = start(&content, &network).await;
        let _ = daemons[2].control.unbounded_send(ControlMessage::Leaving);
        let list = r#"{"revision": 2, "instances": [
            {"domain": "dk-2", "peer": "10.0.0.2:7000", "state": "leaving", "target": "t2"}]}"#;
        content
            .borrow_mut()
            .insert("/instances", (2, list.to_owned()));
        for daemon in &daemons {
            let leaving = |s: &ControlStatus| {
                let leaving = s.members.iter().filter(|(_, m)| m.leaving);
                leaving
                    .map(|(target, _)| target.clone())
                    .collect::<Vec<_>>()
                    == ["t2", "t3"]
            };
            daemon.wait_until("leaving", leaving).await;
        }
        let drained = async {
            while let Some(message) = daemons[1].gate.next().await {
                if matches!(message, GateMessage::Drain(_)) {
                    return;
                }
            }
        };
        select_biased! {
            () = Box::pin(drained.fuse()) => {},
            () = Box::pin(monoio::time::sleep(Duration::from_secs(2)).fuse()) => panic!("no drain"),
        }
    });
}
