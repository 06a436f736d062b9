//! The gate task and the probe task with a target over loopback that turns cold without a restart.

#[path = "common/runtime.rs"]
mod runtime;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use futures::channel::{mpsc, oneshot};
use hawthornwall_core::admission::WorkId;
use hawthornwall_core::catalog::ServiceLimits;
use hawthornwall_core::config::Rules;
use hawthornwall_core::prelude::*;
use hawthornwall_node::clock::Clock;
use hawthornwall_node::dialect::Dialect;
use hawthornwall_node::gate::{GateStart, GateTask};
use hawthornwall_node::messages::{GateMessage, GateSender, RoutingState};
use hawthornwall_node::probe::{PROBE_TIMEOUT, Probe, ProbeStart};
use hawthornwall_node::telemetry::Telemetry;
use hawthornwall_settings::Settings;
use hawthornwall_wire::peer::{Header, HttpRequest, RequestId, RunReply, RunRequest, RunResult};

use runtime::block_on;

/// Requests per second that the cold target bears.
const RATE: f64 = 14.0;
/// Time for which the target runs a request.
const SERVICE: Duration = Duration::from_millis(10);
/// Time between two requests of the caller.
const INTERVAL: Duration = Duration::from_millis(3);
/// Number of requests of the caller.
const REQUESTS: u64 = 1_300;
/// When the target turns cold, and when it is warm again.
const COLD: [Duration; 2] = [Duration::from_millis(1_500), Duration::from_secs(3)];
/// Period in which the target is warm, and its gate has no predecessor to allow for.
const WARM: [Duration; 2] = [Duration::from_millis(1_100), COLD[0]];

/// What the target has received, by time since its start.
#[derive(Default)]
struct Received {
    checks: Vec<Duration>,
    requests: Vec<Duration>,
}

#[derive(Clone)]
struct Worker {
    received: Arc<Mutex<Received>>,
    start: Instant,
}

impl Worker {
    /// Starts a target; returns its address.
    fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let worker = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = worker.clone();
                thread::spawn(move || worker.serve_connection(stream));
            }
        });
        address
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let mut buffer = [0; 4096];
        while let Ok(length @ 1..) = stream.read(&mut buffer) {
            let at = self.start.elapsed();
            let is_check = buffer[..length].starts_with(b"GET /health ");
            let cold = COLD[1].saturating_sub(at);
            let cold = if at < COLD[0] { Duration::ZERO } else { cold };
            let headers = {
                let mut received = self.received.lock().expect("no thread panics");
                if is_check {
                    received.checks.push(at);
                    // A warm target leaves the header out.
                    let stated =
                        (!cold.is_zero()).then(|| format!("X-Cold-Ms: {}\r\n", cold.as_millis()));
                    stated.unwrap_or_default()
                } else {
                    received.requests.push(at);
                    "X-Request-Id: 7\r\nX-Response-Seal: s\r\n".to_owned()
                }
            };
            if !is_check {
                thread::sleep(SERVICE);
            }
            let answer = format!(
                "HTTP/1.1 200 OK\r\n{headers}X-Server-Load: 1,0,18\r\nContent-Length: 2\r\n\r\n{{}}"
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn settings(target: SocketAddr) -> Settings {
    let text = format!(
        r#"{{ "name": "t1", "domain": "a", "caller": {{ "listen": "127.0.0.1:1" }},
        "target": {{ "address": "{target}", "health": "/health" }},
        "peer": {{ "listen": "127.0.0.1:2", "secret": "{}" }},
        "platform": {{ "store": "127.0.0.1:3" }}, "admin": {{ "listen": "127.0.0.1:4" }},
        "probe": {{ "per_100s": 5000, "slot_share": 10000 }} }}"#,
        "0".repeat(64)
    );
    Settings::parse(&text).expect("the settings are valid")
}

fn routing_state() -> RoutingState {
    let (service, target) = (ServiceId(0), TargetId(1));
    let rules = Rules {
        deadline: Duration::from_secs(1),
        hedge: false,
        queue_wait: Duration::from_millis(250),
        retry_percent: 0,
    };
    let service_entry = Service {
        hosts: BTreeSet::new(),
        name: "calendar".to_owned(),
        rules,
    };
    let target_entry = Target {
        domain: "a".to_owned(),
        name: "i-1".to_owned(),
        service,
        slots: 18,
    };
    let limits = ServiceLimits {
        cold: Duration::from_secs(3),
        cold_interval: Duration::from_secs_f64(1.0 / RATE),
    };
    RoutingState {
        config: Configuration {
            services: BTreeMap::from([(service, service_entry)]),
            targets: BTreeMap::from([(target, target_entry)]),
            version: Version(1),
            ..Configuration::default()
        },
        own: Some(target),
        service_limits: BTreeMap::from([(service, limits)]),
        ..RoutingState::default()
    }
}

fn request() -> RunRequest {
    RunRequest {
        expected_target: Some("i-1".to_owned()),
        http: HttpRequest {
            body: bytes::Bytes::new(),
            headers: vec![Header {
                name: "x-request-id".to_owned(),
                value: b"7".to_vec(),
            }],
            method: "GET".to_owned(),
            path: "/a/1".to_owned(),
        },
        key: None,
        time_left: Duration::from_secs(1),
        objective: Duration::ZERO,
        run_once: false,
        max_wait: Duration::from_millis(20),
        rank: 0,
        first_instance: None,
        service: ServiceId(0),
        target: TargetId(1),
        trace: None,
        objective_left: None,
    }
}

/// Starts a gate and its probe task; must be called on a runtime.
fn start_gate(address: SocketAddr) -> mpsc::UnboundedSender<GateMessage> {
    let (gate, receiver) = mpsc::unbounded();
    let (probe, checks) = mpsc::unbounded();
    let (telemetry, events) = Telemetry::channel();
    let settings = settings(address);
    let task = GateTask::new(GateStart {
        clock: Clock::start(),
        dialect: Dialect::Platform,
        instance: InstanceId(1),
        memory: hawthornwall_node::memory::Memory::default(),
        probe,
        receiver,
        settings: &settings,
        telemetry: telemetry.clone(),
    });
    let probe = Probe::new(ProbeStart {
        clock: Clock::start(),
        dialect: Dialect::Platform,
        gate: GateSender::new(gate.clone()),
        receiver: checks,
        settings: &settings,
        telemetry,
        timeout: PROBE_TIMEOUT,
    });
    monoio::spawn(probe.run());
    monoio::spawn(async move {
        task.run().await;
        drop(events);
    });
    gate
}

fn most_in_a_second(times: &[Duration]) -> usize {
    let counts = times.iter().map(|from| {
        let second = *from..*from + Duration::from_secs(1);
        times.iter().filter(|t| second.contains(t)).count()
    });
    counts.max().unwrap_or_default()
}

/// Guards against more requests at a target than it bears while it is cold, which only its answers to health
/// checks state; against more checks than the platform allows; and against a limit that is in force at a warm
/// target, whose answers leave the cold time out.
#[test]
fn requests_at_a_target_that_turns_cold() {
    let worker = Worker {
        received: Arc::default(),
        start: Instant::now(),
    };
    let address = worker.serve();
    let (replies, sent) = block_on(async {
        let gate = start_gate(address);
        let _ = gate.unbounded_send(GateMessage::RoutingState(Rc::new(routing_state())));
        let (mut ends, mut sent) = (Vec::new(), 0);
        for id in 0..REQUESTS {
            sent += usize::from((WARM[0]..WARM[1]).contains(&worker.start.elapsed()));
            let (reply, end) = oneshot::channel::<RunReply>();
            let _ = gate.unbounded_send(GateMessage::Run {
                id: RequestId(id),
                reply,
                run: Box::new(request()),
                work: WorkId(id),
            });
            ends.push(end);
            monoio::time::sleep(INTERVAL).await;
        }
        (futures::future::join_all(ends).await, sent)
    });
    let refused = |reply: &RunReply| matches!(reply.result, RunResult::Refused(Refusal::Cold));
    let replies: Vec<_> = replies.into_iter().map(|r| r.expect("a reply")).collect();
    let cold: Vec<_> = replies.iter().filter(|r| refused(r)).collect();
    assert!(!cold.is_empty(), "no request was refused as target-cold");
    let full = cold.iter().all(|r| r.report.running >= r.report.slots);
    assert!(full, "a report shows free slots while the rate is spent");
    let answered = replies
        .iter()
        .filter(|r| matches!(r.result, RunResult::Answered(_)));
    let received = worker.received.lock().expect("no thread panics");
    assert_eq!(answered.count(), received.requests.len());
    let while_warm = received
        .requests
        .iter()
        .filter(|at| (WARM[0]..WARM[1]).contains(at));
    // A load check that is late on a busy machine limits the requests for some time.
    let while_warm = while_warm.count();
    assert!(while_warm * 4 >= sent, "{while_warm} of {sent} while warm");
    let while_cold = received.requests.iter().copied();
    let while_cold: Vec<_> = while_cold
        .filter(|at| (COLD[0]..COLD[1]).contains(at))
        .collect();
    let most = most_in_a_second(&while_cold);
    assert!(most as f64 <= RATE * 1.5 + 8.0, "{most} in a second");
    // Without requests proved warm, the rate would count as spent for a second after the target turned cold.
    let seconds = COLD[1].saturating_sub(COLD[0]).as_secs_f64();
    let least = RATE * seconds / 2.0;
    assert!(
        while_cold.len() as f64 >= least,
        "{} while cold",
        while_cold.len()
    );
    let checks = most_in_a_second(&received.checks);
    assert!(checks <= 60, "{checks} checks in a second");
    let warm_again = received.requests.iter().filter(|at| **at > COLD[1]).count();
    assert!(
        warm_again > while_cold.len(),
        "{warm_again} requests after the cold time"
    );
}
