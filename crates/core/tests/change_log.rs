//! The log of changes from which daemons answer their peers.

#![allow(clippy::unwrap_used, reason = "a panic is how a test fails")]

use std::fmt::Write as _;
use std::time::Duration;

use hawthornwall_core::catalog::{
    Change, ChangeLog, PublishedRoutes, Revision, Snapshot, UpdateChange, UpdatePayload,
};
use hawthornwall_core::prelude::*;
use hawthornwall_core::routes::{Destination, Repeatability, Route, RouteTable};
use insta::assert_snapshot;
use proptest::prelude::*;

const HOST: &str = "a.example";

fn at(number: u64) -> Revision {
    Revision::new(1, number)
}

fn route(prefix: &str, service: &str) -> Route {
    Route {
        attempts: 1,
        destinations: vec![Destination {
            service: service.to_owned(),
            weight: 1,
        }],
        objective: Duration::from_secs(1),
        prefix: prefix.to_owned(),
        rank: 0,
        repeats: Repeatability::Idempotent,
        timeout: Duration::from_secs(2),
    }
}

/// Routes of `version` with the prefixes of `numbers`, each to the service of the same position.
fn routes(version: u64, numbers: &[(usize, &str)]) -> PublishedRoutes {
    let mut routes = RouteTable::default();
    for (number, service) in numbers {
        routes.insert(HOST, route(&format!("/{number}/"), service));
    }
    PublishedRoutes {
        routes,
        version: Version(version),
        ..PublishedRoutes::default()
    }
}

fn many(count: usize) -> Vec<(usize, &'static str)> {
    (0..count).map(|number| (number, "s")).collect()
}

fn describe(payload: &UpdatePayload) -> String {
    let change = |change: &UpdateChange| match change {
        UpdateChange::RouteDelta(delta) => format!(
            "{} to {}: {} removed, {} written",
            delta.base,
            delta.version,
            delta.removed.len(),
            delta.written.len()
        ),
        UpdateChange::Routes(published) => {
            format!(
                "{} with {} routes",
                published.version,
                published.routes.len()
            )
        }
        UpdateChange::Target { name, .. }
        | UpdateChange::TargetGone { name }
        | UpdateChange::Evacuated { domain: name }
        | UpdateChange::EvacuationEnded { domain: name } => name.clone(),
    };
    match payload {
        UpdatePayload::Changes(changes) => {
            let changes = changes.iter().map(|(at, c)| format!("{at}: {}", change(c)));
            format!("changes [{}]", changes.collect::<Vec<_>>().join(", "))
        }
        UpdatePayload::Contents(_) => "contents".to_owned(),
        UpdatePayload::TooLarge => "too large".to_owned(),
    }
}

/// A log whose contents at revision 7 are 1,948 routes of version 1.
fn large_log() -> ChangeLog {
    let mut log = ChangeLog::default();
    let contents = Snapshot {
        routes: Some(routes(1, &many(1_948))),
        ..Snapshot::default()
    };
    log.restart(at(7), contents);
    log
}

/// Guards against each small change of a large configuration being read from the store by the whole fleet,
/// since all routes don't fit into an update.
#[test]
fn small_changes_of_many_routes() {
    let mut log = large_log();
    let mut numbers = many(1_948);
    numbers[5] = (5, "other");
    log.push(8, &Change::Routes(routes(2, &numbers)));
    numbers.remove(9);
    numbers.push((5_000, "s"));
    log.push(9, &Change::Routes(routes(3, &numbers)));
    let mut table = String::new();
    for after in [6, 7, 8, 9] {
        writeln!(table, "after {after}: {}", describe(&log.since(at(after)))).unwrap();
    }
    log.push(10, &Change::Routes(routes(4, &many(3_000))));
    writeln!(
        table,
        "after 9, many new routes: {}",
        describe(&log.since(at(9)))
    )
    .unwrap();
    log.push(11, &Change::Routes(routes(5, &[(1, "s")])));
    writeln!(
        table,
        "after 10, few are left: {}",
        describe(&log.since(at(10)))
    )
    .unwrap();
    assert_snapshot!(table);
}

/// Guards against a difference that is applied to routes of another version than it was taken from.
#[test]
fn difference_to_other_routes() {
    let mut sender = large_log();
    let mut numbers = many(1_948);
    numbers[5] = (5, "other");
    sender.push(8, &Change::Routes(routes(2, &numbers)));
    let mut ahead = large_log();
    ahead.push(8, &Change::Routes(routes(2, &numbers)));
    numbers[6] = (6, "other");
    sender.push(9, &Change::Routes(routes(3, &numbers)));
    let update = |after| match sender.since(at(after)) {
        UpdatePayload::Changes(changes) => changes,
        UpdatePayload::Contents(_) | UpdatePayload::TooLarge => Vec::new(),
    };
    let same = large_log();
    let empty = ChangeLog::default();
    let mut table = String::new();
    for (name, log) in [("same", &same), ("ahead", &ahead), ("empty", &empty)] {
        for after in [7, 8] {
            let versions = log.resolve(update(after)).map(|changes| {
                let versions = changes.into_iter().map(|(at, change)| match change {
                    Change::Routes(published) => (at, published.version.to_string()),
                    Change::Target { name, .. }
                    | Change::TargetGone { name }
                    | Change::Evacuated { domain: name }
                    | Change::EvacuationEnded { domain: name } => (at, name),
                });
                versions.collect::<Vec<_>>()
            });
            writeln!(table, "{name}, after {after}: {versions:?}").unwrap();
        }
    }
    assert_snapshot!(table);
}

fn published() -> impl Strategy<Value = Vec<(usize, &'static str)>> {
    let services = prop::sample::select(vec!["s", "t"]);
    prop::collection::vec((0..12usize, services), 0..12)
}

proptest! {
    /// Guards against updates after which a daemon has other routes than its peer.
    #[test]
    fn resolved_updates_give_the_same_routes(
        versions in prop::collection::vec(published(), 1..12),
        held in 0..12usize,
    ) {
        let held = held.min(versions.len() - 1);
        let published = |n: usize| routes(n as u64 + 1, &versions[n]);
        let snapshot = |n| Snapshot { routes: Some(published(n)), ..Snapshot::default() };
        let mut sender = ChangeLog::default();
        sender.restart(at(0), snapshot(0));
        let mut receiver = ChangeLog::default();
        receiver.restart(at(held as u64), snapshot(held));
        for n in 1..versions.len() {
            sender.push(n as u64, &Change::Routes(published(n)));
        }
        let UpdatePayload::Changes(changes) = sender.since(at(held as u64)) else {
            panic!("the changes fit into an update");
        };
        let resolved = receiver.resolve(changes).unwrap();
        prop_assert_eq!(resolved.len(), versions.len() - 1 - held);
        for (at, change) in resolved {
            prop_assert_eq!(change, Change::Routes(published(at as usize)));
        }
    }
}
