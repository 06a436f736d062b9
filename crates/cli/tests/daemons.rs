//! Commands that query daemons, run against a stub server with fixed responses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::SystemTime;

use hawthornwall_cli::exit::Exit;
use hawthornwall_cli::{Output, execute};
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

/// Starts a stub daemon that sends `response` on its first connection and exits. The thread returns
/// the request head that it received.
fn stub_daemon(response: String) -> (SocketAddr, JoinHandle<String>) {
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

fn run(line: &str) -> Output {
    execute(
        line.split_whitespace().map(Into::into),
        SystemTime::UNIX_EPOCH,
    )
}

/// Formats the output, with each stub's address replaced by its position.
fn normalized(output: &Output, addresses: &[SocketAddr]) -> String {
    let mut text = format!(
        "{}--- errors\n{}--- exit {}",
        output.stdout,
        output.stderr,
        output.exit.code()
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

/// Returns an address on which no process listens. A port that was bound and released isn't used,
/// because another test may get it.
fn closed_address() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

/// Guards against one unreachable daemon that prevents the status of the others from being printed.
#[test]
fn status() {
    let (first, first_thread) = stub_daemon(response("200 OK", STATUS));
    let (second, second_thread) = stub_daemon(response("503 Service Unavailable", STARTING));
    let third = closed_address();
    let line = format!("status --daemon {first} --daemon {second} --daemon {third}");
    let output = run(&line);
    assert_eq!(output.exit, Exit::Unreachable);
    assert_snapshot!(normalized(&output, &[first, second, third]));
    for thread in [first_thread, second_thread] {
        let request = thread.join().expect("the stub daemon exits");
        assert!(request.starts_with("GET /status HTTP/1.1\r\n"), "{request}");
    }
}

/// Guards against a JSON status that doesn't state which daemon it belongs to.
#[test]
fn status_json() {
    let (address, _thread) = stub_daemon(response("200 OK", STATUS));
    let output = run(&format!("status --json --daemon {address}"));
    assert_snapshot!(normalized(&output, &[address]));
}

/// Guards against a patch that isn't based on the version in force.
#[rstest]
#[case::show("show", "show")]
#[case::patch_new("patch_new", "patch new --author ada remove-target calendar-1")]
fn config(#[case] name: &str, #[case] line: &str) {
    let (address, _thread) = stub_daemon(response("200 OK", CONFIG));
    let output = run(&format!("{line} --daemon {address}"));
    assert_snapshot!(format!("config_{name}"), normalized(&output, &[address]));
}

/// Guards against an invalid response that is accepted as a configuration.
#[rstest]
#[case::cut("cut", response("200 OK", CONFIG).replace("Content-Length: ", "Content-Length: 1"))]
#[case::no_length("no_length", format!("HTTP/1.1 200 OK\r\n\r\n{CONFIG}"))]
#[case::other_json("other_json", response("200 OK", "[]"))]
#[case::no_http("no_http", "hello".to_owned())]
#[case::nothing("nothing", String::new())]
fn broken_config(#[case] name: &str, #[case] response: String) {
    let (address, _thread) = stub_daemon(response);
    let output = run(&format!("show --daemon {address}"));
    assert_eq!(output.exit, Exit::Content);
    assert_snapshot!(format!("broken_{name}"), normalized(&output, &[address]));
}

/// Guards against a missing error message when the daemon isn't running.
#[test]
fn unreachable() {
    let address = closed_address();
    let output = run(&format!("show --daemon {address}"));
    assert_eq!(output.exit, Exit::Unreachable);
    assert_snapshot!(normalized(&output, &[address]));
}

/// Guards against reporting the response of a daemon without a configuration in force as invalid.
#[test]
fn no_configuration_yet() {
    let body = r#"{"error": "no configuration is in force yet"}"#;
    let (address, _thread) = stub_daemon(response("503 Service Unavailable", body));
    let output = run(&format!("show --daemon {address}"));
    assert_eq!(output.exit, Exit::Unreachable);
    assert_snapshot!(normalized(&output, &[address]));
}

/// Guards against printing the system's message for a timeout, "Resource temporarily unavailable",
/// which doesn't say that the daemon failed to respond.
#[test]
fn timeout() {
    // The system completes the connections, but they are never accepted, as with a paused process.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let output = run(&format!("show --daemon {address}"));
    assert_eq!(output.exit, Exit::Unreachable);
    assert_snapshot!(normalized(&output, &[address]));
}
