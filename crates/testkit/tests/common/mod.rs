//! Runs fakes on threads of the test process, and provides a client that formats answers as text.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::thread;

use bytes::Bytes;
use hawthornwall_testkit::http1::exchange_once;
use hawthornwall_testkit::run;
use http::Request;

/// Loopback address with port 0, which binds to any free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Runs `serve` on a new thread with its own runtime, which runs until the test process ends.
pub fn on_thread<T: Send + 'static>(
    serve: impl FnOnce() -> std::io::Result<T> + Send + 'static,
) -> T {
    let (sender, receiver) = channel();
    thread::spawn(move || {
        run(async {
            let started = serve().expect("the fake starts");
            sender.send(started).expect("the receiver is open");
            std::future::pending::<()>().await;
        })
    });
    receiver.recv().expect("the fake starts")
}

/// Sends a request, given as `METHOD PATH [header=value]... [| body]`, on a new connection. Returns
/// the status, all headers except framing headers, and the body.
pub fn ask(address: SocketAddr, request: &str) -> String {
    let (head, body) = request.split_once(" | ").unwrap_or((request, ""));
    let mut words = head.split_whitespace();
    let (method, path) = (words.next().expect("method"), words.next().expect("path"));
    let mut builder = Request::builder().method(method).uri(path);
    builder = builder.header("host", address.to_string());
    for (name, value) in words.filter_map(|w| w.split_once('=')) {
        builder = builder.header(name, value);
    }
    let body = Bytes::copy_from_slice(body.as_bytes());
    let request = builder.body(body).expect("the request is valid");
    match exchange_once(address, &request) {
        Err(fault) => format!("no answer: {fault}"),
        Ok(answer) => {
            let mut text = answer.status().as_u16().to_string();
            let framing = ["content-length", "transfer-encoding"];
            for (name, value) in answer.headers() {
                if !framing.contains(&name.as_str()) {
                    let _ = write!(text, " {name}={}", value.to_str().expect("text"));
                }
            }
            let _ = write!(text, " {}", String::from_utf8_lossy(answer.body()));
            text.trim_end().to_owned()
        }
    }
}
