//! Whether a connection carries a further message after this one.

use http::HeaderMap;
use http::Version;
use http::header::CONNECTION;
use http::request::Parts as RequestHead;
use http::response::Parts as AnswerHead;

/// Whether the sender of a request keeps the connection for another one.
pub fn request_keeps_open(head: &RequestHead) -> bool {
    keeps_open(head.version, &head.headers)
}

/// Whether the sender of an answer keeps the connection for another one.
pub fn answer_keeps_open(head: &AnswerHead) -> bool {
    keeps_open(head.version, &head.headers)
}

/// Connections of HTTP/1.1 stay open unless the head says otherwise, those of earlier versions only if it
/// says so.
fn keeps_open(version: Version, headers: &HeaderMap) -> bool {
    let default = version == Version::HTTP_11;
    !has_token(headers, "close") && (default || has_token(headers, "keep-alive"))
}

fn has_token(headers: &HeaderMap, token: &str) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let values = values.filter_map(|value| value.to_str().ok());
    values
        .flat_map(|value| value.split(','))
        .any(|t| t.trim().eq_ignore_ascii_case(token))
}
