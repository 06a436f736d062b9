//! Configuration versions never decrease, have one digest each, and take effect in time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::history::{Change, Event, Invariant, Record, View, Violation};

/// Fields of an [`Event::InForce`] with its record.
struct InForce<'a> {
    digest: u64,
    instance: &'a str,
    record: &'a Record,
    version: u64,
}

fn in_force_records<'a>(view: &View<'a>) -> impl Iterator<Item = InForce<'a>> {
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

pub fn monotonic(view: &View<'_>) -> Vec<Violation> {
    let mut latest: BTreeMap<(&str, &str), InForce<'_>> = BTreeMap::new();
    let mut violations = Vec::new();
    for current in in_force_records(view) {
        let party = current.record.party.as_str();
        if let Some(before) = latest.get(&(party, current.instance))
            && before.version > current.version
        {
            let message = format!(
                "{party} went back from v{} to v{}",
                before.version, current.version
            );
            let proof = [before.record, current.record];
            violations.push(Violation::new(Invariant::VersionOrder, message, proof));
        }
        latest.insert((party, current.instance), current);
    }
    violations
}

pub fn unique_digest(view: &View<'_>) -> Vec<Violation> {
    let mut first: BTreeMap<u64, InForce<'_>> = BTreeMap::new();
    let mut violations = Vec::new();
    for current in in_force_records(view) {
        match first.get(&current.version) {
            Some(known) if known.digest != current.digest => {
                let message = format!("v{} has two different digests", current.version);
                let proof = [known.record, current.record];
                violations.push(Violation::new(Invariant::VersionDigest, message, proof));
            }
            Some(_) => {}
            None => {
                first.insert(current.version, current);
            }
        }
    }
    violations
}

/// Versions in force at a daemon and its presence changes, in time order.
struct DaemonHistory<'a> {
    changes: Vec<(&'a Record, Change)>,
    in_force: Vec<InForce<'a>>,
    name: &'a str,
}

fn daemons<'a>(view: &View<'a>) -> Vec<DaemonHistory<'a>> {
    let mut in_force: BTreeMap<&str, Vec<InForce<'_>>> = BTreeMap::new();
    for daemon in view.local_targets().into_keys() {
        in_force.entry(daemon).or_default();
    }
    for version in in_force_records(view) {
        let daemon = in_force.entry(&version.record.party).or_default();
        daemon.push(version);
    }
    let daemon = |(name, in_force)| DaemonHistory {
        changes: view.changes(name).collect(),
        in_force,
        name,
    };
    in_force.into_iter().map(daemon).collect()
}

/// The bound starts at the publication or, if the daemon or the platform was absent then, at its
/// return. Daemons that are absent at the deadline and deadlines after the end of the history are
/// not checked.
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
            let missed_deadline =
                deadline.and_then(|at| missed_deadline(published, version, daemon, at));
            violations.extend(missed_deadline);
        }
    }
    violations
}

/// Returns the time by which the version must be in force at the daemon; `None` if this can't be
/// checked.
fn deadline(
    view: &View<'_>,
    published: &Record,
    daemon: &DaemonHistory<'_>,
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
    // A return before the deadline moves the deadline.
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

/// Versions that were in force before the latest start of the daemon don't count.
fn missed_deadline(
    published: &Record,
    version: u64,
    daemon: &DaemonHistory<'_>,
    deadline: u64,
) -> Option<Violation> {
    let starts = daemon.changes.iter().filter(|(_, c)| *c == Change::Started);
    let since = starts.map(|(r, _)| r.at).filter(|at| *at <= deadline).max();
    let run = since.unwrap_or(0)..=deadline;
    let latest = daemon.in_force.iter().rfind(|f| run.contains(&f.record.at));
    let latest_version = latest.map_or(0, |f| f.version);
    (latest_version < version).then(|| {
        let name = daemon.name;
        let message =
            format!("v{version} was not in force at {name} in time; v{latest_version} was");
        let proof = [published].into_iter().chain(latest.map(|f| f.record));
        Violation::new(Invariant::VersionInForce, message, proof)
    })
}
