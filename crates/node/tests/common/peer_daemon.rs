//! A peers task with a scripted gate, for tests of the connections between daemons.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use hawthornwall_core::prelude::*;
use hawthornwall_node::clock::Clock;
use hawthornwall_node::messages::{
    GateMessage, GateSender, PeerAddress, PeerFault, PeersMessage, PeersSender,
};
use hawthornwall_node::peers::{Peers, PeersStart};
use hawthornwall_node::telemetry::Telemetry;
use hawthornwall_settings::{LinkKind, PeerSettings};
use hawthornwall_wire::peer::{
    HttpRequest, Reply, Request, RequestId, RunReply, RunRequest, RunResult,
};

/// Silence timeout of the daemons under test.
pub const SILENCE: Duration = Duration::from_millis(150);
/// Maximum time to wait for an expected event.
pub const LIMIT: Duration = Duration::from_secs(3);
/// Maximum message size in bytes.
pub const MESSAGE_LIMIT: usize = 1 << 20;
/// Rate of the link of the daemons under test.
pub const LINK_MBPS: f64 = 10.0;

/// Lowest second octet of the loopback addresses of the daemons under test.
pub const FIRST_NETWORK: u8 = 128;
/// Number of second octets; the process id selects one, so that two runs at once use different addresses.
pub const NETWORKS: u8 = 64;

/// Port of the daemons under test.
const PEER_PORT: u16 = 7000;

pub type PendingReply = oneshot::Receiver<Result<Reply, PeerFault>>;

/// Returns an address whose port stays free until a daemon binds it: no other socket of this machine uses
/// the IP address, neither to listen nor as the source of a connection.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(
        127,
        FIRST_NETWORK + high % NETWORKS,
        low,
        NEXT.fetch_add(1, Relaxed),
    );
    SocketAddr::from((ip, PEER_PORT))
}

/// A peers task, and the messages that it sends to its gate.
pub struct Daemon {
    pub address: SocketAddr,
    pub gate: mpsc::UnboundedReceiver<GateMessage>,
    pub peers: PeersSender,
}

pub fn daemon() -> Daemon {
    daemon_with(Some(LINK_MBPS), SILENCE)
}

pub fn daemon_with(link_mbps: Option<f64>, silence: Duration) -> Daemon {
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
        silence,
    };
    let started = Peers::start(PeersStart {
        memory: hawthornwall_node::memory::Memory::default(),
        clock: Clock::start(),
        control,
        gate: GateSender::new(gate),
        limit: MESSAGE_LIMIT,
        link_mbps,
        receiver,
        router: mpsc::unbounded().0,
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
    pub fn send(&self, to: SocketAddr, id: u64) -> PendingReply {
        self.send_run(to, id, run())
    }

    pub fn send_run(&self, to: SocketAddr, id: u64, run: RunRequest) -> PendingReply {
        let (reply, receiver) = oneshot::channel();
        let message = PeersMessage::Send {
            reply,
            request: Request::Run(RequestId(id), Box::new(run)),
            to: PeerAddress::Socket(to),
        };
        self.peers.unbounded_send(message).expect("the task runs");
        receiver
    }

    /// Returns the next message to the gate.
    pub async fn gate_message(&mut self) -> GateMessage {
        let next = monoio::time::timeout(LIMIT, self.gate.next()).await;
        next.expect("a message arrives").expect("the task runs")
    }

    /// Waits for a request and returns its id and the channel for its reply.
    pub async fn request(&mut self) -> (RequestId, oneshot::Sender<RunReply>) {
        match self.gate_message().await {
            GateMessage::Run { id, reply, .. } => (id, reply),
            other => panic!("no request arrived but {other:?}"),
        }
    }
}

pub fn run() -> RunRequest {
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

pub fn reply(id: RequestId) -> RunReply {
    RunReply {
        result: RunResult::Refused(Refusal::Full),
        held: Duration::ZERO,
        id,
        report: LoadReport::default(),
    }
}

pub async fn end(sent: PendingReply) -> String {
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

pub fn frame(message: &[u8]) -> Vec<u8> {
    [&(message.len() as u32).to_be_bytes(), message].concat()
}
