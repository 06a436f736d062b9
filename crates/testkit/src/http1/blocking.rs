//! Blocking HTTP client for the launcher and tests, which have no runtime.

use std::fmt;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};

use super::codec::{Fault, encode_request, parse_answer};

/// Maximum time to connect, and to wait for each part of an answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Failure to obtain a usable answer.
#[derive(Debug)]
pub enum BlockingError {
    /// The connection failed, or the answer was incomplete or malformed.
    Fault(Fault),
    /// The answer is not valid JSON.
    Json(serde_json::Error),
    /// The status is neither 200 nor 201; the text is the body.
    Status(u16, String),
}

impl fmt::Display for BlockingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fault(fault) => fault.fmt(f),
            Self::Json(e) => write!(f, "the answer is not valid JSON: {e}"),
            Self::Status(status, body) => write!(f, "status {status}: {body}"),
        }
    }
}

impl std::error::Error for BlockingError {}

/// Sends one request on a new connection and reads the answer.
///
/// # Errors
///
/// Returns an error if connecting fails, or if the answer is incomplete, malformed or late.
pub fn exchange_once(
    address: SocketAddr,
    request: &Request<Bytes>,
) -> Result<Response<Bytes>, Fault> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(&encode_request(request))?;
    let (mut received, mut part) = (Vec::new(), [0; 4096]);
    loop {
        let n = match stream.read(&mut part) {
            Ok(n) => n,
            // A signal to the process, not a fault of the connection.
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(error) => return Err(error.into()),
        };
        received.extend_from_slice(&part[..n]);
        if let Some((answer, _)) = parse_answer(&received, n == 0)? {
            return Ok(answer);
        }
        if n == 0 {
            return Err(Fault::Incomplete);
        }
    }
}

/// Sends `body` as JSON and parses the JSON answer. An empty answer is returned as `null`.
///
/// # Errors
///
/// Returns an error if the exchange fails, the status isn't 200 or 201, or the answer isn't JSON.
pub fn json_once(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<serde_json::Value, BlockingError> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Bytes::copy_from_slice(body.as_bytes()))
        .map_err(|e| BlockingError::Fault(Fault::Value(e.to_string())))?;
    let answer = exchange_once(address, &request).map_err(BlockingError::Fault)?;
    let text = String::from_utf8_lossy(answer.body());
    match answer.status().as_u16() {
        200 | 201 if text.is_empty() => Ok(serde_json::Value::Null),
        200 | 201 => serde_json::from_str(&text).map_err(BlockingError::Json),
        status => Err(BlockingError::Status(status, text.into_owned())),
    }
}
