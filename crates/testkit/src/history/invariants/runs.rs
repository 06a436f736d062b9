//! What ran: nothing that was refused, and no non-idempotent operation twice.

use std::collections::BTreeMap;

use crate::history::{Event, Invariant, Record, View, Violation};

/// Starts before and after the refusal count: "not run" promises that it never runs.
pub fn not_run(view: &View<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (number, request) in &view.requests {
        let refusal = request.received.iter().find(|r| is_refusal(r));
        if let (Some(refusal), Some(start)) = (refusal, request.starts.first()) {
            let what = format!(
                "request {number} was refused and started at {}",
                start.party
            );
            violations.push(Violation::new(Invariant::NotRun, what, [*start, *refusal]));
        }
    }
    violations
}

fn is_refusal(record: &Record) -> bool {
    matches!(&record.event, Event::Received { outcome, .. } if outcome == "refused")
}

pub fn at_most_once(view: &View<'_>) -> Vec<Violation> {
    let mut starts: BTreeMap<u64, Vec<&Record>> = BTreeMap::new();
    for request in view.requests.values() {
        if let Some(Event::Sent {
            idempotent: false,
            operation,
            ..
        }) = request.sent.map(|r| &r.event)
        {
            starts
                .entry(*operation)
                .or_default()
                .extend(&request.starts);
        }
    }
    let several = starts.into_iter().filter(|(_, starts)| starts.len() > 1);
    let violation = |(operation, mut starts): (u64, Vec<&Record>)| {
        starts.sort_by_key(|r| r.at);
        let what = format!("operation {operation} was started {} times", starts.len());
        Violation::new(Invariant::AtMostOnce, what, starts)
    };
    several.map(violation).collect()
}
