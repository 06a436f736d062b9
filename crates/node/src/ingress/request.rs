//! What a caller's request asks for: a key, or work at a service.

use std::time::Duration;

use hawthornwall_core::keys::Key;
use hawthornwall_core::prelude::*;
use hawthornwall_wire::peer::HttpRequest;

use crate::dialect::Dialect;
use crate::http::header_text;

/// Path under which keys are issued, followed by the service's name.
const KEYS_PATH: &str = "/.hawthornwall/keys/";
const KEY_HEADER: &str = "idempotency-key";
/// Longest deadline that a caller may ask for.
const DEADLINE_LIMIT: Duration = Duration::from_mins(10);

/// What a request asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Asked {
    /// An idempotency key for the service named in the path.
    Key,
    /// Work under an idempotency key.
    Keyed(Key),
    /// Work.
    Plain,
}

/// What a request asks for.
///
/// # Errors
///
/// [`Refusal::KeyInvalid`] for a key that was not issued by hawthornwall. Its owner is unknown, so no
/// daemon could tell whether it has run.
pub(super) fn asked(dialect: Dialect, request: &HttpRequest) -> Result<Asked, Refusal> {
    if dialect == Dialect::Platform {
        return Ok(Asked::Plain);
    }
    if request.method == "POST" && request.path.starts_with(KEYS_PATH) {
        return Ok(Asked::Key);
    }
    if idempotent(&request.method) || !request.headers.iter().any(|h| h.name == KEY_HEADER) {
        return Ok(Asked::Plain);
    }
    let key = header_text(&request.headers, KEY_HEADER).and_then(|text| text.parse().ok());
    key.map(Asked::Keyed).ok_or(Refusal::KeyInvalid)
}

/// Host name and path by which the service is found.
pub(super) fn address<'a>(request: &'a HttpRequest, asked: &Asked) -> (&'a str, &'a str) {
    match asked {
        Asked::Key => ("", request.path.strip_prefix(KEYS_PATH).unwrap_or_default()),
        Asked::Keyed(_) | Asked::Plain => {
            let host = header_text(&request.headers, "host").unwrap_or_default();
            (
                host.rsplit_once(':').map_or(host, |(name, _)| name),
                &request.path,
            )
        }
    }
}

/// Methods that RFC 9110, section 9.2.2, calls idempotent.
pub(super) fn idempotent(method: &str) -> bool {
    matches!(
        method,
        "DELETE" | "GET" | "HEAD" | "OPTIONS" | "PUT" | "TRACE"
    )
}

/// The time that the caller gives its request, if it states one.
pub(super) fn time_left(request: &HttpRequest, name: &str) -> Option<Duration> {
    let text = header_text(&request.headers, name);
    let asked = text
        .and_then(|t| t.trim().parse().ok())
        .map(Duration::from_millis);
    asked.map(|left| left.min(DEADLINE_LIMIT))
}
