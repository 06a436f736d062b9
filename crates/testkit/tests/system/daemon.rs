//! Starts daemons, each with addresses of its own, and sends requests to them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hawthornwall_testkit::http1::exchange_once;
use hawthornwall_testkit::launcher::{Child, Folder};
use http::Request;

/// Host of all routes.
pub const HOST: &str = "h.example";
/// Time allowed until daemons answer.
pub const START_LIMIT: Duration = Duration::from_secs(10);

/// Address of one of the two instances of a case.
pub fn address(case: u8, instance: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 213, 2 * case + instance, 1], port))
}

/// Starts a daemon that reads the store of `instance` 0.
pub fn start_daemon(folder: &Folder, case: u8, instance: u8, service: &str) -> Child {
    start_daemon_with(folder, case, instance, service, "")
}

/// Starts a daemon with further sections of its settings, each followed by a comma.
pub fn start_daemon_with(
    folder: &Folder,
    case: u8,
    instance: u8,
    service: &str,
    sections: &str,
) -> Child {
    let listeners = Listeners {
        caller: "",
        peer: r#", "link": "tcp""#,
        peer_port: 7000,
    };
    start_daemon_at(folder, (case, instance), service, sections, listeners)
}

/// Settings of a daemon's listeners.
#[derive(Clone, Copy)]
pub struct Listeners {
    /// Further fields of the section for callers, each after a comma.
    pub caller: &'static str,
    /// Further fields of the section for other daemons, each after a comma.
    pub peer: &'static str,
    /// Port for other daemons.
    pub peer_port: u16,
}

/// Starts the daemon of a case's instance with these listeners.
pub fn start_daemon_at(
    folder: &Folder,
    (case, instance): (u8, u8),
    service: &str,
    sections: &str,
    listeners: Listeners,
) -> Child {
    let at = |port| address(case, instance, port);
    let text = format!(
        r#"{{ "name": "daemon-{instance}", "domain": "a", {sections}"caller": {{ "listen": "{}"{} }},
        "target": {{ "address": "{}", "service": "{service}" }},
        "peer": {{ "listen": "{}"{} }}, "platform": {{ "store": "{}" }},
        "admin": {{ "listen": "{}" }}, "probe": {{ "per_100s": 5000, "slot_share": 10000 }} }}"#,
        at(8000),
        listeners.caller,
        at(9000),
        at(listeners.peer_port),
        listeners.peer,
        address(case, 0, 8500),
        at(8001)
    );
    let settings = folder.file(&format!("{instance}.json"));
    std::fs::write(&settings, text).expect("the folder is writable");
    let arguments = ["--settings".to_owned(), settings.display().to_string()];
    let log = folder.file(&format!("{instance}.log"));
    Child::start("daemon", "hawthornwalld", &arguments, &log).expect("the daemon starts")
}

/// Sends one request to the daemon of `instance` 0 and returns the status of the answer.
pub fn status(case: u8, path: &str, number: u32) -> Option<u16> {
    let request = Request::get(format!("/{path}/{number}"))
        .header("host", HOST)
        .header("x-request-id", format!("{path}-{number}"))
        .header("x-deadline-ms", "1500")
        .body(Bytes::new())
        .expect("the request is valid");
    let answer = exchange_once(address(case, 0, 8000), &request);
    answer.ok().map(|answer| answer.status().as_u16())
}
