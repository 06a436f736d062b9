//! Commands that ask daemons, with a stand-in that sends fixed responses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::SystemTime;

use hawthornwall_cli::exit::Exit;
use hawthornwall_cli::{Finished, execute};
use insta::assert_snapshot;
use rstest::rstest;

const STATUS: &str = r#"{"name": "calendar-1", "state": "serving", "uptime_ms": 93784000,
    "control": {"version": 12, "in_force_ms": 61000},
    "gate": {"report": {"running": 3, "slots": 10, "queued": 1}}}"#;
const STARTING: &str = r#"{"name": "calendar-2", "state": "starting", "uptime_ms": 1500,
    "control": {"version": 0, "in_force_ms": 0}, "gate": null}"#;
const CONFIG: &str = r#"{"digest": "00000000000000aa", "next_service": 1, "next_target": 1, "version": 7,
    "services": {"0": {"name": "calendar"}},
    "targets": {"0": {"domain": "dk-1", "name": "calendar-1", "service": 0, "slots": 10}}}"#;

fn response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// A daemon that sends `response` to its first connection, then ends.
fn daemon(response: String) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let thread = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the tool connects");
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream
                .read_exact(&mut byte)
                .expect("the tool sends a whole head");
            request.push(byte[0]);
        }
        stream
            .write_all(response.as_bytes())
            .expect("the tool reads");
        String::from_utf8(request).expect("the head is text")
    });
    (address, thread)
}

fn run(line: &str) -> Finished {
    execute(
        line.split_whitespace().map(Into::into),
        SystemTime::UNIX_EPOCH,
    )
}

/// Output with the addresses of the stand-ins replaced by their position.
fn readable(finished: &Finished, addresses: &[SocketAddr]) -> String {
    let mut text = format!(
        "{}--- errors\n{}--- exit {}",
        finished.stdout,
        finished.stderr,
        finished.exit.code()
    );
    for (index, address) in addresses.iter().enumerate() {
        text = text.replace(&address.to_string(), &format!("daemon{index}"));
    }
    // The width of the address column depends on the port.
    let blanks = |line: &str| {
        line.split("  ")
            .filter(|w| !w.is_empty())
            .collect::<Vec<_>>()
            .join("  ")
    };
    text.lines().map(blanks).collect::<Vec<_>>().join("\n")
}

/// An address on which nothing listens. A port that was just free may be given to another test.
fn unused() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

/// Guards against a fleet whose status is hidden because one daemon is silent.
#[test]
fn status() {
    let (first, first_thread) = daemon(response("200 OK", STATUS));
    let (second, second_thread) = daemon(response("503 Service Unavailable", STARTING));
    let third = unused();
    let line = format!("status --daemon {first} --daemon {second} --daemon {third}");
    let finished = run(&line);
    assert_eq!(finished.exit, Exit::Unreachable);
    assert_snapshot!(readable(&finished, &[first, second, third]));
    for thread in [first_thread, second_thread] {
        let request = thread.join().expect("the stand-in ends");
        assert!(request.starts_with("GET /status HTTP/1.1\r\n"), "{request}");
    }
}

/// Guards against scripts that can't tell which daemon said what.
#[test]
fn status_json() {
    let (address, _thread) = daemon(response("200 OK", STATUS));
    let finished = run(&format!("status --json --daemon {address}"));
    assert_snapshot!(readable(&finished, &[address]));
}

/// Guards against a patch that is based on anything but the version in force.
#[rstest]
#[case::show("show", "show")]
#[case::patch_new("patch_new", "patch new --author ada remove-target calendar-1")]
fn config(#[case] name: &str, #[case] line: &str) {
    let (address, _thread) = daemon(response("200 OK", CONFIG));
    let finished = run(&format!("{line} --daemon {address}"));
    assert_snapshot!(format!("config_{name}"), readable(&finished, &[address]));
}

/// Guards against a broken response that is taken for a configuration.
#[rstest]
#[case::cut("cut", response("200 OK", CONFIG).replace("Content-Length: ", "Content-Length: 1"))]
#[case::no_length("no_length", format!("HTTP/1.1 200 OK\r\n\r\n{CONFIG}"))]
#[case::other_json("other_json", response("200 OK", "[]"))]
#[case::no_http("no_http", "hello".to_owned())]
#[case::nothing("nothing", String::new())]
fn broken_config(#[case] name: &str, #[case] response: String) {
    let (address, _thread) = daemon(response);
    let finished = run(&format!("show --daemon {address}"));
    assert_eq!(finished.exit, Exit::Content);
    assert_snapshot!(format!("broken_{name}"), readable(&finished, &[address]));
}

/// Guards against a silent failure when the daemon is gone.
#[test]
fn unreachable() {
    let address = unused();
    let finished = run(&format!("show --daemon {address}"));
    assert_eq!(finished.exit, Exit::Unreachable);
    assert_snapshot!(readable(&finished, &[address]));
}

/// Guards against a daemon without a configuration that looks as if it were broken.
#[test]
fn no_configuration_yet() {
    let body = r#"{"error": "no configuration is in force yet"}"#;
    let (address, _thread) = daemon(response("503 Service Unavailable", body));
    let finished = run(&format!("show --daemon {address}"));
    assert_eq!(finished.exit, Exit::Unreachable);
    assert_snapshot!(readable(&finished, &[address]));
}

/// Guards against the system's text for a timeout, "Resource temporarily unavailable", which tells an
/// operator nothing about a paused daemon.
#[test]
fn silent() {
    // Connections are completed by the system and never accepted, as with a paused process.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let finished = run(&format!("show --daemon {address}"));
    assert_eq!(finished.exit, Exit::Unreachable);
    assert_snapshot!(readable(&finished, &[address]));
}
