//! Parses and encodes complete HTTP/1.1 messages, without I/O.

use std::fmt::{self, Write as _};

use bytes::Bytes;
use hawthornwall_wire::head::{
    Framing, HEADER_LIMIT, HeadFault, HeadKind, check_head, head_length,
};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};

/// Maximum accepted size of a head, in bytes.
const HEAD_LIMIT: usize = 64 << 10;

/// Failure to read or write a complete message.
#[derive(Debug)]
pub enum Fault {
    /// The connection closed before the message was complete.
    Incomplete,
    /// A chunk header is malformed.
    Chunk,
    /// The head is malformed, ambiguous or too large.
    Head(HeadFault),
    /// The socket failed.
    Io(std::io::Error),
    /// The method, target, status or a header is invalid.
    Value(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Incomplete => f.write_str("the connection ended within a message"),
            Self::Chunk => f.write_str("malformed chunk"),
            Self::Head(fault) => fault.fmt(f),
            Self::Io(e) => write!(f, "socket: {e}"),
            Self::Value(what) => write!(f, "malformed HTTP head: {what}"),
        }
    }
}

impl std::error::Error for Fault {}

impl From<HeadFault> for Fault {
    fn from(fault: HeadFault) -> Self {
        Self::Head(fault)
    }
}

impl From<std::io::Error> for Fault {
    fn from(e: std::io::Error) -> Self {
        Self::Io(e)
    }
}

/// Transfer coding of an encoded answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Coding {
    /// Chunked, in chunks of 1,000 bytes.
    Chunked,
    /// Delimited by `Content-Length`.
    #[default]
    Fixed,
    /// Neither chunked nor with a length: the body ends when the connection closes.
    Unframed,
}

/// Parses the request at the start of `buf` and returns it with its encoded length; `None` if it is
/// incomplete.
///
/// # Errors
///
/// Returns an error if the head or a chunk is malformed.
pub fn parse_request(buf: &[u8]) -> Result<Option<(Request<Bytes>, usize)>, Fault> {
    let Some(length) = head_length(buf, HEAD_LIMIT)? else {
        return Ok(None);
    };
    let framing = check_head(&buf[..length], HeadKind::Request)?;
    let Some((body, used)) = parse_body(&buf[length..], framing)? else {
        return Ok(None);
    };
    let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
    let mut head = httparse::Request::new(&mut headers);
    head.parse(&buf[..length]).map_err(value_fault)?;
    let mut request = Request::builder()
        .method(head.method.unwrap_or_default())
        .uri(head.path.unwrap_or_default())
        .body(body)
        .map_err(value_fault)?;
    copy_headers(head.headers, request.headers_mut())?;
    Ok(Some((request, length + used)))
}

/// Parses the answer at the start of `buf` and returns it with its encoded length; `None` if it is
/// incomplete.
///
/// An answer without a length ends when the connection closes; `ended` states whether it has.
///
/// # Errors
///
/// Returns an error if the head or a chunk is malformed.
pub fn parse_answer(buf: &[u8], ended: bool) -> Result<Option<(Response<Bytes>, usize)>, Fault> {
    let Some(length) = head_length(buf, HEAD_LIMIT)? else {
        return Ok(None);
    };
    let framing = check_head(&buf[..length], HeadKind::Answer)?;
    let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
    let mut head = httparse::Response::new(&mut headers);
    head.parse(&buf[..length]).map_err(value_fault)?;
    let status = head.code.unwrap_or_default();
    let rest = &buf[length..];
    let body = match framing {
        Framing::None if status == 204 || status == 304 => Some((Bytes::new(), 0)),
        Framing::None if ended => Some((Bytes::copy_from_slice(rest), rest.len())),
        Framing::None => None,
        Framing::Chunked | Framing::Length(_) => parse_body(rest, framing)?,
    };
    let Some((body, used)) = body else {
        return Ok(None);
    };
    let mut answer = Response::builder()
        .status(status)
        .body(body)
        .map_err(value_fault)?;
    copy_headers(head.headers, answer.headers_mut())?;
    Ok(Some((answer, length + used)))
}

fn parse_body(rest: &[u8], framing: Framing) -> Result<Option<(Bytes, usize)>, Fault> {
    match framing {
        Framing::None => Ok(Some((Bytes::new(), 0))),
        Framing::Length(n) if rest.len() >= n => Ok(Some((Bytes::copy_from_slice(&rest[..n]), n))),
        Framing::Length(_) => Ok(None),
        Framing::Chunked => parse_chunks(rest),
    }
}

fn parse_chunks(rest: &[u8]) -> Result<Option<(Bytes, usize)>, Fault> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let parsed = httparse::parse_chunk_size(&rest[at..]).map_err(|_| Fault::Chunk)?;
        let httparse::Status::Complete((header, size)) = parsed else {
            return Ok(None);
        };
        let start = at + header;
        if size == 0 {
            return Ok(end_of_trailers(&rest[start..]).map(|n| (body.into(), start + n)));
        }
        let size = usize::try_from(size).map_err(|_| Fault::Chunk)?;
        let Some(chunk) = rest.get(start..start + size + 2) else {
            return Ok(None);
        };
        if !chunk.ends_with(b"\r\n") {
            return Err(Fault::Chunk);
        }
        body.extend_from_slice(&chunk[..size]);
        at = start + size + 2;
    }
}

fn end_of_trailers(rest: &[u8]) -> Option<usize> {
    if rest.starts_with(b"\r\n") {
        return Some(2);
    }
    let end = rest.windows(4).position(|w| w == b"\r\n\r\n");
    end.map(|at| at + 4)
}

fn copy_headers(from: &[httparse::Header<'_>], to: &mut HeaderMap) -> Result<(), Fault> {
    for header in from {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(value_fault)?;
        to.append(
            name,
            HeaderValue::from_bytes(header.value).map_err(value_fault)?,
        );
    }
    Ok(())
}

fn value_fault(e: impl fmt::Display) -> Fault {
    Fault::Value(e.to_string())
}

/// Encodes a request. `Content-Length` is added unless it is a `GET` request without a body.
pub fn encode_request(request: &Request<Bytes>) -> Vec<u8> {
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method(), request.uri());
    let body = request.body();
    if !body.is_empty() || request.method() != http::Method::GET {
        let _ = write!(head, "content-length: {}\r\n", body.len());
    }
    let mut out = with_headers(head, request.headers());
    out.extend_from_slice(body);
    out
}

/// Encodes an answer with the given transfer coding. Answers with status 304 are sent without body
/// and coding.
pub fn encode_answer(answer: &Response<Bytes>, coding: Coding) -> Vec<u8> {
    let status = answer.status();
    let reason = status.canonical_reason().unwrap_or("Unknown");
    let mut head = format!("HTTP/1.1 {} {reason}\r\n", status.as_u16());
    let body = answer.body();
    if status.as_u16() == 304 {
        return with_headers(head, answer.headers());
    }
    match coding {
        Coding::Fixed => {
            let _ = write!(head, "content-length: {}\r\n", body.len());
            let mut out = with_headers(head, answer.headers());
            out.extend_from_slice(body);
            out
        }
        Coding::Chunked => {
            head.push_str("transfer-encoding: chunked\r\n");
            let mut out = with_headers(head, answer.headers());
            for chunk in body.chunks(1_000) {
                out.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                out.extend_from_slice(chunk);
                out.extend_from_slice(b"\r\n");
            }
            out.extend_from_slice(b"0\r\n\r\n");
            out
        }
        Coding::Unframed => {
            let mut out = with_headers(head, answer.headers());
            out.extend_from_slice(body);
            out
        }
    }
}

fn with_headers(head: String, headers: &HeaderMap) -> Vec<u8> {
    let mut out = head.into_bytes();
    for (name, value) in headers {
        out.extend_from_slice(name.as_str().as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}
