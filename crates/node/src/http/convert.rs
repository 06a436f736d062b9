//! Conversions between message heads of the `http` crate, messages of the peer protocol, and bytes.

use bytes::Bytes;
use hawthornwall_wire::head::FINAL_STATUSES;
use hawthornwall_wire::peer::{Header, HttpAnswer, HttpRequest};
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName};
use http::request::Parts as RequestHead;
use http::response::Parts as AnswerHead;
use http::{Method, StatusCode};

/// Headers that apply to a single connection (RFC 9110, section 7.6.1) or to the framing of a
/// single message.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// An encoded message, whose body is shared with the original.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// The body; empty if none is sent.
    pub body: Bytes,
    /// Everything before the body.
    pub head: Vec<u8>,
}

impl HttpMessage {
    /// A message that consists of a head only.
    pub fn without_body(head: &[u8]) -> Self {
        Self {
            body: Bytes::new(),
            head: head.to_vec(),
        }
    }

    /// Length of the message, in bytes.
    pub fn bytes(&self) -> usize {
        self.head.len() + self.body.len()
    }
}

/// Converts a request to the form that daemons forward; hop-by-hop headers are removed.
pub fn from_request_head(head: &RequestHead, body: Bytes) -> HttpRequest {
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    HttpRequest {
        body,
        headers: end_to_end(&head.headers),
        method: head.method.as_str().to_owned(),
        path: path.to_owned(),
    }
}

/// Converts an answer to the form that daemons forward; hop-by-hop headers are removed.
///
/// With `to_head`, the answer is to a `HEAD` request; its `Content-Length` is kept, since that header
/// describes a body that is not sent.
pub fn from_answer_head(head: &AnswerHead, body: Bytes, to_head: bool) -> HttpAnswer {
    let mut headers = end_to_end(&head.headers);
    let length = head.headers.get(CONTENT_LENGTH).filter(|_| to_head);
    headers.extend(length.map(|value| Header {
        name: CONTENT_LENGTH.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    }));
    HttpAnswer {
        body,
        headers,
        status: head.status.as_u16(),
    }
}

/// Returns the value of a header; `None` unless the header occurs exactly once and is UTF-8.
pub fn header_text<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let mut values = headers.iter().filter(|h| h.name == name);
    let value = values.next().filter(|_| values.next().is_none())?;
    std::str::from_utf8(&value.value).ok()
}

/// Encodes a request with a `Content-Length`.
///
/// Headers in `extra` replace those of the same name. `host` is used if the request has no `Host`
/// header.
pub fn encode_request(request: &HttpRequest, host: &str, extra: &[Header]) -> HttpMessage {
    let mut out = format!("{} {} HTTP/1.1\r\n", request.method, request.path).into_bytes();
    if header_text(&request.headers, "host").is_none() {
        push_header(&mut out, "host", host.as_bytes());
    }
    let replaced = |h: &&Header| !extra.iter().any(|e| e.name == h.name);
    for header in request.headers.iter().filter(replaced).chain(extra) {
        push_header(&mut out, &header.name, &header.value);
    }
    let bodiless = request.body.is_empty()
        && matches!(
            request.method.as_str(),
            "GET" | "HEAD" | "DELETE" | "OPTIONS" | "TRACE"
        );
    if !bodiless {
        push_header(
            &mut out,
            "content-length",
            request.body.len().to_string().as_bytes(),
        );
    }
    out.extend_from_slice(b"\r\n");
    HttpMessage {
        body: request.body.clone(),
        head: out,
    }
}

/// Encodes an answer to a request of the given method, with a `Content-Length`.
///
/// Headers in `extra` replace those of the same name. `close` announces that the connection closes
/// after the answer. A status that isn't one of a final answer is sent as 502.
pub fn encode_answer(
    answer: &HttpAnswer,
    method: &Method,
    extra: &[Header],
    close: bool,
) -> HttpMessage {
    let status = StatusCode::from_u16(answer.status).ok();
    let status = status.filter(|status| FINAL_STATUSES.contains(&status.as_u16()));
    let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let reason = status.canonical_reason().unwrap_or("Unknown");
    let mut out = format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).into_bytes();
    let replaced = |h: &&Header| !extra.iter().any(|e| e.name == h.name);
    for header in answer.headers.iter().filter(replaced).chain(extra) {
        push_header(&mut out, &header.name, &header.value);
    }
    if close {
        push_header(&mut out, "connection", b"close");
    }
    let bodiless = method == Method::HEAD || matches!(answer.status, 204 | 304);
    if !bodiless {
        push_header(
            &mut out,
            "content-length",
            answer.body.len().to_string().as_bytes(),
        );
    }
    out.extend_from_slice(b"\r\n");
    let body = if bodiless {
        Bytes::new()
    } else {
        answer.body.clone()
    };
    HttpMessage { body, head: out }
}

fn push_header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

fn end_to_end(headers: &HeaderMap) -> Vec<Header> {
    let listed = connection_headers(headers);
    let is_forwarded = |name: &HeaderName| {
        !HOP_BY_HOP.contains(&name.as_str()) && !listed.iter().any(|n| n == name.as_str())
    };
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name));
    forwarded
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Names listed in `Connection` headers, in lower case; these headers are hop-by-hop as well.
fn connection_headers(headers: &HeaderMap) -> Vec<String> {
    let values = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok());
    values
        .flat_map(|v| v.split(','))
        .map(|n| n.trim().to_ascii_lowercase())
        .collect()
}
