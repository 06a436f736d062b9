//! Answer bodies that callers can verify.
//!
//! Invariant: the body of an answer is a pure function of the request number, the target, the body
//! of the request and the size, so a caller can detect truncated, mixed and misdirected answers.

use serde::Deserialize;

/// Header with the number that the caller assigned to the request.
pub const REQUEST_HEADER: &str = "x-request";
/// Header with the size to which the body of the answer is padded, in bytes.
pub const SIZE_HEADER: &str = "x-size";
/// Header that requests a chunked answer if its value is `1`.
pub const CHUNKED_HEADER: &str = "x-chunked";

/// Result of verifying the body of an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// Request number in the body; `None` if the body can't be parsed.
    pub request: Option<u64>,
    /// Target name in the body; empty if the body can't be parsed.
    pub target: String,
    /// Whether the body is exactly what that target sends for the expected request.
    pub whole: bool,
}

#[derive(Deserialize)]
struct BodyFields {
    request: u64,
    target: String,
}

/// Creates the body of an answer. It is longer than `size` if the fields need more space.
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
    // The padding repeats the request number, so that a mix of two answers is detected.
    let pattern = format!("{request}.");
    let pad = size.saturating_sub(body.len() + 2);
    body.extend(pattern.bytes().cycle().take(pad));
    body.extend_from_slice(b"\"}");
    body
}

/// Verifies the body of an answer to the request with this number, body `sent` and answer size.
pub fn verify(body: &[u8], request: u64, sent: &[u8], size: usize) -> Verdict {
    let Ok(named) = serde_json::from_slice::<BodyFields>(body) else {
        return Verdict::default();
    };
    Verdict {
        request: Some(named.request),
        whole: body == encode(request, &named.target, sent, size),
        target: named.target,
    }
}

/// 64-bit FNV-1a hash.
fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
