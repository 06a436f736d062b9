//! Refused requests never run, and non-idempotent operations run at most once.

use std::collections::BTreeMap;

use crate::history::view::RequestView;
use crate::history::{Event, Invariant, Record, View, Violation};

/// Starts before and after the refusal are violations, since a refused request must never run.
pub fn not_run(view: &View<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (number, request) in &view.requests {
        let refusal = request.received.iter().find(|r| is_refusal(r));
        if let (Some(refusal), Some(start)) = (refusal, request.starts.first()) {
            let message = format!(
                "request {number} was refused and started at {}",
                start.party
            );
            violations.push(Violation::new(
                Invariant::NotRun,
                message,
                [*start, *refusal],
            ));
        }
    }
    violations.extend(refused_repeats(view));
    violations
}

/// A caller repeats an operation when the outcome of an earlier request is unknown, and treats a
/// refusal of the repeat as the outcome of the operation. No earlier request for the operation may
/// therefore have run.
fn refused_repeats<'a>(view: &'a View<'_>) -> impl Iterator<Item = Violation> + 'a {
    let refused = |r: &&RequestView<'_>| r.received.iter().any(|r| is_refusal(r));
    view.requests.values().filter(refused).filter_map(|repeat| {
        let (sent, refusal) = (repeat.sent?, *repeat.received.first()?);
        let operation = non_idempotent(sent)?;
        let earlier_requests = view.requests.values().filter(|earlier| {
            let finished = earlier.received.first().is_none_or(|r| r.at < sent.at);
            finished
                && earlier.sent.is_some_and(|earlier| {
                    earlier.at < sent.at && non_idempotent(earlier) == Some(operation)
                })
        });
        let start = *earlier_requests
            .flat_map(|earlier| &earlier.starts)
            .next()?;
        let message = format!("operation {operation} had already run when a repeat was refused");
        let proof = [start, sent, refusal];
        Some(Violation::new(Invariant::NotRun, message, proof))
    })
}

/// Returns the operation of a sent request if the operation is not idempotent.
fn non_idempotent(record: &Record) -> Option<u64> {
    let Event::Sent {
        idempotent: false,
        operation,
        ..
    } = record.event
    else {
        return None;
    };
    Some(operation)
}

fn is_refusal(record: &Record) -> bool {
    matches!(&record.event, Event::Received { outcome, .. } if outcome == "refused")
}

pub fn at_most_once(view: &View<'_>) -> Vec<Violation> {
    let mut starts: BTreeMap<u64, Vec<&Record>> = BTreeMap::new();
    for request in view.requests.values() {
        if let Some(operation) = request.sent.and_then(non_idempotent) {
            starts.entry(operation).or_default().extend(&request.starts);
        }
    }
    let duplicates = starts.into_iter().filter(|(_, starts)| starts.len() > 1);
    let violation = |(operation, mut starts): (u64, Vec<&Record>)| {
        starts.sort_by_key(|r| r.at);
        let message = format!("operation {operation} was started {} times", starts.len());
        Violation::new(Invariant::AtMostOnce, message, starts)
    };
    duplicates.map(violation).collect()
}
