//! A caller's connection over loopback, with the router of a daemon and a gate whose answers are scripted.

#[path = "common/runtime.rs"]
mod runtime;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::config::Rules;
use hawthornwall_core::prelude::*;
use hawthornwall_core::routes::{Destination, Repeatability, Route, RouteTable};
use hawthornwall_core::routing::Policy;
use hawthornwall_node::clock::Clock;
use hawthornwall_node::dialect::Dialect;
use hawthornwall_node::ingress::{Ingress, IngressStart};
use hawthornwall_node::messages::{GateMessage, GateSender, Member, RouterMessage, RoutingState};
use hawthornwall_node::router::{Router, RouterStart};
use hawthornwall_node::telemetry::Telemetry;
use hawthornwall_node::telemetry::trace::Tracer;
use hawthornwall_settings::Settings;
use hawthornwall_wire::peer::{HttpAnswer, RequestId, RunReply, RunResult};
use insta::assert_snapshot;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use rstest::rstest;

use runtime::block_on;

/// Time within which everything that a step leads to has happened.
const SETTLE: Duration = Duration::from_millis(40);
/// Size of one read by the caller, in bytes.
const READ_SIZE: usize = 64 << 10;

/// What a test does next.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The target answers the request for this path.
    Answer(&'static str),
    /// The caller closes the connection.
    Close,
    /// States whether at most this time was left of the request for this path when it was passed on.
    LeftAtMost(&'static str, Duration),
    /// The caller sends these bytes; `|` stands for CR LF.
    Send(&'static str),
    /// The caller sends this many bytes of a body.
    SendBody(usize),
    /// The daemon stops.
    Stop,
    Wait(Duration),
}

fn settings(extra: &str) -> Settings {
    let text = format!(
        r#"{{ "name": "t1", "domain": "a", "caller": {{ "listen": "127.0.0.1:0", {extra} }},
        "target": {{ "address": "127.0.0.1:1" }},
        "peer": {{ "listen": "127.0.0.1:2", "secret": "{}" }},
        "platform": {{ "store": "127.0.0.1:3" }}, "admin": {{ "listen": "127.0.0.1:4" }} }}"#,
        "0".repeat(64)
    );
    Settings::parse(&text).expect("the settings are valid")
}

fn route(prefix: &str, repeats: Repeatability) -> Route {
    Route {
        attempts: 1,
        destinations: vec![Destination {
            service: "s".to_owned(),
            weight: 1,
        }],
        objective: Duration::from_secs(1),
        prefix: prefix.to_owned(),
        rank: 0,
        repeats,
        timeout: Duration::from_secs(5),
    }
}

/// One service with one local target, and a route for each kind of request.
fn routing_state() -> RoutingState {
    let (service, target) = (ServiceId(0), TargetId(0));
    let rules = Rules {
        deadline: Duration::from_secs(5),
        hedge: false,
        queue_wait: Duration::from_secs(1),
        retry_percent: 0,
    };
    let mut config = Configuration {
        version: Version(1),
        ..Configuration::default()
    };
    config.services.insert(
        service,
        Service {
            hosts: BTreeSet::new(),
            name: "s".to_owned(),
            rules,
        },
    );
    config.targets.insert(
        target,
        Target {
            domain: "a".to_owned(),
            name: "t1".to_owned(),
            service,
            slots: 8,
        },
    );
    let mut routes = RouteTable::default();
    routes.insert("h", route("/read/", Repeatability::Idempotent));
    routes.insert("h", route("/order/", Repeatability::NonIdempotent));
    let member = Member {
        expect: None,
        instance: None,
        leaving: false,
        peer: SocketAddr::from(([127, 0, 0, 1], 2)),
    };
    RoutingState {
        config,
        members: BTreeMap::from([(target, member)]),
        own: Some(target),
        routes: Some(Rc::new(routes)),
    }
}

/// Starts the tasks between a caller and the gate, and returns the caller's address, the messages to the
/// gate and the sender of the stop signal.
fn start(
    settings: &Settings,
) -> (
    SocketAddr,
    mpsc::UnboundedReceiver<GateMessage>,
    oneshot::Sender<()>,
) {
    let clock = Clock::start();
    let (router, receiver) = mpsc::unbounded();
    let (gate, gate_messages) = mpsc::unbounded();
    let (peers, _) = mpsc::unbounded();
    let (telemetry, _) = Telemetry::channel();
    let (stop, stopped) = oneshot::channel();
    let task = Router::new(RouterStart {
        clock,
        dialect: Dialect::Platform,
        domain: "a",
        policy: Policy::Expected,
        receiver,
        seed: 1,
        sender: router.clone(),
        service_limit: 100,
    });
    monoio::spawn(task.run());
    let _ = router.unbounded_send(RouterMessage::RoutingState(Rc::new(routing_state())));
    let ingress = Ingress::start(IngressStart {
        clock,
        dialect: Dialect::Platform,
        gate: GateSender::new(gate),
        peers,
        router,
        seed: 0,
        service: None,
        settings: &settings.caller,
        stop: stopped,
        telemetry,
        tracer: Tracer::new(0),
    });
    let ingress = ingress.expect("the listener is bound");
    let address = ingress.address().expect("the listener has an address");
    monoio::spawn(ingress.run());
    (address, gate_messages, stop)
}

/// A request that has been passed on and not answered.
struct Running {
    id: RequestId,
    reply: oneshot::Sender<RunReply>,
}

/// A caller and a gate, and what they have seen.
struct Bench {
    caller: Option<TcpStream>,
    gate: mpsc::UnboundedReceiver<GateMessage>,
    log: Vec<String>,
    passed: BTreeMap<String, Duration>,
    running: BTreeMap<String, Running>,
    stop: Option<oneshot::Sender<()>>,
}

impl Bench {
    async fn perform(&mut self, step: Step) {
        self.log.push(format!("{step:?}"));
        match step {
            Step::Answer(path) => self.answer(path),
            Step::Close => self.caller = None,
            Step::LeftAtMost(path, limit) => {
                let within = self.passed.get(path).is_some_and(|left| *left <= limit);
                self.log.push(format!("    {within}"));
            }
            Step::Send(text) => self.send(text.replace('|', "\r\n").into_bytes()).await,
            Step::SendBody(length) => self.send(vec![b'x'; length]).await,
            Step::Stop => drop(self.stop.take()),
            Step::Wait(time) => monoio::time::sleep(time).await,
        }
        self.settle().await;
    }

    async fn send(&mut self, bytes: Vec<u8>) {
        let caller = self.caller.as_mut().expect("the connection is open");
        caller.write_all(bytes).await.0.expect("the bytes are sent");
    }

    fn answer(&mut self, path: &str) {
        let running = self.running.remove(path).expect("the request runs");
        let answer = HttpAnswer {
            body: path.as_bytes().to_vec(),
            headers: Vec::new(),
            status: 200,
        };
        let _ = running.reply.send(RunReply {
            result: RunResult::Answered(answer),
            held: Duration::ZERO,
            id: running.id,
            report: LoadReport::default(),
        });
    }

    /// Records what the gate and the caller receive until nothing more is expected.
    async fn settle(&mut self) {
        let timer = monoio::time::sleep(SETTLE).fuse();
        pin_mut!(timer);
        let mut caller = self.caller.take();
        let mut received = Vec::new();
        let mut closed = caller.is_none();
        loop {
            let open = caller.as_mut().filter(|_| !closed);
            let read = async move {
                match open {
                    Some(caller) => caller.read(Vec::with_capacity(READ_SIZE)).await,
                    None => std::future::pending().await,
                }
            }
            .fuse();
            pin_mut!(read);
            select_biased! {
                message = self.gate.next() => match message {
                    Some(message) => self.receive(message),
                    None => return,
                },
                (end, bytes) = read => {
                    received.extend_from_slice(&bytes);
                    closed = !matches!(end, Ok(1..));
                }
                () = timer => break,
            }
        }
        self.log_answers(&received);
        if closed && caller.is_some() {
            self.log.push("    caller: connection closed".to_owned());
        }
        self.caller = caller.filter(|_| !closed);
    }

    fn receive(&mut self, message: GateMessage) {
        match message {
            GateMessage::Run { id, reply, run, .. } => {
                let path = run.http.path.clone();
                self.log.push(format!("    gate: run {path}"));
                self.passed.insert(path.clone(), run.time_left);
                self.running.insert(path, Running { id, reply });
            }
            GateMessage::Cancel(_) => self.log.push("    gate: cancel".to_owned()),
            GateMessage::Drain(_)
            | GateMessage::IssueKey { .. }
            | GateMessage::LoadAnswer(_)
            | GateMessage::Probed(_)
            | GateMessage::RoutingState(_)
            | GateMessage::Status(_) => {}
        }
    }

    fn log_answers(&mut self, received: &[u8]) {
        let text = String::from_utf8_lossy(received);
        let shown = |line: &&str| line.starts_with("HTTP/") || line.starts_with("connection:");
        for part in text.split("HTTP/1.1 ").skip(1) {
            let (head, body) = part.split_once("\r\n\r\n").unwrap_or((part, ""));
            let status = head.lines().next().unwrap_or_default();
            let others = head
                .lines()
                .skip(1)
                .filter(shown)
                .collect::<Vec<_>>()
                .join(", ");
            self.log.push(
                format!("    caller: {status} {:?} {others}", body.trim())
                    .trim_end()
                    .to_owned(),
            );
        }
    }
}

/// Performs the steps and returns what the caller and the gate have seen.
fn transcript(extra: &str, steps: &[Step]) -> String {
    block_on(async {
        let settings = settings(extra);
        let (address, gate, stop) = start(&settings);
        let connected: io::Result<TcpStream> = TcpStream::connect_addr(address).await;
        let mut bench = Bench {
            caller: Some(connected.expect("the daemon accepts")),
            gate,
            log: Vec::new(),
            passed: BTreeMap::new(),
            running: BTreeMap::new(),
            stop: Some(stop),
        };
        for step in steps {
            bench.perform(*step).await;
        }
        bench.log.join("\n")
    })
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against requests of one connection that wait for each other without need, are answered out of
/// order, or are run although the answer before them closes the connection.
#[rstest]
// Waits for the answer to the first although targets are idle.
#[case::side_by_side("side_by_side", "", &[
    Step::Send("GET /read/1 HTTP/1.1|host: h||GET /read/2 HTTP/1.1|host: h||"),
    Step::Answer("/read/2"),
    Step::Answer("/read/1"),
])]
#[case::refused_behind("refused_behind", "", &[
    Step::Send("GET /read/1 HTTP/1.1|host: h||GET /none HTTP/1.1|host: h||GET /read/3 HTTP/1.1|host: h||"),
    Step::Answer("/read/3"),
    Step::Answer("/read/1"),
])]
#[case::order_alone("order_alone", "", &[
    Step::Send("GET /read/1 HTTP/1.1|host: h||POST /order/2 HTTP/1.1|host: h|content-length: 1||xGET /read/3 HTTP/1.1|host: h||"),
    Step::Answer("/read/1"),
    Step::Answer("/order/2"),
    Step::Answer("/read/3"),
])]
// A request that waited for its turn is passed on with the caller's whole time.
#[case::waited_time("waited_time", "", &[
    Step::Send("GET /read/1 HTTP/1.1|host: h||POST /order/2 HTTP/1.1|host: h|x-deadline-ms: 3000|content-length: 0||"),
    Step::Wait(ms(200)),
    Step::Answer("/read/1"),
    Step::LeftAtMost("/order/2", ms(2_800)),
])]
#[case::closed_by_caller("closed_by_caller", "", &[
    Step::Send("GET /read/1 HTTP/1.1|host: h||GET /read/2 HTTP/1.1|host: h||"),
    Step::Close,
])]
// The close isn't noticed behind more buffered bytes than a head may have.
#[case::closed_behind_bytes("closed_behind_bytes", r#""head_limit": 1024, "pipeline_requests": 1"#, &[
    Step::Send("GET /read/1 HTTP/1.1|host: h||POST /order/2 HTTP/1.1|host: h|content-length: 9000||"),
    Step::SendBody(2_000),
    Step::Close,
])]
#[case::request_limit("request_limit", r#""pipeline_requests": 2"#, &[
    Step::Send("GET /read/1 HTTP/1.1|host: h||GET /read/2 HTTP/1.1|host: h||GET /read/3 HTTP/1.1|host: h||"),
    Step::Answer("/read/2"),
    Step::Answer("/read/1"),
])]
#[case::caller_asks_to_close("caller_asks_to_close", "", &[
    Step::Send("GET /read/1 HTTP/1.1|host: h|connection: close||GET /read/2 HTTP/1.1|host: h||"),
    Step::Answer("/read/1"),
])]
#[case::http_1_0("http_1_0", "", &[
    Step::Send("GET /read/1 HTTP/1.0|host: h||GET /read/2 HTTP/1.0|host: h||"),
    Step::Answer("/read/1"),
])]
#[case::invalid_behind("invalid_behind", "", &[
    Step::Send("GET /read/1 HTTP/1.1|host: h||nonsense||GET /read/2 HTTP/1.1|host: h||"),
    Step::Answer("/read/1"),
])]
#[case::head_in_the_middle("head_in_the_middle", "", &[
    Step::Send("GET /read/1 HTTP/1.1|host: h||HEAD /read/2 HTTP/1.1|host: h||GET /read/3 HTTP/1.1|host: h||"),
    Step::Answer("/read/3"),
    Step::Answer("/read/2"),
    Step::Answer("/read/1"),
])]
#[case::continue_behind("continue_behind", "", &[
    Step::Send("GET /read/1 HTTP/1.1|host: h||POST /order/2 HTTP/1.1|host: h|content-length: 1|expect: 100-continue||"),
    Step::Answer("/read/1"),
    Step::Send("x"),
    Step::Answer("/order/2"),
])]
#[case::stop_behind("stop_behind", "", &[
    Step::Send("GET /read/1 HTTP/1.1|host: h||GET /read/2 HTTP/1.1|host: h||POST /order/3 HTTP/1.1|host: h|content-length: 0||"),
    Step::Stop,
    Step::Answer("/read/2"),
    Step::Answer("/read/1"),
])]
// Half a request is thrown away by a stop.
#[case::stop_within_request("stop_within_request", "", &[
    Step::Send("POST /order/1 HTTP/1.1|host: h|content-length: 2||x"),
    Step::Stop,
    Step::Send("y"),
    Step::Answer("/order/1"),
])]
#[case::stop_idle("stop_idle", "", &[
    Step::Send("GET /read/1 HTTP/1.1|host: h||"),
    Step::Answer("/read/1"),
    Step::Stop,
])]
#[case::idle_while_running("idle_while_running", r#""idle_ms": 200"#, &[
    Step::Send("GET /read/1 HTTP/1.1|host: h||"),
    Step::Wait(ms(300)),
    Step::Answer("/read/1"),
    Step::Wait(ms(300)),
])]
fn requests_of_one_connection(#[case] name: &str, #[case] extra: &str, #[case] steps: &[Step]) {
    assert_snapshot!(name, transcript(extra, steps));
}
