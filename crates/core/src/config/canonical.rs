//! The canonical encoding of a patch, from which its digest is computed.
//!
//! Invariant: the encoding of existing values never changes. A new kind of change gets a new
//! number, and a new field is hashed only if it differs from its default, so that daemons of two
//! program versions compute the same digest for a patch that both support.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Change, Patch, Rules, RulesChange};
use crate::digest::Digest;

/// Returns the digest of the version that `patch` creates on a version with the digest `previous`.
pub(super) fn chain_digest(previous: u64, patch: &Patch) -> u64 {
    let mut digest = Digest::new("patch");
    digest.number(previous);
    digest.number(patch.base.0);
    for text in [&patch.author, &patch.note, &patch.time] {
        digest.text(text);
    }
    digest.number(patch.changes.len() as u64);
    for change in &patch.changes {
        hash_change(&mut digest, change);
    }
    digest.finish()
}

fn hash_change(digest: &mut Digest, change: &Change) {
    match change {
        Change::CreateService { name, hosts, rules } => {
            digest.number(1);
            digest.text(name);
            hash_hosts(digest, hosts);
            hash_rules(digest, rules);
        }
        Change::CreateTarget {
            name,
            service,
            domain,
            slots,
        } => {
            digest.number(2);
            for text in [name, service, domain] {
                digest.text(text);
            }
            digest.number(u64::from(*slots));
        }
        Change::RemoveService { name } => {
            digest.number(3);
            digest.text(name);
        }
        Change::RemoveTarget { name } => {
            digest.number(4);
            digest.text(name);
        }
        Change::UpdateService { name, hosts, rules } => {
            digest.number(5);
            digest.text(name);
            hash_option(digest, hosts.as_ref(), hash_hosts);
            hash_rules_change(digest, rules);
        }
        Change::UpdateTarget {
            name,
            domain,
            slots,
        } => {
            digest.number(6);
            digest.text(name);
            hash_option(digest, domain.as_ref(), |d, domain| d.text(domain));
            hash_option(digest, *slots, |d, slots| d.number(u64::from(slots)));
        }
    }
}

fn hash_hosts(digest: &mut Digest, hosts: &BTreeSet<String>) {
    digest.number(hosts.len() as u64);
    for host in hosts {
        digest.text(host);
    }
}

fn hash_rules(digest: &mut Digest, rules: &Rules) {
    hash_rules_change(digest, &RulesChange::from(rules));
}

fn hash_rules_change(digest: &mut Digest, rules: &RulesChange) {
    hash_option(digest, rules.deadline, hash_duration);
    hash_option(digest, rules.hedge, |d, hedge| d.number(u64::from(hedge)));
    hash_option(digest, rules.queue_wait, hash_duration);
    hash_option(digest, rules.retry_percent, |d, percent| {
        d.number(u64::from(percent));
    });
}

/// Hashes whole milliseconds, the unit of the published document.
fn hash_duration(digest: &mut Digest, duration: Duration) {
    digest.number(duration.as_millis() as u64);
}

fn hash_option<T>(digest: &mut Digest, value: Option<T>, hash: impl Fn(&mut Digest, T)) {
    digest.number(u64::from(value.is_some()));
    if let Some(value) = value {
        hash(digest, value);
    }
}
