//! Bounds on the values of patches and configurations.
//!
//! Invariant: checking and applying a patch takes bounded time and memory, whatever it contains.

use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;

use super::{Change, Patch, PatchFault, Rules, RulesChange};

/// Longest name of a service, target or failure domain, in bytes: the limit of a DNS label.
const NAME_LIMIT: usize = 63;
/// Longest host name, in bytes: the limit of DNS.
const HOST_LIMIT: usize = 253;
/// Greatest number of host names of one service.
const HOSTS_LIMIT: usize = 64;
/// Greatest number of changes in one patch. One patch can create a fleet of 540 targets.
const CHANGE_LIMIT: usize = 1_000;
/// Greatest number of services, well above the expected 54 and below the number of possible
/// ids.
pub(super) const SERVICE_LIMIT: usize = 1_000;
/// Greatest number of targets, well above the expected 540. A published document may have at most
/// 1 MB.
pub(super) const TARGET_LIMIT: usize = 5_000;
/// Longest author, in bytes.
const AUTHOR_LIMIT: usize = 128;
/// Longest note, in bytes.
const NOTE_LIMIT: usize = 1_024;
/// Longest time as text, in bytes.
const TIME_LIMIT: usize = 64;
/// Number of requests that a target may run at once.
pub const SLOTS: RangeInclusive<u32> = 1..=10_000;
const DEADLINE_MS: RangeInclusive<u128> = 1..=600_000;
const QUEUE_WAIT_MS: RangeInclusive<u128> = 0..=60_000;
const RETRY_PERCENT: RangeInclusive<u32> = 0..=100;

/// Checks the metadata of a patch and the number of its changes.
pub(super) fn check_patch(patch: &Patch, faults: &mut Vec<PatchFault>) {
    if patch.changes.is_empty() {
        faults.push(PatchFault::Empty);
    }
    let sizes = [
        ("author", patch.author.len(), AUTHOR_LIMIT),
        ("changes", patch.changes.len(), CHANGE_LIMIT),
        ("note", patch.note.len(), NOTE_LIMIT),
        ("time", patch.time.len(), TIME_LIMIT),
    ];
    for (field, found, limit) in sizes {
        check_size(field, found, limit, faults);
    }
}

/// Checks the values of one change, independently of the configuration.
pub(super) fn check_change(index: usize, change: &Change, faults: &mut Vec<PatchFault>) {
    let mut check = Check { faults, index };
    match change {
        Change::CreateService { name, hosts, rules } => {
            check.name("name", name);
            check.hosts(hosts);
            check.rules(&RulesChange::from(rules));
        }
        Change::CreateTarget {
            name,
            domain,
            slots,
            ..
        } => {
            check.name("name", name);
            check.name("domain", domain);
            check.slots(*slots);
        }
        Change::UpdateService { hosts, rules, .. } => {
            if let Some(hosts) = hosts {
                check.hosts(hosts);
            }
            check.rules(rules);
        }
        Change::UpdateTarget { domain, slots, .. } => {
            if let Some(domain) = domain {
                check.name("domain", domain);
            }
            if let Some(slots) = slots {
                check.slots(*slots);
            }
        }
        Change::RemoveService { .. } | Change::RemoveTarget { .. } => {}
    }
}

pub(super) fn check_size(field: &str, found: usize, limit: usize, faults: &mut Vec<PatchFault>) {
    if found > limit {
        let field = field.to_owned();
        faults.push(PatchFault::Size {
            field,
            found,
            limit,
        });
    }
}

/// Collects faults for values of one change that are out of range.
pub(super) struct Check<'a> {
    pub(super) faults: &'a mut Vec<PatchFault>,
    pub(super) index: usize,
}

impl Check<'_> {
    pub(super) fn name(&mut self, field: &str, text: &str) {
        if !is_name(text) {
            self.fault(field, text, format!("1 to {NAME_LIMIT} of a-z, 0-9 and -"));
        }
    }

    pub(super) fn hosts(&mut self, hosts: &BTreeSet<String>) {
        if hosts.len() > HOSTS_LIMIT {
            let found = format!("{} names", hosts.len());
            self.fault("hosts", &found, format!("at most {HOSTS_LIMIT}"));
        }
        for host in hosts.iter().take(HOSTS_LIMIT) {
            if !is_host(host) {
                let accepted = format!("1 to {HOST_LIMIT} of a-z, 0-9, - and .");
                self.fault("hosts", host, accepted);
            }
        }
    }

    pub(super) fn slots(&mut self, slots: u32) {
        self.range("slots", &slots, &SLOTS);
    }

    pub(super) fn rules(&mut self, rules: &RulesChange) {
        if let Some(deadline) = rules.deadline {
            self.range("deadline_ms", &deadline.as_millis(), &DEADLINE_MS);
        }
        if let Some(wait) = rules.queue_wait {
            self.range("queue_wait_ms", &wait.as_millis(), &QUEUE_WAIT_MS);
        }
        if let Some(percent) = rules.retry_percent {
            self.range("retry_percent", &percent, &RETRY_PERCENT);
        }
    }

    fn range<T: fmt::Display + PartialOrd>(
        &mut self,
        field: &str,
        value: &T,
        range: &RangeInclusive<T>,
    ) {
        if !range.contains(value) {
            let accepted = format!("{} to {}", range.start(), range.end());
            self.fault(field, &value.to_string(), accepted);
        }
    }

    /// Records a fault. The value is cut to the length of a host name to keep faults small.
    fn fault(&mut self, field: &str, found: &str, accepted: String) {
        let found = if found.is_empty() { "empty" } else { found };
        self.faults.push(PatchFault::Value {
            change: self.index,
            field: field.to_owned(),
            found: found.chars().take(HOST_LIMIT).collect(),
            accepted,
        });
    }
}

impl From<&Rules> for RulesChange {
    fn from(rules: &Rules) -> Self {
        Self {
            deadline: Some(rules.deadline),
            hedge: Some(rules.hedge),
            queue_wait: Some(rules.queue_wait),
            retry_percent: Some(rules.retry_percent),
        }
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    (1..=NAME_LIMIT).contains(&text.len()) && text.bytes().all(allowed)
}

fn is_host(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'.');
    (1..=HOST_LIMIT).contains(&text.len()) && text.bytes().all(allowed)
}
