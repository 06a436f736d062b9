//! Whose request it is: its id, the service that it comes from, and what the log tells of one that no
//! service was found for.

use std::time::Duration;

use hawthornwall_core::prelude::*;
use hawthornwall_wire::peer::{Header, HttpRequest};

use super::listener::Backend;
use super::request::{Asked, address};
use crate::http::header_text;
use crate::telemetry::RequestRecord;

/// Tells of a request that no service was found for.
pub(super) fn tell_unrouted(
    backend: &Backend,
    request: &HttpRequest,
    asked: &Asked,
    outcome: Outcome,
) {
    let (host, path) = address(request, asked);
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

/// States the service that the request comes from, whatever the caller has stated.
pub(super) fn name_caller(backend: &Backend, request: &mut HttpRequest) {
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

/// The caller's id of a request, empty if it has none.
pub(super) fn request_id(backend: &Backend, request: &HttpRequest) -> String {
    let name = backend.dialect.names().request;
    let id = name.and_then(|n| header_text(&request.headers, n));
    id.unwrap_or_default().to_owned()
}
