//! Differences, warnings, history and undo, compared as the texts that operators read.

use hawthornwall_core::config::{Change, Configuration, Document, Patch};
use hawthornwall_core::prelude::*;
use insta::assert_snapshot;
use rstest::rstest;

/// Versions 1 to 3: two services with targets in two domains.
const START: [&str; 3] = [
    r#"[{"change": "create_service", "name": "calendar", "hosts": ["calendar.example"]},
        {"change": "create_target", "name": "calendar-1", "service": "calendar", "domain": "dk-1", "slots": 10},
        {"change": "create_target", "name": "calendar-2", "service": "calendar", "domain": "dk-2", "slots": 10}]"#,
    r#"[{"change": "create_service", "name": "orders"}]"#,
    r#"[{"change": "create_target", "name": "orders-1", "service": "orders", "domain": "dk-1", "slots": 6},
        {"change": "create_target", "name": "orders-2", "service": "orders", "domain": "dk-1", "slots": 6},
        {"change": "create_target", "name": "orders-3", "service": "orders", "domain": "dk-2", "slots": 6}]"#,
];

fn document(changes: &[&str]) -> Document {
    let mut document = Document::default();
    for (base, text) in START.iter().chain(changes).enumerate() {
        let changes: Vec<Change> = serde_json::from_str(text).expect("the changes are valid JSON");
        document.patches.push(Patch {
            author: "trainee".to_owned(),
            base: Version(base as u64),
            changes,
            note: String::new(),
            time: String::new(),
        });
    }
    document
}

/// Differences and warnings between two configurations.
fn describe(from: &Configuration, to: &Configuration) -> String {
    let differences = from.differences(to).into_iter().map(|d| d.to_string());
    let warnings = from
        .warnings(to)
        .into_iter()
        .map(|w| format!("warning: {w}"));
    differences.chain(warnings).collect::<Vec<_>>().join("\n")
}

/// Guards against a change that is described wrongly, and a warning that is missing.
#[rstest]
#[case::new_service(
    "new_service",
    r#"[{"change": "create_service", "name": "lot", "hosts": ["a", "b"]}]"#
)]
#[case::rules(
    "rules",
    r#"[{"change": "update_service", "name": "orders", "hosts": ["orders.example"],
         "rules": {"deadline_ms": 50, "hedge": false, "queue_wait_ms": 60, "retry_percent": 0}}]"#
)]
#[case::slots(
    "slots",
    r#"[{"change": "update_target", "name": "orders-3", "slots": 8, "domain": "dk-3"}]"#
)]
#[case::one_target_left(
    "one_target_left",
    r#"[{"change": "remove_target", "name": "calendar-2"}]"#
)]
#[case::one_domain_left(
    "one_domain_left",
    r#"[{"change": "remove_target", "name": "orders-3"}]"#
)]
#[case::capacity(
    "capacity",
    r#"[{"change": "update_target", "name": "calendar-2", "slots": 1},
    {"change": "update_target", "name": "calendar-1", "slots": 8}]"#
)]
#[case::last_target(
    "last_target",
    r#"[{"change": "remove_target", "name": "calendar-1"}, {"change": "remove_target", "name": "calendar-2"}]"#
)]
#[case::removed_service(
    "removed_service",
    r#"[{"change": "remove_target", "name": "calendar-1"}, {"change": "remove_target", "name": "calendar-2"},
        {"change": "remove_service", "name": "calendar"}]"#
)]
#[case::replaced(
    "replaced",
    r#"[{"change": "remove_target", "name": "orders-2"},
        {"change": "create_target", "name": "orders-2", "service": "calendar", "domain": "dk-1", "slots": 6}]"#
)]
fn difference(#[case] name: &str, #[case] change: &str) {
    let document = document(&[change]);
    let from = document.at(Version(3)).expect("version 3 exists");
    let to = document.at(Version(4)).expect("the change is accepted");
    assert_snapshot!(format!("difference_{name}"), describe(&from, &to));
}

/// Guards against differences reported where there are none.
#[test]
fn no_difference() {
    let config = document(&[]).replay().configuration;
    assert_eq!(describe(&config, &config), "");
}

const UPDATE_SLOTS: &str =
    r#"[{"change": "update_target", "name": "orders-3", "slots": 8, "domain": "dk-3"}]"#;
const UPDATE_QUEUE_WAIT: &str =
    r#"[{"change": "update_service", "name": "orders", "rules": {"queue_wait_ms": 50}}]"#;
const REMOVE_TARGET: &str = r#"[{"change": "remove_target", "name": "orders-3"}]"#;
const RECREATE_TARGET: &str = r#"[{"change": "create_target", "name": "orders-3", "service": "orders", "domain": "dk-9", "slots": 1}]"#;
const REMOVE_SERVICE: &str = r#"[{"change": "remove_target", "name": "calendar-1"},
    {"change": "remove_target", "name": "calendar-2"}, {"change": "remove_service", "name": "calendar"}]"#;
const UPDATE_SLOTS_AGAIN: &str = r#"[{"change": "update_target", "name": "orders-3", "slots": 9}]"#;
const RESTORE_SLOTS: &str =
    r#"[{"change": "update_target", "name": "orders-3", "slots": 6, "domain": "dk-2"}]"#;

/// Guards against an undo that changes more or less than the version did, or that overwrites the
/// changes of a later version.
#[rstest]
#[case::update("update", 4, &[UPDATE_SLOTS])]
#[case::update_after_another("update_after_another", 4, &[UPDATE_SLOTS, UPDATE_QUEUE_WAIT])]
#[case::removal("removal", 4, &[REMOVE_TARGET, UPDATE_QUEUE_WAIT])]
#[case::whole_service("whole_service", 4, &[REMOVE_SERVICE])]
#[case::creation("creation", 3, &[UPDATE_QUEUE_WAIT])]
#[case::service_in_use("service_in_use", 2, &[])]
#[case::empty_document("first_version", 1, &[UPDATE_QUEUE_WAIT])]
#[case::changed_since("changed_since", 4, &[UPDATE_SLOTS, UPDATE_SLOTS_AGAIN])]
#[case::removed_since("removed_since", 4, &[UPDATE_SLOTS, REMOVE_TARGET])]
#[case::created_since("created_since", 4, &[REMOVE_TARGET, RECREATE_TARGET])]
#[case::already_undone("already_undone", 4, &[UPDATE_SLOTS, RESTORE_SLOTS])]
#[case::unknown_version("unknown_version", 9, &[])]
#[case::version_zero("version_zero", 0, &[])]
fn undo(#[case] name: &str, #[case] version: u64, #[case] changes: &[&str]) {
    let document = document(changes);
    let now = document.replay().configuration;
    let text = match document.undo(Version(version)) {
        Err(faults) => {
            let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
            format!("refused:\n{}", faults.join("\n"))
        }
        Ok(changes) => {
            let patch = Patch {
                author: "trainee".to_owned(),
                base: now.version,
                changes,
                note: String::new(),
                time: String::new(),
            };
            let next = now.replay(&patch).expect("the undo is accepted");
            assert_eq!(next.verify(), Vec::<String>::new());
            describe(&now, &next)
        }
    };
    assert_snapshot!(format!("undo_{name}"), text);
}

/// Guards against an undo of the last version after which anything but the ids differs from before.
#[rstest]
#[case(UPDATE_SLOTS)]
#[case(UPDATE_QUEUE_WAIT)]
#[case(REMOVE_TARGET)]
#[case(REMOVE_SERVICE)]
fn undo_restores(#[case] change: &str) {
    let document = document(&[change]);
    let before = document.at(Version(3)).expect("version 3 exists");
    let now = document.replay().configuration;
    let patch = Patch {
        author: String::new(),
        base: now.version,
        changes: document
            .undo(now.version)
            .expect("no later version prevents the undo"),
        note: String::new(),
        time: String::new(),
    };
    let next = now.replay(&patch).expect("the undo is accepted");
    let replaced = |d: &hawthornwall_core::config::Difference| {
        matches!(
            d,
            hawthornwall_core::config::Difference::TargetReplaced { .. }
        )
    };
    let left: Vec<_> = before
        .differences(&next)
        .into_iter()
        .filter(|d| !replaced(d))
        .collect();
    assert_eq!(left, []);
}

/// Guards against a history that counts skipped patches as versions, and a compacted document that
/// reaches another configuration.
#[test]
fn history() {
    let mut document = document(&[UPDATE_QUEUE_WAIT]);
    let mut stale = document.patches[3].clone();
    stale.base = Version(2);
    document.patches.insert(3, stale);
    let lines = document
        .history()
        .into_iter()
        .map(|entry| match entry.result {
            Ok(version) => format!("{} {version}", entry.index),
            Err(faults) => format!("{} skipped: {}", entry.index, faults[0]),
        });
    assert_snapshot!(lines.collect::<Vec<_>>().join("\n"));
    let since: Vec<_> = document
        .accepted_since(Version(2))
        .iter()
        .map(|e| e.index)
        .collect();
    assert_eq!(since, [2, 4]);
    assert_eq!(
        document.compacted().replay().configuration,
        document.replay().configuration
    );
    assert_eq!(document.compacted().at(Version(2)), None);
}
