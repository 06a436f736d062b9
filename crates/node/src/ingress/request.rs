//! Interpretation of a caller's request: its kind, its service and its deadline.

use std::time::Duration;

use hawthornwall_core::keys::Key;
use hawthornwall_core::prelude::*;
use hawthornwall_wire::peer::HttpRequest;

use crate::dialect::Dialect;
use crate::http::header_text;

/// Path prefix for issuing idempotency keys; the name of the service follows.
const KEYS_PATH: &str = "/.hawthornwall/keys/";
const KEY_HEADER: &str = "idempotency-key";
/// Maximum time left that is accepted from a caller; a longer one is reduced to it.
const MAX_TIME_LEFT: Duration = Duration::from_mins(10);

/// Kind of a caller's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RequestKind {
    /// Issues an idempotency key for the service named in the path.
    IssueKey,
    /// Runs at a service under an idempotency key.
    Keyed(Key),
    /// Runs at a service; no idempotency key applies.
    Plain,
}

/// Determines the kind of a request.
///
/// # Errors
///
/// [`Refusal::KeyInvalid`] if the key was not issued by hawthornwall. Such a key names no target,
/// so no daemon could determine whether the request has run.
pub(super) fn request_kind(
    dialect: Dialect,
    request: &HttpRequest,
) -> Result<RequestKind, Refusal> {
    if dialect == Dialect::Platform {
        return Ok(RequestKind::Plain);
    }
    if request.method == "POST" && request.path.starts_with(KEYS_PATH) {
        return Ok(RequestKind::IssueKey);
    }
    if idempotent(&request.method) || !request.headers.iter().any(|h| h.name == KEY_HEADER) {
        return Ok(RequestKind::Plain);
    }
    let key = header_text(&request.headers, KEY_HEADER).and_then(|text| text.parse().ok());
    key.map(RequestKind::Keyed).ok_or(Refusal::KeyInvalid)
}

/// Returns the host name and path that determine the service. For the issue of a key the host is
/// empty and the path is the name of the service.
pub(super) fn host_and_path<'a>(
    request: &'a HttpRequest,
    request_kind: &RequestKind,
) -> (&'a str, &'a str) {
    match request_kind {
        RequestKind::IssueKey => ("", request.path.strip_prefix(KEYS_PATH).unwrap_or_default()),
        RequestKind::Keyed(_) | RequestKind::Plain => {
            let host = header_text(&request.headers, "host").unwrap_or_default();
            (
                host.rsplit_once(':').map_or(host, |(name, _)| name),
                &request.path,
            )
        }
    }
}

/// Whether a method is idempotent according to RFC 9110, section 9.2.2.
pub(super) fn idempotent(method: &str) -> bool {
    matches!(
        method,
        "DELETE" | "GET" | "HEAD" | "OPTIONS" | "PUT" | "TRACE"
    )
}

/// Returns the time left that the caller states in milliseconds in the header `name`; `None` if the
/// header is absent or invalid.
pub(super) fn time_left(request: &HttpRequest, name: &str) -> Option<Duration> {
    let text = header_text(&request.headers, name);
    let asked = text
        .and_then(|t| t.trim().parse().ok())
        .map(Duration::from_millis);
    asked.map(|left| left.min(MAX_TIME_LEFT))
}
