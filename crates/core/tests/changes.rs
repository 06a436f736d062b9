//! Differences, warnings, history and undo, shown in the words that operators read.

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
fn words(from: &Configuration, to: &Configuration) -> String {
    let differences = from.differences(to).into_iter().map(|d| d.to_string());
    let warnings = from
        .warnings(to)
        .into_iter()
        .map(|w| format!("warning: {w}"));
    differences.chain(warnings).collect::<Vec<_>>().join("\n")
}

/// Guards against a change that operators are told wrongly, or a danger that they aren't told.
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
    assert_snapshot!(format!("difference_{name}"), words(&from, &to));
}

/// Guards against differences reported where there are none.
#[test]
fn no_difference() {
    let config = document(&[]).replay().configuration;
    assert_eq!(words(&config, &config), "");
}

const SLOTS: &str =
    r#"[{"change": "update_target", "name": "orders-3", "slots": 8, "domain": "dk-3"}]"#;
const QUEUE: &str =
    r#"[{"change": "update_service", "name": "orders", "rules": {"queue_wait_ms": 50}}]"#;
const LEAVE: &str = r#"[{"change": "remove_target", "name": "orders-3"}]"#;
const BACK: &str = r#"[{"change": "create_target", "name": "orders-3", "service": "orders", "domain": "dk-9", "slots": 1}]"#;
const RETIRE: &str = r#"[{"change": "remove_target", "name": "calendar-1"},
    {"change": "remove_target", "name": "calendar-2"}, {"change": "remove_service", "name": "calendar"}]"#;
const SLOTS_AGAIN: &str = r#"[{"change": "update_target", "name": "orders-3", "slots": 9}]"#;
const SLOTS_BACK: &str =
    r#"[{"change": "update_target", "name": "orders-3", "slots": 6, "domain": "dk-2"}]"#;

/// Guards against an undo that changes more or less than the version did, or that overwrites the
/// work of a later one.
#[rstest]
#[case::update("update", 4, &[SLOTS])]
#[case::update_after_another("update_after_another", 4, &[SLOTS, QUEUE])]
#[case::removal("removal", 4, &[LEAVE, QUEUE])]
#[case::whole_service("whole_service", 4, &[RETIRE])]
#[case::creation("creation", 3, &[QUEUE])]
#[case::service_in_use("service_in_use", 2, &[])]
#[case::empty_document("first_version", 1, &[QUEUE])]
#[case::changed_since("changed_since", 4, &[SLOTS, SLOTS_AGAIN])]
#[case::removed_since("removed_since", 4, &[SLOTS, LEAVE])]
#[case::created_since("created_since", 4, &[LEAVE, BACK])]
#[case::already_back("already_back", 4, &[SLOTS, SLOTS_BACK])]
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
            let next = now.replay(&patch).expect("an undo can be accepted");
            assert_eq!(next.verify(), Vec::<String>::new());
            words(&now, &next)
        }
    };
    assert_snapshot!(format!("undo_{name}"), text);
}

/// Guards against an undo of the last version that leaves anything but the ids different.
#[rstest]
#[case(SLOTS)]
#[case(QUEUE)]
#[case(LEAVE)]
#[case(RETIRE)]
fn undo_restores(#[case] change: &str) {
    let document = document(&[change]);
    let before = document.at(Version(3)).expect("version 3 exists");
    let now = document.replay().configuration;
    let patch = Patch {
        author: String::new(),
        base: now.version,
        changes: document
            .undo(now.version)
            .expect("nothing stands against it"),
        note: String::new(),
        time: String::new(),
    };
    let next = now.replay(&patch).expect("an undo can be accepted");
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

/// Guards against a history that counts skipped patches as versions, and a compact document that
/// reaches another configuration.
#[test]
fn history() {
    let mut document = document(&[QUEUE]);
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
