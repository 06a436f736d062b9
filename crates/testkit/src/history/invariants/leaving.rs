//! A leaving target starts no request after the allowed time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::history::{Change, Event, Invariant, Record, View, Violation};

/// A target that is started or restored is no longer leaving.
pub fn no_work_after_leaving(view: &View<'_>, allowed: Duration) -> Vec<Violation> {
    let mut leaving: BTreeMap<&str, &Record> = BTreeMap::new();
    let mut violations = Vec::new();
    for record in &view.records {
        let party = record.party.as_str();
        let change = record.event.change();
        if record.event == Event::Leaving {
            leaving.entry(party).or_insert(record);
        } else if change.is_some_and(|c| c == Change::Started || c == Change::Restored) {
            leaving.remove(party);
        } else if let Event::RunStarted { request } = record.event
            && let Some(left) = leaving.get(party).copied()
        {
            let after = Duration::from_micros(record.at - left.at);
            if after > allowed {
                let message =
                    format!("request {request} started {after:?} after {party} began to leave");
                let proof = [left, record];
                violations.push(Violation::new(Invariant::LeavingTarget, message, proof));
            }
        }
    }
    violations
}
