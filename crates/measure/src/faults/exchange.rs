//! One exchange with a daemon, as a caller sees it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use serde::Deserialize;

use hawthornwall_testkit::http1::Connection;
use hawthornwall_testkit::payload::{REQUEST_HEADER, SIZE_HEADER, verify};
use hawthornwall_testkit::wall_micros;

/// Longest wait for an answer, well above every deadline of the system.
const TIMEOUT: Duration = Duration::from_secs(10);

/// What an operation asks for; a repeat sends the same again.
#[derive(Clone, Debug)]
pub(super) struct Wanted {
    /// The deadline sent along, in milliseconds.
    pub deadline: Option<u64>,
    pub key: Option<String>,
    pub method: &'static str,
    /// Number of the operation: that of its first request.
    pub operation: u64,
    pub service: String,
    /// Length of the answer's body.
    pub size: usize,
}

/// A request on its way.
#[derive(Debug)]
pub(super) struct Flight {
    pub connection: Connection,
    pub daemon: usize,
    pub number: u64,
    pub request: Request<Bytes>,
}

/// How an exchange ended.
#[derive(Debug)]
pub(super) struct Landed {
    /// The answer, `None` if the connection broke.
    pub answer: Option<Response<Bytes>>,
    pub at: u64,
    /// The connection, if it can be used again.
    pub connection: Option<Connection>,
    pub daemon: usize,
    pub number: u64,
    /// Whether nothing came within the longest wait.
    pub silent: bool,
}

impl Wanted {
    /// The request's body, which differs from that of every other operation.
    pub fn body(&self) -> Vec<u8> {
        if self.method == "GET" {
            return Vec::new();
        }
        let pattern = format!("{}/", self.operation);
        let length = 10 + self.size / 2;
        pattern.bytes().cycle().take(length).collect()
    }

    /// The request with its own number.
    pub fn request(&self, number: u64, host: SocketAddr) -> Request<Bytes> {
        let path = format!("/{}/item?call={}", self.service, self.operation);
        let mut builder = Request::builder()
            .method(self.method)
            .uri(path)
            .header("host", host.to_string())
            .header(REQUEST_HEADER, number)
            .header(SIZE_HEADER, self.size);
        if let Some(key) = &self.key {
            builder = builder.header("idempotency-key", key);
        }
        if let Some(deadline) = self.deadline {
            builder = builder.header("hawthornwall-deadline", deadline);
        }
        let request = builder.body(self.body().into());
        request.expect("the parts of the request are valid")
    }

    /// The request number that an answer names, and whether the answer is exactly that of a request
    /// of this operation; `numbers` are those sent so far.
    pub fn verify(&self, body: &[u8], number: u64, numbers: &[u64]) -> (Option<u64>, bool) {
        let sent = self.body();
        let verdict = verify(body, number, &sent, self.size);
        let own = verdict.request.filter(|named| numbers.contains(named));
        let whole = own.is_some_and(|named| verify(body, named, &sent, self.size).whole);
        (verdict.request, whole)
    }
}

impl Flight {
    /// Sends the request and waits for the answer.
    pub async fn land(self) -> Landed {
        let Self {
            mut connection,
            daemon,
            number,
            request,
        } = self;
        let result = monoio::time::timeout(TIMEOUT, connection.exchange(&request)).await;
        let silent = result.is_err();
        let answer = result.ok().and_then(Result::ok);
        let reusable = answer.as_ref().is_some_and(keeps_alive) && !connection.has_unread_bytes();
        Landed {
            answer,
            at: wall_micros(),
            connection: reusable.then_some(connection),
            daemon,
            number,
            silent,
        }
    }
}

/// A connection to a daemon, `None` if it can't be opened in time.
pub(super) async fn connect(address: SocketAddr) -> Option<Connection> {
    let opened = monoio::time::timeout(Duration::from_secs(1), Connection::open(address)).await;
    opened.ok()?.ok()
}

/// The key that a daemon issues.
pub(super) async fn issue_key(
    connection: &mut Connection,
    service: &str,
    host: SocketAddr,
) -> Option<String> {
    #[derive(Deserialize)]
    struct Issued {
        key: String,
    }
    let request = Request::builder()
        .method("POST")
        .uri(format!("/.hawthornwall/keys/{service}"))
        .header("host", host.to_string())
        .body(Bytes::new())
        .ok()?;
    let answer = monoio::time::timeout(TIMEOUT, connection.exchange(&request)).await;
    let answer = answer.ok()?.ok()?;
    let issued: Issued = serde_json::from_slice(answer.body()).ok()?;
    Some(issued.key)
}

/// A header of an answer, empty if it is absent.
pub(super) fn header(answer: &Response<Bytes>, name: &str) -> String {
    let value = answer.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn keeps_alive(answer: &Response<Bytes>) -> bool {
    !header(answer, "connection").eq_ignore_ascii_case("close")
}
