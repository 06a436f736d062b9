//! Checks of HTTP/1.1 heads before the library decodes them.
//!
//! The library's decoder accepts conflicting lengths and unlimited heads; a request that two parties
//! could delimit differently must not get past this module.

use std::fmt;

/// Most headers of a message; the decoder's own limit.
pub const HEADER_LIMIT: usize = 96;

/// How the body of a message is delimited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// Chunked transfer coding.
    Chunked,
    /// A fixed number of bytes.
    Length(usize),
    /// No framing header: no body in a request, up to the end of the connection in an answer.
    None,
}

/// Why a head is not accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HeadFault {
    /// Both a length and chunked coding.
    BothLengths,
    /// The syntax is broken.
    Malformed(String),
    /// Several or malformed lengths.
    Length,
    /// A header line continues on the next line.
    Folded,
    /// A request has several hosts, or none in HTTP/1.1.
    Host,
    /// The head exceeds the limit.
    TooLarge,
    /// A transfer coding other than one `chunked`.
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

/// Whether a head is a request's or an answer's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadKind {
    /// Of an answer.
    Answer,
    /// Of a request.
    Request,
}

/// Length of the head at the start of `buf`, `None` if its end hasn't arrived.
///
/// # Errors
///
/// [`HeadFault::TooLarge`] once more than `limit` bytes can only be part of a head.
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

/// Checks a whole head and tells how its body is delimited.
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
/// Any fault that makes the message's end ambiguous.
pub fn check_head(head: &[u8], kind: HeadKind) -> Result<Framing, HeadFault> {
    let folded = head
        .windows(3)
        .any(|w| w[1] == b'\n' && matches!(w[2], b' ' | b'\t'));
    if folded {
        return Err(HeadFault::Folded);
    }
    // The decoder also ends lines, and heads, at a line feed alone; other parties may not.
    let bare = |w: &[u8]| w[1] == b'\n' && w[0] != b'\r';
    if head.first() == Some(&b'\n') || head.windows(2).any(bare) {
        return Err(HeadFault::Malformed(
            "line feed without carriage return".to_owned(),
        ));
    }
    let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
    let (version, parsed) = parse(head, kind, &mut headers)?;
    let framing = framing(parsed)?;
    // The host selects the service; parties that read another of two would route differently
    // (RFC 9112, 3.2).
    let hosts = parsed.iter().filter(|h| is_named(h, "host")).count();
    match kind {
        HeadKind::Request if hosts > 1 || (hosts == 0 && version == Some(1)) => {
            return Err(HeadFault::Host);
        }
        HeadKind::Answer | HeadKind::Request => {}
    }
    // HTTP/1.0 has no transfer codings, so its recipients would ignore the header (RFC 9112, 6.1).
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
            (
                answer.parse(head).map_err(malformed)?,
                answer.version,
                answer.headers,
            )
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
    // `str::parse` accepts a sign, which the header doesn't allow.
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(HeadFault::Length);
    }
    let text = std::str::from_utf8(value).map_err(|_| HeadFault::Length)?;
    text.parse().map_err(|_| HeadFault::Length)
}
