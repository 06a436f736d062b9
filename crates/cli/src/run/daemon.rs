//! Questions to the operators' listener of a daemon.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use error_stack::{Report, ResultExt};
use hawthornwall_wire::head::{Framing, HeadKind, check_head, head_length};
use serde_json::Value;

use crate::exit::Failure;

/// Longest wait for a connection, and for each part of a response.
const PATIENCE: Duration = Duration::from_secs(2);
const HEAD_LIMIT: usize = 16 << 10;
/// Longest response; a configuration has at most 1 MB.
const RESPONSE_LIMIT: u64 = 4 << 20;
const OK: u16 = 200;

/// What a daemon says of itself, or why it says nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DaemonLine {
    /// Address of the operators' listener.
    pub address: SocketAddr,
    /// The status page.
    pub status: Result<Value, String>,
}

impl DaemonLine {
    /// Whether the daemon gave no status.
    pub fn is_unreachable(&self) -> bool {
        self.status.is_err()
    }
}

/// The status of a daemon.
pub(super) fn status(address: SocketAddr) -> DaemonLine {
    let status = get(address, "/status").and_then(|(_, body)| {
        let value = serde_json::from_str::<Value>(&body);
        let value = value.ok().filter(|value| value.get("state").is_some());
        value.ok_or_else(|| Report::new(Failure::Response(address.to_string())))
    });
    let status = status.map_err(|report| format!("{report:#}"));
    DaemonLine { address, status }
}

/// The JSON of the configuration in force at a daemon.
pub(super) fn config(address: SocketAddr) -> Result<String, Report<Failure>> {
    match get(address, "/config")? {
        (OK, body) => Ok(body),
        (status, body) => {
            let failure = Failure::Response(address.to_string());
            Err(Report::new(failure).attach(format!("status {status}: {}", body.trim())))
        }
    }
}

/// Status code and body of a page.
fn get(address: SocketAddr, path: &str) -> Result<(u16, String), Report<Failure>> {
    let silent = || Failure::Daemon(address.to_string());
    let bytes = fetch(address, path).change_context_lazy(silent)?;
    let unclear = || Report::new(Failure::Response(address.to_string()));
    let head = head_length(&bytes, HEAD_LIMIT);
    let (head, body) = match head {
        Ok(Some(length)) => bytes.split_at(length),
        Ok(None) | Err(_) => return Err(unclear()),
    };
    // A response that was cut must not be taken for a shorter one.
    match check_head(head, HeadKind::Answer) {
        Ok(Framing::Length(length)) if length == body.len() => {}
        Ok(_) | Err(_) => return Err(unclear()),
    }
    let mut headers = [httparse::EMPTY_HEADER; hawthornwall_wire::head::HEADER_LIMIT];
    let mut response = httparse::Response::new(&mut headers);
    response.parse(head).map_err(|_| unclear())?;
    let text = String::from_utf8(body.to_vec()).map_err(|_| unclear())?;
    Ok((response.code.ok_or_else(unclear)?, text))
}

fn fetch(address: SocketAddr, path: &str) -> std::io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut bytes = Vec::new();
    stream.take(RESPONSE_LIMIT).read_to_end(&mut bytes)?;
    Ok(bytes)
}
