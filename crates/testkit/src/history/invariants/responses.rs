//! Each request is answered at most once, completely, and to its own caller.

use std::collections::BTreeMap;

use crate::history::view::RequestView;
use crate::history::{Event, Invariant, Record, View, Violation};

pub fn answered_once(view: &View<'_>) -> Vec<Violation> {
    let duplicates = view.requests.iter().filter(|(_, r)| r.received.len() > 1);
    let violation = |(number, request): (&u64, &RequestView<'_>)| {
        let message = format!(
            "request {number} was answered {} times",
            request.received.len()
        );
        Violation::new(
            Invariant::AnsweredOnce,
            message,
            request.received.iter().copied(),
        )
    };
    duplicates.map(violation).collect()
}

/// A broken connection (status 0) is allowed; any other response must be complete and unaltered.
pub fn complete(view: &View<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in &view.records {
        if let Event::Received {
            request,
            status: 1..,
            whole: false,
            ..
        } = record.event
        {
            let message = format!("request {request} received an incomplete or altered response");
            violations.push(Violation::new(Invariant::WholeResponse, message, [*record]));
        }
    }
    violations
}

/// The caller that sent the request must receive the response, and the body must contain the number
/// of that request or of another request for the same operation, since a repeat with an idempotency
/// key receives the stored response.
pub fn own_response(view: &View<'_>) -> Vec<Violation> {
    let operations = operations(view);
    let mut violations = Vec::new();
    for (number, request) in &view.requests {
        for received in &request.received {
            let fault = request
                .sent
                .and_then(|sent| misdelivery(sent, received, &operations));
            if let Some(fault) = fault {
                let message = format!("request {number} {fault}");
                let proof = request.sent.into_iter().chain([*received]);
                violations.push(Violation::new(Invariant::OwnResponse, message, proof));
            }
        }
    }
    violations
}

fn misdelivery(
    sent: &Record,
    received: &Record,
    operations: &BTreeMap<u64, u64>,
) -> Option<String> {
    let Event::Received {
        body,
        outcome,
        request,
        status,
        ..
    } = &received.event
    else {
        return None;
    };
    if sent.party != received.party {
        return Some(format!("of {} was answered to another caller", sent.party));
    }
    match body {
        Some(named) if named == request => None,
        Some(named) if operations.get(named) == operations.get(request) => None,
        Some(named) => Some(format!("received the response to request {named}")),
        None if outcome == "answered" && (200..300).contains(status) => {
            Some("received a response without a request number".to_owned())
        }
        None => None,
    }
}

fn operations(view: &View<'_>) -> BTreeMap<u64, u64> {
    let sent = view.requests.values().filter_map(|r| r.sent);
    sent.filter_map(|r| {
        if let Event::Sent {
            operation, request, ..
        } = r.event
        {
            Some((request, operation))
        } else {
            None
        }
    })
    .collect()
}
