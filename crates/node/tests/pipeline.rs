//! A caller's connection over loopback, with the router of a daemon and a gate whose answers are scripted.

#[path = "common/ingress.rs"]
mod ingress;
#[path = "common/runtime.rs"]
mod runtime;

use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::catalog::RequestLimits;
use hawthornwall_core::prelude::*;
use hawthornwall_core::stop::StopPlan;
use hawthornwall_node::clock::Clock;
use hawthornwall_node::messages::{
    GateMessage, IngressMessage, IngressSender, RouterMessage, RouterSender, RoutingState,
};
use hawthornwall_wire::peer::{HttpAnswer, RequestId, RunReply, RunResult};
use insta::assert_snapshot;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use rstest::rstest;

use hawthornwall_settings::Settings;
use ingress::{Started, routing_state, settings, settings_with, start};
use runtime::block_on;

/// Time within which everything that a step leads to has happened.
const SETTLE: Duration = Duration::from_millis(40);
/// Size of one read by the caller, in bytes.
const READ_SIZE: usize = 64 << 10;
/// Time between a stop and the forced end of the process.
const GRACE: Duration = Duration::from_mins(1);

/// What a test does next.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The target answers the request for this path.
    Answer(&'static str),
    /// The caller closes the connection.
    Close,
    /// The caller closes its sending side only.
    CloseSending,
    /// These failure domains are evacuated; any other evacuation is revoked.
    Evacuate(&'static [&'static str]),
    /// All targets count as leaving, or none does.
    Leaving(bool),
    /// States whether at most this time was left of the request for this path when it was passed on.
    LeftAtMost(&'static str, Duration),
    /// A version of the configuration allows bodies and heads of this many bytes, and this time for a head and between
    /// two requests.
    Limits {
        body: usize,
        head: usize,
        time: Duration,
    },
    /// The caller sends these bytes; `|` stands for CR LF.
    Send(&'static str),
    /// The caller sends this many bytes of a body.
    SendBody(usize),
    /// The daemon stops.
    Stop,
    Wait(Duration),
}

/// A request that has been passed on and not answered.
struct Running {
    id: RequestId,
    reply: oneshot::Sender<RunReply>,
}

/// A caller and a gate, and what they have seen.
struct Harness {
    caller: Option<TcpStream>,
    clock: Clock,
    gate: mpsc::UnboundedReceiver<GateMessage>,
    ingress: IngressSender,
    log: Vec<String>,
    passed: BTreeMap<String, Duration>,
    router: RouterSender,
    running: BTreeMap<String, Running>,
    stop: Option<oneshot::Sender<StopPlan>>,
}

impl Harness {
    async fn perform(&mut self, step: Step) {
        self.log.push(format!("{step:?}"));
        match step {
            Step::Answer(path) => self.answer(path),
            Step::Close => self.caller = None,
            Step::CloseSending => {
                let caller = self.caller.as_mut().expect("the connection is open");
                caller.shutdown().await.expect("the sending side is open");
            }
            Step::Evacuate(domains) => {
                let routing = RoutingState {
                    evacuated: domains.iter().map(ToString::to_string).collect(),
                    ..routing_state()
                };
                let message = RouterMessage::RoutingState(Rc::new(routing));
                let _ = self.router.unbounded_send(message);
            }
            Step::Leaving(leaving) => {
                let mut routing = routing_state();
                for member in routing.members.values_mut() {
                    member.leaving = leaving;
                }
                let message = RouterMessage::RoutingState(Rc::new(routing));
                let _ = self.router.unbounded_send(message);
            }
            Step::LeftAtMost(path, limit) => {
                let within = self.passed.get(path).is_some_and(|left| *left <= limit);
                self.log.push(format!("    {within}"));
            }
            Step::Send(text) => self.send(text.replace('|', "\r\n").into_bytes()).await,
            Step::SendBody(length) => self.send(vec![b'x'; length]).await,
            Step::Limits { body, head, time } => {
                let limits = RequestLimits {
                    body,
                    head,
                    head_time: time,
                    idle: time,
                };
                let routing = RoutingState {
                    limits: Some(limits),
                    ..RoutingState::default()
                };
                let message = IngressMessage::RoutingState(Rc::new(routing));
                let _ = self.ingress.unbounded_send(message);
            }
            Step::Stop => {
                let plan_sender = self.stop.take().expect("the daemon runs");
                let now = self.clock.now();
                let _ = plan_sender.send(StopPlan::new(now, GRACE, Duration::ZERO));
            }
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
            body: bytes::Bytes::copy_from_slice(path.as_bytes()),
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
            | GateMessage::Offer { .. }
            | GateMessage::Probed(_)
            | GateMessage::RoutingState(_)
            | GateMessage::Status(_)
            | GateMessage::Stop(_) => {}
        }
    }

    fn log_answers(&mut self, received: &[u8]) {
        let text = String::from_utf8_lossy(received);
        let shown = |line: &&str| {
            let names = [
                "HTTP/",
                "connection:",
                "hawthornwall-reason: domain",
                "retry-after:",
            ];
            names.iter().any(|name| line.starts_with(name))
        };
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
fn transcript(settings: &Settings, steps: &[Step]) -> String {
    block_on(async {
        let clock = Clock::start();
        let Started {
            address,
            drained: _drained,
            gate,
            ingress,
            router,
            stop,
        } = start(settings, clock);
        let connected: io::Result<TcpStream> = TcpStream::connect_addr(address).await;
        let mut harness = Harness {
            caller: Some(connected.expect("the daemon accepts")),
            clock,
            gate,
            ingress,
            log: Vec::new(),
            passed: BTreeMap::new(),
            router,
            running: BTreeMap::new(),
            stop: Some(stop),
        };
        for step in steps {
            harness.perform(*step).await;
        }
        harness.log.join("\n")
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
// A caller that closes only its sending side gets no answer, and its request is cancelled.
#[case::closed_sending_side("closed_sending_side", "", &[
    Step::Send("GET /read/1 HTTP/1.1|host: h||"),
    Step::CloseSending,
])]
#[case::chunk_extensions_and_trailers("chunk_extensions_and_trailers", "", &[
    Step::Send("POST /order/1 HTTP/1.1|host: h|transfer-encoding: chunked||3;a=b|abc|0;c|X-Y: z||GET /read/2 HTTP/1.1|host: h||"),
    Step::Answer("/order/1"),
    Step::Answer("/read/2"),
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
// The limits of a new version apply to the next request on a connection that is kept.
#[case::body_limit_changes("body_limit_changes", "", &[
    Step::Limits { body: 10, head: 8_000, time: ms(1_000) },
    Step::Send("POST /order/1 HTTP/1.1|host: h|content-length: 10||0123456789"),
    Step::Answer("/order/1"),
    Step::Limits { body: 20, head: 8_000, time: ms(1_000) },
    Step::Send("POST /order/2 HTTP/1.1|host: h|content-length: 11||0123456789a"),
    Step::Answer("/order/2"),
    Step::Limits { body: 5, head: 8_000, time: ms(1_000) },
    Step::Send("POST /order/3 HTTP/1.1|host: h|content-length: 6||012345"),
])]
#[case::body_limit_of_the_settings("body_limit_of_the_settings", r#""body_limit": 5"#, &[
    Step::Limits { body: 10, head: 8_000, time: ms(1_000) },
    Step::Send("POST /order/1 HTTP/1.1|host: h|content-length: 6||012345"),
])]
#[case::head_limit_changes("head_limit_changes", "", &[
    Step::Send("GET /read/1 HTTP/1.1|host: h|x: 0123456789||"),
    Step::Answer("/read/1"),
    Step::Limits { body: 10, head: 30, time: ms(1_000) },
    Step::Send("GET /read/2 HTTP/1.1|host: h|x: 0123456789||"),
])]
// Parts of the head arrive all the time, but it isn't complete in time.
#[case::slow_head("slow_head", "", &[
    Step::Limits { body: 10, head: 8_000, time: ms(400) },
    Step::Send("GET /read/1 HTTP/1.1|"),
    Step::Wait(ms(250)),
    Step::Send("host: h|"),
    Step::Wait(ms(250)),
])]
#[case::idle_limit_changes("idle_limit_changes", "", &[
    Step::Limits { body: 10, head: 8_000, time: ms(500) },
    Step::Send("GET /read/1 HTTP/1.1|host: h||"),
    Step::Answer("/read/1"),
    Step::Wait(ms(350)),
    Step::Send("GET /read/2 HTTP/1.1|host: h||"),
    Step::Answer("/read/2"),
    Step::Wait(ms(650)),
])]
fn requests_of_one_connection(#[case] name: &str, #[case] extra: &str, #[case] steps: &[Step]) {
    assert_snapshot!(name, transcript(&settings(extra), steps));
}

/// Guards against requests that are placed in an evacuated failure domain, or wait there, although the daemon
/// knows of the evacuation: they are refused at once with a time to retry, and those that run are answered.
#[test]
fn service_in_an_evacuated_domain() {
    let steps = [
        Step::Send("GET /read/1 HTTP/1.1|host: h||"),
        Step::Evacuate(&["b", "a"]),
        Step::Answer("/read/1"),
        Step::Send("GET /read/2 HTTP/1.1|host: h||"),
        Step::Send("POST /order/3 HTTP/1.1|host: h|content-length: 0||"),
        Step::Evacuate(&["b"]),
        Step::Send("GET /read/4 HTTP/1.1|host: h||"),
    ];
    assert_snapshot!(transcript(&settings(""), &steps));
}

/// Guards against a body without room that is read on, or refused without telling the caller when to send it again.
#[test]
fn body_without_room() {
    let settings = settings_with(r#""machine": { "memory_mib": 32 },"#, "");
    let steps = [
        Step::Send("POST /order/1 HTTP/1.1|host: h|content-length: 9000000||"),
        Step::SendBody(5_000_000),
    ];
    assert_snapshot!(transcript(&settings, &steps));
}

/// Guards against requests that wait for a service whose targets can't be used, as those of a service with an unknown
/// protocol, which all count as leaving.
#[test]
fn service_without_usable_targets() {
    let steps = [
        Step::Leaving(true),
        Step::Send("GET /read/1 HTTP/1.1|host: h||"),
        Step::Send("POST /order/2 HTTP/1.1|host: h|content-length: 0||"),
        Step::Leaving(false),
        Step::Send("GET /read/3 HTTP/1.1|host: h||"),
    ];
    assert_snapshot!(transcript(&settings(""), &steps));
}
