//! Configuration versions: never back, one digest each, in force everywhere in time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::history::{Change, Event, Invariant, Record, View, Violation};

/// An [`Event::InForce`] with its record.
struct InForce<'a> {
    digest: u64,
    instance: &'a str,
    record: &'a Record,
    version: u64,
}

fn all_in_force<'a>(view: &View<'a>) -> impl Iterator<Item = InForce<'a>> {
    view.records.iter().filter_map(|record| {
        let Event::InForce {
            digest,
            instance,
            version,
        } = &record.event
        else {
            return None;
        };
        Some(InForce {
            digest: *digest,
            instance,
            record,
            version: *version,
        })
    })
}

pub fn never_back(view: &View<'_>) -> Vec<Violation> {
    let mut latest: BTreeMap<(&str, &str), InForce<'_>> = BTreeMap::new();
    let mut violations = Vec::new();
    for now in all_in_force(view) {
        let party = now.record.party.as_str();
        if let Some(before) = latest.get(&(party, now.instance))
            && before.version > now.version
        {
            let what = format!("{party} went from v{} to v{}", before.version, now.version);
            let proof = [before.record, now.record];
            violations.push(Violation::new(Invariant::VersionOrder, what, proof));
        }
        latest.insert((party, now.instance), now);
    }
    violations
}

pub fn one_digest(view: &View<'_>) -> Vec<Violation> {
    let mut first: BTreeMap<u64, InForce<'_>> = BTreeMap::new();
    let mut violations = Vec::new();
    for now in all_in_force(view) {
        match first.get(&now.version) {
            Some(known) if known.digest != now.digest => {
                let what = format!("v{} has two digests", now.version);
                let proof = [known.record, now.record];
                violations.push(Violation::new(Invariant::VersionDigest, what, proof));
            }
            Some(_) => {}
            None => {
                first.insert(now.version, now);
            }
        }
    }
    violations
}

/// What one daemon had in force and when it was there.
struct Daemon<'a> {
    changes: Vec<(&'a Record, Change)>,
    in_force: Vec<InForce<'a>>,
    name: &'a str,
}

fn daemons<'a>(view: &View<'a>) -> Vec<Daemon<'a>> {
    let mut in_force: BTreeMap<&str, Vec<InForce<'_>>> = BTreeMap::new();
    for daemon in view.targets_beside().into_keys() {
        in_force.entry(daemon).or_default();
    }
    for version in all_in_force(view) {
        let daemon = in_force.entry(&version.record.party).or_default();
        daemon.push(version);
    }
    let daemon = |(name, in_force)| Daemon {
        changes: view.changes(name).collect(),
        in_force,
        name,
    };
    in_force.into_iter().map(daemon).collect()
}

/// The bound runs from the publication or, for a daemon that was absent then, from its return; an
/// absence of the platform delays it for all. A daemon that is absent when the bound ends, and a
/// bound that ends after the history, prove nothing.
pub fn in_force(view: &View<'_>, bound: Duration) -> Vec<Violation> {
    let daemons = daemons(view);
    let mut violations = Vec::new();
    let mut newest = 0;
    for published in &view.records {
        let Event::Published { version } = published.event else {
            continue;
        };
        if version <= newest {
            continue;
        }
        newest = version;
        for daemon in &daemons {
            let deadline = deadline(view, published, daemon, bound);
            let late = deadline.and_then(|at| late(published, version, daemon, at));
            violations.extend(late);
        }
    }
    violations
}

/// When the version must be in force at the daemon; `None` if nothing can be said.
fn deadline(
    view: &View<'_>,
    published: &Record,
    daemon: &Daemon<'_>,
    bound: Duration,
) -> Option<u64> {
    let bound = bound.as_micros() as u64;
    let platform = view.changes(&published.party);
    let mut changes: Vec<_> = daemon.changes.iter().copied().chain(platform).collect();
    changes.sort_by_key(|(record, _)| record.at);
    let first = daemon.in_force.first().map(|f| f.record.at);
    let appeared = daemon.changes.first().map(|(record, _)| record.at);
    let mut start = published.at.max(first.into_iter().chain(appeared).min()?);
    let mut absent = BTreeMap::new();
    // Each return before the bound ends moves its end.
    for (record, change) in changes {
        if record.at > start + bound {
            break;
        }
        absent.insert(&record.party, change.begins_absence());
        if !change.begins_absence() {
            start = start.max(record.at);
        }
    }
    let absent = absent.into_values().any(|a| a);
    Some(start + bound).filter(|end| !absent && *end <= view.end())
}

/// What was in force before a restart doesn't count.
fn late(published: &Record, version: u64, daemon: &Daemon<'_>, deadline: u64) -> Option<Violation> {
    let starts = daemon.changes.iter().filter(|(_, c)| *c == Change::Started);
    let since = starts.map(|(r, _)| r.at).filter(|at| *at <= deadline).max();
    let run = since.unwrap_or(0)..=deadline;
    let latest = daemon.in_force.iter().rfind(|f| run.contains(&f.record.at));
    let reached = latest.map_or(0, |f| f.version);
    (reached < version).then(|| {
        let name = daemon.name;
        let what = format!("v{version} was not in force at {name} in time; it had v{reached}");
        let proof = [published].into_iter().chain(latest.map(|f| f.record));
        Violation::new(Invariant::VersionInForce, what, proof)
    })
}
