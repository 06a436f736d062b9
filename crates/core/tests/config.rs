//! Bounds of patches, the verifier and the digest of the configuration aggregate.

use std::collections::BTreeSet;
use std::time::Duration;

use hawthornwall_core::config::{Change, Patch, PatchFault, Rules, RulesChange};
use hawthornwall_core::prelude::*;
use insta::assert_snapshot;
use rstest::rstest;

fn patch(base: u64, changes: Vec<Change>) -> Patch {
    Patch {
        author: "trainee".to_owned(),
        base: Version(base),
        changes,
        note: "bookings open on Monday".to_owned(),
        time: "2026-01-05T08:00:00Z".to_owned(),
    }
}

fn service(name: &str, hosts: &[&str]) -> Change {
    Change::CreateService {
        name: name.to_owned(),
        hosts: hosts.iter().map(|h| (*h).to_owned()).collect(),
        rules: Rules::default(),
    }
}

fn target(name: &str, domain: &str, slots: u32) -> Change {
    Change::CreateTarget {
        name: name.to_owned(),
        service: "calendar".to_owned(),
        domain: domain.to_owned(),
        slots,
    }
}

fn rules(change: RulesChange) -> Change {
    Change::UpdateService {
        name: "calendar".to_owned(),
        hosts: None,
        rules: change,
    }
}

fn start() -> Configuration {
    let changes = vec![
        service("calendar", &["calendar.example"]),
        target("calendar-1", "dk-1", 10),
    ];
    let replayed = Configuration::default().replay(&patch(0, changes));
    replayed.expect("the patch is valid")
}

/// Returns the name of the running test case, such as `01_empty`.
fn case() -> String {
    let thread = std::thread::current();
    let row = thread.name().and_then(|name| name.split_once("case_"));
    row.map(|(_, case)| case.to_owned()).unwrap_or_default()
}

/// Returns two patches with every kind of change and every optional field.
fn all_kinds() -> [Patch; 2] {
    let update = RulesChange {
        deadline: Some(Duration::from_millis(1_500)),
        hedge: Some(false),
        queue_wait: Some(Duration::from_millis(20)),
        retry_percent: Some(5),
    };
    let first = vec![
        service("calendar", &["a.example", "b.example"]),
        service("order", &[]),
        target("calendar-1", "dk-1", 10),
        target("calendar-2", "dk-2", 6),
    ];
    let second = vec![
        Change::UpdateService {
            name: "calendar".to_owned(),
            hosts: Some(BTreeSet::from(["c.example".to_owned()])),
            rules: update,
        },
        Change::UpdateTarget {
            name: "calendar-1".to_owned(),
            domain: Some("dk-3".to_owned()),
            slots: Some(4),
        },
        Change::UpdateTarget {
            name: "calendar-1".to_owned(),
            domain: None,
            slots: None,
        },
        rules(RulesChange::default()),
        Change::RemoveTarget {
            name: "calendar-2".to_owned(),
        },
        Change::RemoveService {
            name: "order".to_owned(),
        },
    ];
    [patch(0, first), patch(1, second)]
}

/// Guards against a digest that differs between program versions: daemons of two versions would then
/// report divergent histories. The snapshot must never be updated.
#[test]
fn digest_of_each_version_is_fixed() {
    let mut config = Configuration::default();
    let mut digests = Vec::new();
    for patch in all_kinds() {
        config = config.replay(&patch).unwrap();
        assert_eq!(config.verify(), Vec::<String>::new());
        digests.push(format!("{} {:016x}", config.version, config.digest));
    }
    assert_snapshot!("digests", digests.join("\n"));
}

/// Guards against different patches with the same digest.
#[test]
fn each_field_changes_the_digest() {
    let base = patch(0, vec![service("calendar", &["a"]), target("t", "dk-1", 1)]);
    let mut others = vec![base.clone()];
    let mut add_variant = |change: &dyn Fn(&mut Patch)| {
        let mut other = base.clone();
        change(&mut other);
        others.push(other);
    };
    add_variant(&|p| p.author = "other".to_owned());
    add_variant(&|p| p.note.clear());
    add_variant(&|p| p.time.clear());
    add_variant(&|p| p.base = Version(1));
    add_variant(&|p| p.changes.swap(0, 1));
    add_variant(&|p| p.changes[0] = service("calenda", &["ra"]));
    add_variant(&|p| p.changes[0] = service("calendar", &[]));
    add_variant(&|p| p.changes[1] = target("t", "dk-1", 2));
    add_variant(&|p| p.changes[1] = target("td", "k-1", 1));
    let digests: BTreeSet<_> = others.iter().map(Patch::fingerprint).collect();
    assert_eq!(digests.len(), others.len());
}

/// Guards against accepted values that are out of range, and names that select two services.
#[rstest]
#[case::empty(vec![])]
#[case::long_name(vec![service(&"a".repeat(64), &[])])]
#[case::upper_case(vec![service("Calendar", &[])])]
#[case::no_name(vec![service("", &[])])]
#[case::bad_host(vec![service("order", &["a b"])])]
#[case::many_hosts(vec![Change::CreateService {
    name: "order".to_owned(),
    hosts: (0..65).map(|n| format!("h{n}")).collect(),
    rules: Rules::default(),
}])]
#[case::host_of_other(vec![service("order", &["calendar.example"])])]
#[case::host_is_name_of_other(vec![service("order", &["calendar"])])]
#[case::name_is_host_of_other(vec![service("order", &[]), service("x", &["order"])])]
#[case::target_exists(vec![target("calendar-1", "dk-1", 1)])]
#[case::no_slots(vec![target("calendar-2", "dk-1", 0)])]
#[case::bad_domain(vec![target("calendar-2", "DK", 1)])]
#[case::service_in_use(vec![Change::RemoveService { name: "calendar".to_owned() }])]
#[case::deadline(vec![rules(RulesChange {
    deadline: Some(Duration::from_secs(601)),
    ..RulesChange::default()
})])]
#[case::all_faults_at_once(vec![
    target("B", "dk-1", 0),
    Change::RemoveTarget { name: "absent".to_owned() },
])]
fn rejected(#[case] changes: Vec<Change>) {
    let before = start();
    let faults = before.replay(&patch(1, changes)).unwrap_err();
    let texts: Vec<_> = faults.iter().map(PatchFault::to_string).collect();
    assert_snapshot!(format!("rejected_{}", case()), texts.join("\n"));
}

/// Guards against a patch of unbounded size, which would exhaust the memory of every daemon.
#[test]
fn sizes_are_bounded() {
    let many = (0..1_001).map(|n| service(&format!("s{n}"), &[])).collect();
    let mut long = patch(1, many);
    long.author = "a".repeat(129);
    long.note = "n".repeat(1_025);
    long.time = "t".repeat(65);
    let faults = start().replay(&long).unwrap_err();
    let texts: Vec<_> = faults.iter().map(PatchFault::to_string).collect();
    assert_snapshot!("sizes", texts.join("\n"));
    let full = (0..1_000).map(|n| service(&format!("s{n}"), &[])).collect();
    let faults = start().replay(&patch(1, full)).unwrap_err();
    assert_snapshot!("services", faults[0].to_string());
}

/// Guards against the adoption of a checkpoint that was edited by hand and breaks an invariant.
#[rstest]
#[case::next_service(|c: &mut Configuration| c.next_service = ServiceId(0))]
#[case::next_target(|c: &mut Configuration| c.next_target = TargetId(0))]
#[case::orphan(|c: &mut Configuration| c.services.clear())]
#[case::no_slots(|c: &mut Configuration| c.targets.values_mut().for_each(|t| t.slots = 0))]
#[case::version_zero(|c: &mut Configuration| c.version = Version(0))]
#[case::duplicate(|c: &mut Configuration| {
    let target = c.targets[&TargetId(0)].clone();
    c.targets.insert(TargetId(7), target);
    let service = c.services[&ServiceId(0)].clone();
    c.services.insert(ServiceId(7), service);
})]
fn verifier(#[case] break_invariant: fn(&mut Configuration)) {
    let mut config = start();
    break_invariant(&mut config);
    assert_snapshot!(format!("verifier_{}", case()), config.verify().join("\n"));
}
