//! Request identity: the caller's request id, the calling service, and the log record of requests
//! that match no service.

use std::time::Duration;

use hawthornwall_core::prelude::*;
use hawthornwall_wire::peer::{Header, HttpRequest};

use super::listener::Backend;
use super::request::{RequestKind, host_and_path};
use crate::http::header_text;
use crate::telemetry::RequestRecord;

/// Logs a request that the router refused to open, with its host and path in place of the service
/// and the route.
pub(super) fn log_unrouted(
    backend: &Backend,
    request: &HttpRequest,
    request_kind: &RequestKind,
    outcome: Outcome,
) {
    let (host, path) = host_and_path(request, request_kind);
    let record = RequestRecord {
        attempts: Vec::new(),
        budget: Duration::ZERO,
        elapsed: Duration::ZERO,
        id: request_id(backend, request),
        outcome,
        route: path.to_owned(),
        service: host.to_owned(),
        version: Version::default(),
    };
    backend.telemetry.log_request(record, backend.clock.now());
}

/// Sets the header that names the calling service. A value set by the caller is never forwarded.
pub(super) fn set_calling_service(backend: &Backend, request: &mut HttpRequest) {
    let Some(name) = backend.dialect.names().caller else {
        return;
    };
    request.headers.retain(|h| h.name != name);
    request
        .headers
        .extend(backend.service.as_ref().map(|s| Header {
            name: name.to_owned(),
            value: s.as_bytes().to_vec(),
        }));
}

/// Returns the request id that the caller set; empty if there is none.
pub(super) fn request_id(backend: &Backend, request: &HttpRequest) -> String {
    let name = backend.dialect.names().request_id;
    let id = name.and_then(|n| header_text(&request.headers, n));
    id.unwrap_or_default().to_owned()
}
