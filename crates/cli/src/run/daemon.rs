//! HTTP queries to the admin listener of a daemon.

use std::fmt;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use error_stack::{Report, ResultExt};
use hawthornwall_wire::head::{
    Framing, HEADER_LIMIT, HeadFault, HeadKind, check_head, head_length,
};
use serde_json::Value;

use crate::exit::Failure;

/// Timeout of the connection attempt and of each read and write.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response head in bytes.
const HEAD_LIMIT: usize = 16 << 10;
/// Maximum size of a response in bytes. A configuration has at most 1 MB.
const RESPONSE_LIMIT: u64 = 4 << 20;
const OK: u16 = 200;

/// Result of a status query to one daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DaemonStatus {
    /// Address of the daemon's admin listener.
    pub address: SocketAddr,
    /// Content of the status page, or the description of the error.
    pub status: Result<Value, String>,
}

impl DaemonStatus {
    /// Whether the query failed, which includes an invalid response.
    pub fn is_unreachable(&self) -> bool {
        self.status.is_err()
    }
}

/// Queries the status page of a daemon.
pub(super) fn status(address: SocketAddr) -> DaemonStatus {
    let status = get(address, "/status").and_then(|(_, body)| {
        let value = serde_json::from_str::<Value>(&body);
        let value = value.ok().filter(|value| value.get("state").is_some());
        value.ok_or_else(|| Report::new(Failure::Response(address.to_string())))
    });
    let status = status.map_err(|report| format!("{report:#}"));
    DaemonStatus { address, status }
}

/// Fetches the configuration in force at a daemon, as JSON.
pub(super) fn config(address: SocketAddr) -> Result<String, Report<Failure>> {
    match get(address, "/config")? {
        (OK, body) => Ok(body),
        (code, body) => {
            let error_page: Option<Value> = serde_json::from_str(&body).ok();
            let text = error_page.as_ref().and_then(|page| page["error"].as_str());
            Err(Report::new(Failure::Status {
                address: address.to_string(),
                code,
                text: text.unwrap_or("the response gives no reason").to_owned(),
            }))
        }
    }
}

/// Error in a response.
#[derive(Clone, Debug, Eq, PartialEq)]
enum ResponseFault {
    EarlyEnd,
    Head(HeadFault),
    Length,
    Text,
}

impl fmt::Display for ResponseFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::EarlyEnd => f.write_str("the response ends early"),
            Self::Head(fault) => fault.fmt(f),
            Self::Length => f.write_str("the response has no Content-Length"),
            Self::Text => f.write_str("the response isn't valid UTF-8"),
        }
    }
}

impl std::error::Error for ResponseFault {}

/// Fetches a page and returns its status code and body.
fn get(address: SocketAddr, path: &str) -> Result<(u16, String), Report<Failure>> {
    let bytes = fetch(address, path).map_err(describe_timeout);
    let bytes = bytes.change_context_lazy(|| Failure::Daemon(address.to_string()))?;
    decode(&bytes).change_context_lazy(|| Failure::Response(address.to_string()))
}

/// Decodes a response. The body must have exactly the announced length, so that a truncated
/// response isn't accepted as a shorter one.
fn decode(bytes: &[u8]) -> Result<(u16, String), ResponseFault> {
    let length = head_length(bytes, HEAD_LIMIT).map_err(ResponseFault::Head)?;
    let (head, body) = bytes.split_at(length.ok_or(ResponseFault::EarlyEnd)?);
    match check_head(head, HeadKind::Answer).map_err(ResponseFault::Head)? {
        Framing::Chunked | Framing::None => return Err(ResponseFault::Length),
        Framing::Length(length) if length != body.len() => return Err(ResponseFault::EarlyEnd),
        Framing::Length(_) => {}
    }
    let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
    let mut response = httparse::Response::new(&mut headers);
    let malformed = |e: httparse::Error| ResponseFault::Head(HeadFault::Malformed(e.to_string()));
    response.parse(head).map_err(malformed)?;
    let code = response.code.ok_or(ResponseFault::EarlyEnd)?;
    let text = std::str::from_utf8(body).map_err(|_| ResponseFault::Text)?;
    Ok((code, text.to_owned()))
}

/// Replaces the message of a timeout error. Where the system reports a socket timeout as
/// `WouldBlock`, its message is "Resource temporarily unavailable".
fn describe_timeout(error: io::Error) -> io::Error {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => {
            let text = format!("no data received for {} s", TIMEOUT.as_secs());
            io::Error::new(io::ErrorKind::TimedOut, text)
        }
        _ => error,
    }
}

fn fetch(address: SocketAddr, path: &str) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut bytes = Vec::new();
    stream.take(RESPONSE_LIMIT).read_to_end(&mut bytes)?;
    Ok(bytes)
}
