//! Each request is answered at most once, whole, and to its own caller.

use std::collections::BTreeMap;

use crate::history::view::RequestView;
use crate::history::{Event, Invariant, Record, View, Violation};

pub fn answered_once(view: &View<'_>) -> Vec<Violation> {
    let several = view.requests.iter().filter(|(_, r)| r.received.len() > 1);
    let violation = |(number, request): (&u64, &RequestView<'_>)| {
        let what = format!(
            "request {number} was answered {} times",
            request.received.len()
        );
        Violation::new(
            Invariant::AnsweredOnce,
            what,
            request.received.iter().copied(),
        )
    };
    several.map(violation).collect()
}

/// A broken connection (status 0) is allowed; anything else must be complete.
pub fn whole(view: &View<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in &view.records {
        if let Event::Received {
            request,
            status: 1..,
            whole: false,
            ..
        } = record.event
        {
            let what = format!("request {request} got a partial or altered response");
            violations.push(Violation::new(Invariant::WholeResponse, what, [*record]));
        }
    }
    violations
}

/// A response must come to the caller that sent the request, and its body must name that request or
/// another of the same operation: a repeat under an idempotency key gets the stored response.
pub fn own_response(view: &View<'_>) -> Vec<Violation> {
    let operations = operations(view);
    let mut violations = Vec::new();
    for (number, request) in &view.requests {
        for received in &request.received {
            let fault = request
                .sent
                .and_then(|sent| misdelivery(sent, received, &operations));
            if let Some(fault) = fault {
                let what = format!("request {number} {fault}");
                let proof = request.sent.into_iter().chain([*received]);
                violations.push(Violation::new(Invariant::OwnResponse, what, proof));
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
        return Some(format!("of {} was answered to another", sent.party));
    }
    match body {
        Some(named) if named == request => None,
        Some(named) if operations.get(named) == operations.get(request) => None,
        Some(named) => Some(format!("got the response to request {named}")),
        None if outcome == "answered" && (200..300).contains(status) => {
            Some("got a response that names no request".to_owned())
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
