//! The probe task against a scripted target over loopback.

#[path = "common/runtime.rs"]
mod runtime;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::mpsc;
use hawthornwall_node::clock::Clock;
use hawthornwall_node::dialect::Dialect;
use hawthornwall_node::messages::{GateMessage, GateSender, ProbeMessage};
use hawthornwall_node::probe::{Probe, ProbeStart};
use hawthornwall_node::telemetry::Telemetry;
use hawthornwall_settings::Settings;
use rstest::rstest;

use runtime::block_on;

/// Maximum time of a probe. The daemon's own limit is shorter than a busy machine may take to run the target.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time for the runtime to notice what the target has sent or closed.
const PAUSE: Duration = Duration::from_millis(60);
/// Delay of what the target sends after its answer.
const DELAY: Duration = Duration::from_millis(20);

fn settings(target: SocketAddr) -> Settings {
    let text = format!(
        r#"{{ "name": "t1", "domain": "a", "caller": {{ "listen": "127.0.0.1:1" }},
        "target": {{ "address": "{target}" }},
        "peer": {{ "listen": "127.0.0.1:2", "secret": "{}" }},
        "platform": {{ "store": "127.0.0.1:3" }}, "admin": {{ "listen": "127.0.0.1:4" }},
        "probe": {{ "per_100s": 5000, "slot_share": 10000 }} }}"#,
        "0".repeat(64)
    );
    Settings::parse(&text).expect("the settings are valid")
}

/// Answer to a load check with a number of running requests.
fn answer(running: usize, headers: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\n{headers}X-Server-Load: {running},0,4\r\nContent-Length: 2\r\n\r\n{{}}"
    )
    .into_bytes()
}

/// What the target does besides answering each check with the number of checks so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Extra {
    /// Sends each answer a second time, at once.
    Copy,
    /// Announces that the connection closes, and closes it.
    Close,
    /// Sends each answer a second time, later.
    LateCopy,
    Nothing,
}

/// Serves checks on each connection that is opened, and sends to `done` after all that belongs to a check.
fn serve(extra: Extra, done: Sender<()>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        let mut running = 0;
        for stream in listener.incoming().flatten() {
            serve_connection(stream, extra, &mut running, &done);
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, extra: Extra, running: &mut usize, done: &Sender<()>) {
    let mut buffer = [0; 4096];
    while let Ok(1..) = stream.read(&mut buffer) {
        *running += 1;
        let headers = match extra {
            Extra::Close => "Connection: close\r\n",
            Extra::Copy | Extra::LateCopy | Extra::Nothing => "",
        };
        let answer = answer(*running, headers);
        let _ = stream.write_all(&answer);
        match extra {
            Extra::Close => {
                drop(stream);
                let _ = done.send(());
                return;
            }
            Extra::Copy => {
                let _ = stream.write_all(&answer);
            }
            Extra::LateCopy => {
                thread::sleep(DELAY);
                let _ = stream.write_all(&answer);
            }
            Extra::Nothing => {}
        }
        let _ = done.send(());
    }
}

/// Guards against load reports that are one check old, because a second copy of an answer is taken for the
/// answer to the next check, and against a check that is lost on a connection which the target has closed.
#[rstest]
#[case::once(Extra::Nothing)]
#[case::copy(Extra::Copy)]
#[case::late_copy(Extra::LateCopy)]
#[case::close(Extra::Close)]
fn each_check_gets_its_own_answer(#[case] extra: Extra) {
    let (done, finished) = channel();
    let settings = settings(serve(extra, done));
    let loads = block_on(async {
        let (gate, mut messages) = mpsc::unbounded();
        let (checks, receiver) = mpsc::unbounded();
        let (telemetry, events) = Telemetry::channel();
        let probe = Probe::new(ProbeStart {
            clock: Clock::start(),
            dialect: Dialect::Platform,
            gate: GateSender::new(gate),
            receiver,
            settings: &settings,
            telemetry,
            timeout: TIMEOUT,
        });
        monoio::spawn(probe.run());
        let mut loads = Vec::new();
        for _ in 0..3 {
            let _ = checks.unbounded_send(ProbeMessage::CheckLoad);
            let Some(GateMessage::LoadAnswer(report)) = messages.next().await else {
                panic!("each check is answered");
            };
            loads.push(report.and_then(|r| r.load).map(|load| load.running));
            // A copy that arrives after the next check has been sent can't be told from its answer.
            finished
                .recv_timeout(TIMEOUT)
                .expect("the target has sent all");
            monoio::time::sleep(PAUSE).await;
        }
        drop(events);
        loads
    });
    assert_eq!(loads, [Some(1), Some(2), Some(3)]);
}

/// Guards against a load or a state that is taken from a response whose status isn't one of a final answer, and
/// against a check that is never answered because of it.
#[rstest]
fn checks_with_invalid_statuses(
    #[values(
        "000", "099", "100", "199", "600", "999", "1000", "20", "2x0", "+200", "-200", ""
    )]
    status: &str,
    #[values(Dialect::Own, Dialect::Platform)] dialect: Dialect,
) {
    let address = serve_status(status.to_owned());
    let settings = settings(address);
    let message = block_on(async {
        let (gate, mut messages) = mpsc::unbounded();
        let (checks, receiver) = mpsc::unbounded();
        let (telemetry, events) = Telemetry::channel();
        let probe = Probe::new(ProbeStart {
            clock: Clock::start(),
            dialect,
            gate: GateSender::new(gate),
            receiver,
            settings: &settings,
            telemetry,
            timeout: TIMEOUT,
        });
        monoio::spawn(probe.run());
        let _ = checks.unbounded_send(ProbeMessage::CheckLoad);
        let message = messages.next().await;
        drop((checks, events));
        message
    });
    assert!(
        matches!(message, Some(GateMessage::LoadAnswer(None))),
        "{status}: {message:?}"
    );
}

/// Answers the check on each connection with a status, and closes the connection.
fn serve_status(status: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            let text = String::from_utf8(answer(1, "")).expect("the answer is text");
            let _ = stream.write_all(
                text.replacen("200 OK", &format!("{status} X"), 1)
                    .as_bytes(),
            );
        }
    });
    address
}
