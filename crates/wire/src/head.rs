//! Checks of HTTP/1.1 heads that run before the HTTP library decodes them.
//!
//! The library's decoder accepts conflicting lengths and heads of any size. This module rejects
//! every message whose end two parties could determine differently.

use std::fmt;
use std::ops::RangeInclusive;

/// Maximum number of headers in a message, which is also the limit of the library's decoder.
pub const HEADER_LIMIT: usize = 96;
/// Statuses of final answers. A caller can't tell what any other number means (RFC 9110, section 15).
pub const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Lowest status of an interim answer, which precedes the final one.
const MIN_STATUS: u16 = 100;

/// How the body of a message is delimited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// Chunked transfer coding.
    Chunked,
    /// The body has this length in bytes.
    Length(usize),
    /// No framing header. A request then has no body; the body of an answer ends with the
    /// connection.
    None,
}

/// Reason why a head is rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HeadFault {
    /// The head has both Content-Length and Transfer-Encoding.
    BothLengths,
    /// The syntax is not valid; holds the parser's message.
    Malformed(String),
    /// Content-Length is given twice or is no number.
    Length,
    /// A header continues on the next line.
    Folded,
    /// A request has more than one Host header, or an HTTP/1.1 request has none.
    Host,
    /// The head is longer than the caller's limit.
    TooLarge,
    /// Transfer-Encoding is not exactly `chunked`, or the message is HTTP/1.0.
    TransferCoding,
}

impl fmt::Display for HeadFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BothLengths => f.write_str("both Content-Length and Transfer-Encoding are given"),
            Self::Folded => f.write_str("a header is folded over two lines"),
            Self::Host => f.write_str("a request needs exactly one Host header"),
            Self::Length => f.write_str("Content-Length is given twice or is no number"),
            Self::Malformed(what) => write!(f, "malformed HTTP head: {what}"),
            Self::TooLarge => f.write_str("the head exceeds the size limit"),
            Self::TransferCoding => f.write_str("only the transfer coding `chunked` is accepted"),
        }
    }
}

impl std::error::Error for HeadFault {}

/// Kind of the message that a head belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadKind {
    /// The head starts with a status line.
    Answer,
    /// The head starts with a request line.
    Request,
}

/// Length of the head at the start of `buf`, including the empty line; `None` if `buf` doesn't
/// contain the end of the head.
///
/// # Errors
///
/// Returns [`HeadFault::TooLarge`] if the head is longer than `limit` bytes, whether or not its end
/// is in `buf`.
pub fn head_length(buf: &[u8], limit: usize) -> Result<Option<usize>, HeadFault> {
    let end = buf
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|at| at + 4);
    match end {
        Some(length) if length <= limit => Ok(Some(length)),
        None if buf.len() <= limit => Ok(None),
        Some(_) | None => Err(HeadFault::TooLarge),
    }
}

/// Checks a complete head and returns how the body is delimited.
///
/// ```
/// use hawthornwall_wire::head::{Framing, HeadFault, HeadKind, check_head};
///
/// let head = b"POST /a HTTP/1.1\r\nHost: b\r\nContent-Length: 3\r\n\r\n";
/// assert_eq!(check_head(head, HeadKind::Request), Ok(Framing::Length(3)));
///
/// let both = b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
/// assert_eq!(check_head(both, HeadKind::Request), Err(HeadFault::BothLengths));
/// ```
///
/// # Errors
///
/// Returns an error if the end of the message is ambiguous, the Host header of a request is, the
/// syntax is not valid, or the status of an answer is neither that of an interim answer nor one of
/// [`FINAL_STATUSES`].
pub fn check_head(head: &[u8], kind: HeadKind) -> Result<Framing, HeadFault> {
    let folded = head
        .windows(3)
        .any(|w| w[1] == b'\n' && matches!(w[2], b' ' | b'\t'));
    if folded {
        return Err(HeadFault::Folded);
    }
    // The decoder accepts a bare line feed as the end of a line or head; other parties may not.
    let bare = |w: &[u8]| w[1] == b'\n' && w[0] != b'\r';
    if head.first() == Some(&b'\n') || head.windows(2).any(bare) {
        return Err(HeadFault::Malformed(
            "line feed without carriage return".to_owned(),
        ));
    }
    let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
    let (version, parsed) = parse(head, kind, &mut headers)?;
    let framing = framing(parsed)?;
    // The host selects the service. Of two Host headers, another party could use the other one and
    // route the request differently (RFC 9112, section 3.2).
    let hosts = parsed.iter().filter(|h| is_named(h, "host")).count();
    match kind {
        HeadKind::Request if hosts > 1 || (hosts == 0 && version == Some(1)) => {
            return Err(HeadFault::Host);
        }
        HeadKind::Answer | HeadKind::Request => {}
    }
    // HTTP/1.0 has no transfer codings, so other parties may ignore the header (RFC 9112, section
    // 6.1).
    if framing == Framing::Chunked && version != Some(1) {
        return Err(HeadFault::TransferCoding);
    }
    Ok(framing)
}

fn parse<'h, 'b>(
    head: &'b [u8],
    kind: HeadKind,
    headers: &'h mut [httparse::Header<'b>],
) -> Result<(Option<u8>, &'h [httparse::Header<'b>]), HeadFault> {
    let malformed = |e: httparse::Error| HeadFault::Malformed(e.to_string());
    let (status, version, headers) = match kind {
        HeadKind::Answer => {
            let mut answer = httparse::Response::new(headers);
            let parsed = answer.parse(head).map_err(malformed)?;
            check_status(answer.code)?;
            (parsed, answer.version, answer.headers)
        }
        HeadKind::Request => {
            let mut request = httparse::Request::new(headers);
            (
                request.parse(head).map_err(malformed)?,
                request.version,
                request.headers,
            )
        }
    };
    match status {
        httparse::Status::Complete(length) if length == head.len() => Ok((version, headers)),
        httparse::Status::Complete(_) | httparse::Status::Partial => {
            Err(HeadFault::Malformed("head and its end differ".to_owned()))
        }
    }
}

fn check_status(code: Option<u16>) -> Result<(), HeadFault> {
    match code {
        Some(code) if !(MIN_STATUS..=*FINAL_STATUSES.end()).contains(&code) => {
            Err(HeadFault::Malformed(format!("status {code}")))
        }
        // The parser hasn't reached the status of an incomplete head.
        Some(_) | None => Ok(()),
    }
}

fn framing(headers: &[httparse::Header<'_>]) -> Result<Framing, HeadFault> {
    let of = |name: &str| -> Vec<&[u8]> {
        headers
            .iter()
            .filter(|h| is_named(h, name))
            .map(|h| h.value)
            .collect()
    };
    let (lengths, codings) = (of("content-length"), of("transfer-encoding"));
    match (&lengths[..], &codings[..]) {
        ([], []) => Ok(Framing::None),
        ([value], []) => content_length(value).map(Framing::Length),
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Framing::Chunked),
        ([], _) => Err(HeadFault::TransferCoding),
        (_, []) => Err(HeadFault::Length),
        (_, _) => Err(HeadFault::BothLengths),
    }
}

fn is_named(header: &httparse::Header<'_>, name: &str) -> bool {
    header.name.eq_ignore_ascii_case(name)
}

fn content_length(value: &[u8]) -> Result<usize, HeadFault> {
    // `str::parse` accepts a leading plus sign, which the header doesn't allow.
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(HeadFault::Length);
    }
    let text = std::str::from_utf8(value).map_err(|_| HeadFault::Length)?;
    text.parse().map_err(|_| HeadFault::Length)
}
