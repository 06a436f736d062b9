//! A planned stop interrupts no request in flight.
//!
//! A request counts as interrupted by a stop if it was in flight when the stop began, involved the
//! stopping party, and failed because a connection broke, while no involved party was killed or
//! disconnected.

use std::collections::{BTreeMap, BTreeSet};

use crate::history::view::RequestView;
use crate::history::{Change, Event, Invariant, Record, View, Violation};

pub fn graceful_stop(view: &View<'_>) -> Vec<Violation> {
    let local_targets = view.local_targets();
    let mut violations = Vec::new();
    for (number, request) in &view.requests {
        let (Some(sent), Some(received)) = (request.sent, request.received.first()) else {
            continue;
        };
        let parties = involved(request, &local_targets);
        let during = |r: &Record| sent.at < r.at && r.at <= received.at;
        let of_request = |r: &&&Record| parties.contains(r.party.as_str()) && during(r);
        let had_outage = view
            .presence
            .iter()
            .filter(of_request)
            .any(|r| is_outage(r));
        let stop = view
            .presence
            .iter()
            .filter(of_request)
            .find(|r| is_planned_stop(r));
        match stop {
            Some(stop) if is_interrupted(received) && !had_outage => {
                let message = format!(
                    "request {number} was interrupted by the planned stop of {}",
                    stop.party
                );
                let proof = [sent, *stop, *received];
                violations.push(Violation::new(Invariant::GracefulStop, message, proof));
            }
            Some(_) | None => {}
        }
    }
    violations
}

/// Returns the daemon that the caller selected, the targets that started the request, and the
/// daemons of these targets.
fn involved<'a>(
    request: &RequestView<'a>,
    local_targets: &BTreeMap<&'a str, &'a str>,
) -> BTreeSet<&'a str> {
    let targets: BTreeSet<_> = request.starts.iter().map(|r| r.party.as_str()).collect();
    let daemons = local_targets
        .iter()
        .filter(|(_, target)| targets.contains(*target));
    let daemons: Vec<_> = daemons.map(|(daemon, _)| *daemon).collect();
    targets
        .into_iter()
        .chain(daemons)
        .chain(request.daemon)
        .collect()
}

fn is_interrupted(received: &Record) -> bool {
    let Event::Received {
        outcome,
        reason,
        status,
        ..
    } = &received.event
    else {
        return false;
    };
    let lost = outcome == "failed" || outcome == "unknown";
    *status == 0 || (lost && reason == "connection-closed")
}

fn is_planned_stop(record: &Record) -> bool {
    record.event == Event::Leaving || record.event.change() == Some(Change::Stopping)
}

fn is_outage(record: &Record) -> bool {
    let change = record.event.change();
    change.is_some_and(|c| c == Change::Killed || c == Change::CutOff)
}
