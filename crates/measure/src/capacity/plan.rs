//! Plans and patches for fleets in 2 regions. The configuration has the same size for every number
//! of daemons.

use std::time::Duration;

use hawthornwall_core::config::{Change, Document, Patch, Rules, RulesChange};
use hawthornwall_core::ids::Version;

use hawthornwall_testkit::launcher::{Plan, ServicePlan, TargetPlan};

/// Failure domains; the part of the name before the dash is the region.
pub const DOMAINS: [&str; 6] = ["r1-a", "r2-a", "r1-b", "r2-b", "r1-c", "r2-c"];
/// Number of services at full size.
const SERVICES: usize = 54;
/// Number of targets at full size.
pub const TARGETS: usize = 540;

/// Creates a plan with the first `count` targets of the full size, distributed over all failure
/// domains and services.
pub fn fleet_plan(count: usize) -> Plan {
    let target = |n: usize| TargetPlan {
        domain: DOMAINS[n % DOMAINS.len()].to_owned(),
        name: format!("target-{n:03}"),
    };
    let service = |s: usize| ServicePlan {
        name: format!("service-{s:02}"),
        targets: (0..count)
            .filter(|n| n % SERVICES == s)
            .map(target)
            .collect(),
    };
    Plan {
        delay_us: 1_500,
        rules: Rules::default(),
        services: (0..SERVICES).map(service).collect(),
        slots: 10,
    }
}

/// Creates the plan's document with the remaining targets of the full size added, so that the size
/// of a daemon's configuration doesn't depend on the number of daemons.
pub(super) fn full_document(plan: &Plan, count: usize) -> Document {
    let mut document = plan.document();
    let create = |n: usize| Change::CreateTarget {
        name: format!("target-{n:03}"),
        service: format!("service-{:02}", n % SERVICES),
        domain: DOMAINS[n % DOMAINS.len()].to_owned(),
        slots: plan.slots,
    };
    let changes: Vec<Change> = (count..TARGETS).map(create).collect();
    document.patches.push(Patch {
        author: "launcher".to_owned(),
        base: Version(1),
        changes,
        note: "targets without a process".to_owned(),
        time: String::new(),
    });
    document
}

/// Creates a patch that changes the queue wait of one service, a frequent kind of change.
pub fn rules_patch(service: &str, base: Version, author: &str) -> Patch {
    let rules = RulesChange {
        queue_wait: Some(Duration::from_millis(50 + base.0 % 100)),
        ..RulesChange::default()
    };
    Patch {
        author: author.to_owned(),
        base,
        changes: vec![Change::UpdateService {
            name: service.to_owned(),
            hosts: None,
            rules,
        }],
        note: "queue wait".to_owned(),
        time: String::new(),
    }
}
