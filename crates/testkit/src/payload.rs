//! Bodies of requests and answers that show whose they are.
//!
//! Invariant: an answer's body is a pure function of the request number, the target, the request's
//! body and the size, so a caller can tell any cut, mixed or foreign answer.

use serde::Deserialize;

/// Header with the caller's number of the request.
pub const REQUEST_HEADER: &str = "x-request";
/// Header with the size that the answer's body is padded to, in bytes.
pub const SIZE_HEADER: &str = "x-size";
/// Header that asks for a chunked answer with the value `1`.
pub const CHUNKED_HEADER: &str = "x-chunked";

/// What a caller finds in an answer's body.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// The request number that the body names, if it names one.
    pub request: Option<u64>,
    /// The target that the body names, empty if it names none.
    pub target: String,
    /// Whether the body is exactly what that target sends for this request.
    pub whole: bool,
}

#[derive(Deserialize)]
struct Named {
    request: u64,
    target: String,
}

/// The body that a target sends, at least as long as it must be to hold its fields.
///
/// ```
/// use hawthornwall_testkit::payload::{encode, verify};
///
/// let body = encode(7, "order-2", b"two tins", 200);
/// assert_eq!(body.len(), 200);
/// assert!(verify(&body, 7, b"two tins", 200).whole);
/// assert!(!verify(&body[..199], 7, b"two tins", 200).whole);
/// ```
pub fn encode(request: u64, target: &str, sent: &[u8], size: usize) -> Vec<u8> {
    let checksum = checksum(sent);
    let start = format!(
        r#"{{"request":{request},"target":"{target}","checksum":"{checksum:016x}","pad":""#
    );
    let mut body = start.into_bytes();
    // The padding names the request too, so that a mix of two answers differs somewhere.
    let pattern = format!("{request}.");
    let pad = size.saturating_sub(body.len() + 2);
    body.extend(pattern.bytes().cycle().take(pad));
    body.extend_from_slice(b"\"}");
    body
}

/// Compares an answer's body with what its target should have sent.
pub fn verify(body: &[u8], request: u64, sent: &[u8], size: usize) -> Verdict {
    let Ok(named) = serde_json::from_slice::<Named>(body) else {
        return Verdict::default();
    };
    Verdict {
        request: Some(named.request),
        whole: body == encode(request, &named.target, sent, size),
        target: named.target,
    }
}

/// FNV-1a with 64 bits.
fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
