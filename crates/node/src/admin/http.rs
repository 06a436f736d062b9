//! An HTTP/1.1 connection from an operator.
//!
//! Invariant: every read and write has a timeout, and at most one request is buffered.

use std::fmt;
use std::time::Duration;

use ::http::{Method, StatusCode, Version, header};
use bytes::BytesMut;
use hawthornwall_wire::head::{Framing, HeadFault, HeadKind, check_head, head_length};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use monoio::time::{Instant, timeout, timeout_at};
use monoio_codec::{Decoded, Decoder};
use monoio_http::common::request::RequestHead;
use monoio_http::h1::codec::decoder::RequestHeadDecoder;

/// Longest request head, in bytes.
const HEAD_LIMIT: usize = 8 << 10;
/// Longest request body, in bytes. Bodies are read and ignored, so that a client that sends one still gets
/// its response.
const BODY_LIMIT: usize = 16 << 10;
/// Buffer size of one read from the socket, in bytes.
const READ_SIZE: usize = 4 << 10;
/// Time allowed for the next request on a connection to start.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time from the first byte of a request to its last byte.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time allowed for writing a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// A completely received request, without its body.
#[derive(Debug)]
pub(super) struct Request {
    pub keep_alive: bool,
    pub method: Method,
    pub path: String,
}

/// Why a request is rejected.
#[derive(Debug)]
pub(super) enum RequestFault {
    /// The body is longer than [`BODY_LIMIT`]; holds its length in bytes.
    Body(usize),
    Chunked,
    Decode(String),
    Head(HeadFault),
    /// The request didn't arrive within [`READ_TIMEOUT`].
    Slow,
}

impl RequestFault {
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Body(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Chunked => StatusCode::LENGTH_REQUIRED,
            Self::Head(HeadFault::TooLarge) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::Decode(_) | Self::Head(_) => StatusCode::BAD_REQUEST,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

impl fmt::Display for RequestFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Body(length) => write!(f, "the body has {length} bytes, accepted: {BODY_LIMIT}"),
            Self::Chunked => f.write_str("a chunked body is not accepted here"),
            Self::Decode(what) => write!(f, "malformed HTTP head: {what}"),
            Self::Head(fault) => fault.fmt(f),
            Self::Slow => write!(
                f,
                "the request took longer than {} s",
                READ_TIMEOUT.as_secs()
            ),
        }
    }
}

/// Format of a response body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Content {
    Json,
    Metrics,
}

impl Content {
    fn media_type(self) -> &'static str {
        match self {
            Self::Json => "application/json",
            Self::Metrics => "application/openmetrics-text; version=1.0.0; charset=utf-8",
        }
    }
}

/// A response to an operator's request.
#[derive(Debug)]
pub(super) struct Response {
    /// Method for the `Allow` header of a response with status 405; `None` for other responses.
    pub allow: Option<Method>,
    pub body: String,
    pub content: Content,
    pub status: StatusCode,
}

impl Response {
    fn encode(&self, keep_alive: bool) -> Vec<u8> {
        let allow = match &self.allow {
            Some(method) => format!("Allow: {method}\r\n"),
            None => String::new(),
        };
        let connection = if keep_alive { "keep-alive" } else { "close" };
        let (status, body) = (self.status, &self.body);
        let content = self.content.media_type();
        format!(
            "HTTP/1.1 {status}\r\nContent-Type: {content}\r\nContent-Length: {}\r\n\
             Connection: {connection}\r\n{allow}\r\n{body}",
            body.len()
        )
        .into_bytes()
    }
}

pub(super) struct Connection {
    /// Bytes received and not parsed yet.
    buffer: BytesMut,
    stream: TcpStream,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let buffer = BytesMut::new();
        Self { buffer, stream }
    }

    /// The next request; `None` if the client has closed the connection or sent nothing within
    /// [`IDLE_TIMEOUT`].
    pub async fn next_request(&mut self) -> Result<Option<Request>, RequestFault> {
        let read = if self.buffer.is_empty() {
            timeout(IDLE_TIMEOUT, self.read()).await
        } else {
            Ok(true)
        };
        if !read.unwrap_or(false) {
            return Ok(None);
        }
        let end = Instant::now() + READ_TIMEOUT;
        timeout_at(end, self.read_request())
            .await
            .unwrap_or(Err(RequestFault::Slow))
    }

    async fn read_request(&mut self) -> Result<Option<Request>, RequestFault> {
        let length = loop {
            match head_length(&self.buffer, HEAD_LIMIT).map_err(RequestFault::Head)? {
                Some(length) => break length,
                None if !self.read().await => return Ok(None),
                None => {}
            }
        };
        let framing = check_head(&self.buffer[..length], HeadKind::Request);
        let body = match framing.map_err(RequestFault::Head)? {
            Framing::Chunked => return Err(RequestFault::Chunked),
            Framing::Length(length) if length > BODY_LIMIT => {
                return Err(RequestFault::Body(length));
            }
            Framing::Length(length) => length,
            Framing::None => 0,
        };
        let head = decode_head(&mut self.buffer)?;
        while self.buffer.len() < body {
            if !self.read().await {
                return Ok(None);
            }
        }
        let _ = self.buffer.split_to(body);
        Ok(Some(request_from(&head)))
    }

    /// Appends received bytes to the buffer; false at the end of the stream or after an error.
    async fn read(&mut self) -> bool {
        let (result, chunk) = self.stream.read(vec![0; READ_SIZE]).await;
        match result {
            Ok(length) if length > 0 => {
                self.buffer.extend_from_slice(&chunk[..length]);
                true
            }
            Ok(_) | Err(_) => false,
        }
    }

    /// Writes a response; an error or a timeout means that the connection can't be used any more.
    pub async fn respond(&mut self, response: Response, keep_alive: bool) -> Result<(), ()> {
        let bytes = response.encode(keep_alive);
        let written = timeout(WRITE_TIMEOUT, self.stream.write_all(bytes)).await;
        written.map_err(drop)?.0.map(drop).map_err(drop)
    }
}

fn decode_head(buffer: &mut BytesMut) -> Result<RequestHead, RequestFault> {
    match RequestHeadDecoder.decode(buffer) {
        Ok(Decoded::Some(head)) => Ok(head),
        Ok(_) => Err(RequestFault::Decode("head is cut".to_owned())),
        Err(error) => Err(RequestFault::Decode(error.to_string())),
    }
}

fn request_from(head: &RequestHead) -> Request {
    let http_11 = head.version == Version::HTTP_11;
    let close = head
        .headers
        .get_all(header::CONNECTION)
        .iter()
        .any(|value| {
            let value = value.as_bytes();
            value.eq_ignore_ascii_case(b"close")
        });
    Request {
        keep_alive: http_11 && !close,
        method: head.method.clone(),
        path: head.uri.path().to_owned(),
    }
}
