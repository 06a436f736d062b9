//! Decodes items and events of the store into changes of the catalog.

use hawthornwall_core::catalog::{Change, Snapshot};
use hawthornwall_platform::{Event, Item, KeyKind, decode_change};

use super::report;
use super::unknown::UnknownValues;

/// Decodes an event; `None` if it changes nothing. A target whose entry can't be decoded counts as gone;
/// routes that can't be decoded are ignored.
pub(super) fn decode_event(event: Event, unknown: &mut UnknownValues) -> Option<Change> {
    match event {
        Event::Deleted { key, .. } => evacuation_ended(&key).or_else(|| target_gone(&key)),
        Event::Written(item) => match decode_change(&item) {
            Ok(decoded) => decoded.map(|decoded| unknown.take(decoded)),
            Err(fault) => {
                report::undecodable_entry(&item.key, &fault.0, item.revision);
                target_gone(&item.key)
            }
        },
    }
}

/// Decodes all items, leaving out those that can't be decoded.
pub(super) fn decode_snapshot(items: &[Item], unknown: &mut UnknownValues) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for change in items.iter().filter_map(|item| decode_item(item, unknown)) {
        match change {
            Change::Routes(routes) => snapshot.routes = Some(routes),
            Change::Target { name, target } => {
                snapshot.targets.insert(name, target);
            }
            Change::Evacuated { domain } => {
                snapshot.evacuated.insert(domain);
            }
            Change::EvacuationEnded { .. } | Change::TargetGone { .. } => {}
        }
    }
    snapshot
}

fn target_gone(key: &str) -> Option<Change> {
    match KeyKind::of(key) {
        KeyKind::Target(name) => Some(Change::TargetGone {
            name: name.to_owned(),
        }),
        KeyKind::Evacuation(_) | KeyKind::Other | KeyKind::Routes => None,
    }
}

fn evacuation_ended(key: &str) -> Option<Change> {
    match KeyKind::of(key) {
        KeyKind::Evacuation(domain) => Some(Change::EvacuationEnded {
            domain: domain.to_owned(),
        }),
        KeyKind::Other | KeyKind::Routes | KeyKind::Target(_) => None,
    }
}

fn decode_item(item: &Item, unknown: &mut UnknownValues) -> Option<Change> {
    let decoded = decode_change(item).unwrap_or_else(|fault| {
        report::undecodable_entry(&item.key, &fault.0, item.revision);
        None
    });
    decoded.map(|decoded| unknown.take(decoded))
}
