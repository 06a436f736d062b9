//! An HTTP/1.1 client connection to a service of the platform.

use std::fmt::Write as _;
use std::net::SocketAddr;

use hawthornwall_platform::decode_era;
use hawthornwall_platform::headers::ERA_HEADER;
use hawthornwall_wire::chunks::{ChunkDecoder, ChunkFault};
use hawthornwall_wire::head::{Framing, HeadKind, check_head, head_length};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;

use super::ReadFault;
use crate::keepalive;

/// Longest response head, in bytes.
const HEAD_LIMIT: usize = 8 << 10;
/// Buffer size of one read from the socket, in bytes.
const READ_SIZE: usize = 16 << 10;

/// A complete response.
#[derive(Debug)]
pub(super) struct Response {
    /// The decoded body.
    pub(super) body: Vec<u8>,
    /// Era of the store: 0 without the header, `None` if it is malformed.
    pub(super) era: Option<u64>,
    /// Whether the connection can carry another request.
    pub(super) reusable: bool,
    /// Value of the `Revision` header, which counts changes of the content; `None` if it is absent or
    /// malformed.
    pub(super) revision: Option<u64>,
    /// HTTP status code.
    pub(super) status: u16,
}

/// An open connection and the bytes received on it that are not parsed yet.
#[derive(Debug)]
pub(super) struct Connection {
    /// Longest response body, in bytes.
    body_limit: usize,
    buffer: Vec<u8>,
    /// Whether a part of the current response has arrived.
    responding: bool,
    stream: TcpStream,
}

impl Connection {
    pub(super) async fn open(address: SocketAddr, body_limit: usize) -> Result<Self, ReadFault> {
        let stream = TcpStream::connect_addr(address).await.map_err(broken)?;
        stream.set_nodelay(true).map_err(broken)?;
        // No data arrives while a watch is pending, so that only keepalive probes detect a dead connection early.
        keepalive::enable(&stream).map_err(broken)?;
        let buffer = Vec::new();
        Ok(Self {
            body_limit,
            buffer,
            responding: false,
            stream,
        })
    }

    /// Sends one request and reads the whole response.
    pub(super) async fn get(
        &mut self,
        path: &str,
        host: SocketAddr,
    ) -> Result<Response, ReadFault> {
        let mut head = String::new();
        let _ = write!(head, "GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n");
        self.responding = false;
        let (sent, _) = self.stream.write_all(head.into_bytes()).await;
        sent.map_err(broken)?;
        let length = loop {
            if let Some(length) = head_length(&self.buffer, HEAD_LIMIT).map_err(broken)? {
                break length;
            }
            self.fill_buffer().await?;
        };
        let head: Vec<u8> = self.buffer.drain(..length).collect();
        let (mut response, framing) = parse_head(&head)?;
        response.body = match framing {
            _ if response.status == 304 => Vec::new(),
            Framing::Chunked => self.read_chunked().await?,
            Framing::Length(length) => self.read_exact(length).await?,
            Framing::None => return Err(broken("the response has no length")),
        };
        Ok(response)
    }

    /// The fault of a request that has reached its timeout.
    pub(super) fn timeout_fault(&self) -> ReadFault {
        if self.responding {
            ReadFault::Late
        } else {
            ReadFault::Silent
        }
    }

    /// Completes when an idle connection ends, or when bytes arrive that no request asked for. Either way it
    /// can't be used any more.
    pub(super) async fn idle_end(&mut self) {
        if self.buffer.is_empty() {
            let _ = self.fill_buffer().await;
        }
    }

    async fn read_exact(&mut self, length: usize) -> Result<Vec<u8>, ReadFault> {
        if length > self.body_limit {
            return Err(ReadFault::TooLong);
        }
        while self.buffer.len() < length {
            self.fill_buffer().await?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    async fn read_chunked(&mut self) -> Result<Vec<u8>, ReadFault> {
        let mut body = Vec::new();
        let mut chunks = ChunkDecoder::new(self.body_limit);
        loop {
            let used = chunks.decode(&self.buffer, &mut body);
            self.buffer.drain(..used.map_err(chunk_fault)?);
            if chunks.is_done() {
                return Ok(body);
            }
            self.fill_buffer().await?;
        }
    }

    async fn fill_buffer(&mut self) -> Result<(), ReadFault> {
        let (read, chunk) = self.stream.read(Vec::with_capacity(READ_SIZE)).await;
        if read.map_err(broken)? == 0 {
            return Err(broken("the response is cut"));
        }
        self.buffer.extend_from_slice(&chunk);
        self.responding = true;
        Ok(())
    }
}

fn parse_head(head: &[u8]) -> Result<(Response, Framing), ReadFault> {
    let framing = check_head(head, HeadKind::Answer).map_err(broken)?;
    let mut headers = [httparse::EMPTY_HEADER; hawthornwall_wire::head::HEADER_LIMIT];
    let mut parsed = httparse::Response::new(&mut headers);
    parsed.parse(head).map_err(broken)?;
    let header_value = |name: &str| {
        let found = parsed.headers.iter();
        let mut found = found.filter(|h| h.name.eq_ignore_ascii_case(name));
        found.next().and_then(|h| std::str::from_utf8(h.value).ok())
    };
    let closes = header_value("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    let response = Response {
        body: Vec::new(),
        era: decode_era(header_value(ERA_HEADER)),
        reusable: parsed.version == Some(1) && !closes,
        revision: header_value("revision").and_then(|v| v.trim().parse().ok()),
        status: parsed.code.unwrap_or(0),
    };
    Ok((response, framing))
}

fn chunk_fault(fault: ChunkFault) -> ReadFault {
    match fault {
        ChunkFault::Malformed(_) => broken(fault),
        ChunkFault::TooLarge => ReadFault::TooLong,
    }
}

fn broken(what: impl std::fmt::Display) -> ReadFault {
    ReadFault::Broken(format!("{what}"))
}
