//! One HTTP exchange between a caller and a daemon.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use serde::Deserialize;

use hawthornwall_testkit::http1::Connection;
use hawthornwall_testkit::payload::{REQUEST_HEADER, SIZE_HEADER, verify};
use hawthornwall_testkit::wall_micros;

/// Timeout for an answer, well above every deadline of the system.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Content of an operation's request, the same for every retry.
#[derive(Clone, Debug)]
pub(super) struct RequestSpec {
    /// Deadline header of the request, in milliseconds.
    pub deadline: Option<u64>,
    pub key: Option<String>,
    pub method: &'static str,
    /// Number of the operation, equal to the number of its first request.
    pub operation: u64,
    pub service: String,
    /// Requested length of the answer's body, in bytes.
    pub size: usize,
}

/// A request together with the connection on which it is sent.
#[derive(Debug)]
pub(super) struct PendingExchange {
    pub connection: Connection,
    pub daemon: usize,
    pub number: u64,
    pub request: Request<Bytes>,
}

/// Result of an exchange.
#[derive(Debug)]
pub(super) struct ExchangeResult {
    /// `None` if the connection broke or the timeout expired.
    pub answer: Option<Response<Bytes>>,
    /// End of the exchange, in microseconds since the Unix epoch.
    pub at: u64,
    /// `None` if the connection can't be reused.
    pub connection: Option<Connection>,
    pub daemon: usize,
    pub number: u64,
    /// Whether the timeout expired without an answer.
    pub silent: bool,
}

impl RequestSpec {
    /// Request body, different for every operation.
    pub fn body(&self) -> Vec<u8> {
        if self.method == "GET" {
            return Vec::new();
        }
        let pattern = format!("{}/", self.operation);
        let length = 10 + self.size / 2;
        pattern.bytes().cycle().take(length).collect()
    }

    /// Builds the request with the given request number.
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

    /// Returns the request number stated in an answer, and whether the answer is exactly the one
    /// expected for a request of this operation. `numbers` are the request numbers sent so far.
    pub fn verify(&self, body: &[u8], number: u64, numbers: &[u64]) -> (Option<u64>, bool) {
        let sent = self.body();
        let verdict = verify(body, number, &sent, self.size);
        let matching = verdict.request.filter(|stated| numbers.contains(stated));
        let whole = matching.is_some_and(|stated| verify(body, stated, &sent, self.size).whole);
        (verdict.request, whole)
    }
}

impl PendingExchange {
    /// Sends the request and reads the answer.
    pub async fn finish(self) -> ExchangeResult {
        let Self {
            mut connection,
            daemon,
            number,
            request,
        } = self;
        let result = monoio::time::timeout(ANSWER_TIMEOUT, connection.exchange(&request)).await;
        let silent = result.is_err();
        let answer = result.ok().and_then(Result::ok);
        let reusable = answer.as_ref().is_some_and(keeps_alive) && !connection.has_unread_bytes();
        ExchangeResult {
            answer,
            at: wall_micros(),
            connection: reusable.then_some(connection),
            daemon,
            number,
            silent,
        }
    }
}

/// Opens a connection to a daemon; `None` if that fails or takes over a second.
pub(super) async fn connect(address: SocketAddr) -> Option<Connection> {
    let opened = monoio::time::timeout(Duration::from_secs(1), Connection::open(address)).await;
    opened.ok()?.ok()
}

/// Requests an idempotency key for the service from a daemon.
pub(super) async fn issue_key(
    connection: &mut Connection,
    service: &str,
    host: SocketAddr,
) -> Option<String> {
    #[derive(Deserialize)]
    struct IssuedKey {
        key: String,
    }
    let request = Request::builder()
        .method("POST")
        .uri(format!("/.hawthornwall/keys/{service}"))
        .header("host", host.to_string())
        .body(Bytes::new())
        .ok()?;
    let answer = monoio::time::timeout(ANSWER_TIMEOUT, connection.exchange(&request)).await;
    let answer = answer.ok()?.ok()?;
    let parsed: IssuedKey = serde_json::from_slice(answer.body()).ok()?;
    Some(parsed.key)
}

/// Value of a header; empty if it is absent.
pub(super) fn header(answer: &Response<Bytes>, name: &str) -> String {
    let value = answer.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn keeps_alive(answer: &Response<Bytes>) -> bool {
    !header(answer, "connection").eq_ignore_ascii_case("close")
}
