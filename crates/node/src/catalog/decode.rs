//! What the store's items and events change here.

use hawthornwall_core::catalog::{Change, Snapshot};
use hawthornwall_platform::{Event, Item, KeyKind, decode_change};

use super::report;

/// What an event changes. An entry of a target that can't be read names no target any more; routes
/// that can't be read change nothing.
pub(super) fn change(event: Event) -> Option<Change> {
    match event {
        Event::Deleted { key, .. } => gone(&key),
        Event::Written(item) => match decode_change(&item) {
            Ok(change) => change,
            Err(fault) => {
                report::unreadable(&item.key, &fault.0, item.revision);
                gone(&item.key)
            }
        },
    }
}

/// All items that can be read.
pub(super) fn snapshot(items: &[Item]) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for change in items.iter().filter_map(read_item) {
        match change {
            Change::Routes(routes) => snapshot.routes = Some(routes),
            Change::Target { name, target } => {
                snapshot.targets.insert(name, target);
            }
            Change::TargetGone { .. } => {}
        }
    }
    snapshot
}

fn gone(key: &str) -> Option<Change> {
    match KeyKind::of(key) {
        KeyKind::Target(name) => Some(Change::TargetGone {
            name: name.to_owned(),
        }),
        KeyKind::Other | KeyKind::Routes => None,
    }
}

fn read_item(item: &Item) -> Option<Change> {
    decode_change(item).unwrap_or_else(|fault| {
        report::unreadable(&item.key, &fault.0, item.revision);
        None
    })
}
