//! The table of members and its changes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::list::List;
use super::merge::Entry;
use super::{Announcement, Identity, Listed, Relayed};
use crate::ids::InstanceId;
use crate::time::Time;

/// Time between two announcements of one daemon that report no change.
///
/// At 540 daemons this is about one announcement a second for the whole fleet, which costs each daemon
/// an estimated 2.8 KB/s of its 7 KB/s, sent and received.
pub const HEARTBEAT: Duration = Duration::from_mins(10);
/// Time without an announcement after which an unlisted member is dropped: two announcements missed.
pub const EXPIRY: Duration = Duration::from_mins(25);
/// Time after its start in which a daemon raises its `started` above that of a predecessor.
///
/// A daemon that was paused and resumes after its replacement is past it and yields.
pub const SUPERSEDE_WINDOW: Duration = Duration::from_mins(1);

/// Time between two looks at the table after which this process counts as resumed from a pause.
const PAUSE: Duration = Duration::from_mins(1);

/// What an announcement changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Merged {
    /// Nothing: it was known, older, or expired.
    Known,
    /// The table; it must be relayed.
    New,
    /// Only the time of the last announcement; it can be relayed later.
    Repeated,
    /// This daemon's own announcement: another instance claims its target, or the platform or a peer
    /// marked it as leaving. The new one must be relayed.
    Own,
}

/// The member beside one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberView<'a> {
    /// Its failure domain.
    pub domain: &'a str,
    /// Its run, if it has announced itself.
    pub instance: Option<InstanceId>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Address of its daemon.
    pub peer: SocketAddr,
}

/// Who stands beside each target.
#[derive(Clone, Debug)]
pub struct Members {
    pub(super) entries: BTreeMap<String, Entry>,
    pub(super) expired: BTreeMap<InstanceId, (u64, Time)>,
    /// When the table was last looked at by [`Members::expire`].
    last: Time,
    pub(super) list: List,
    pub(super) superseded: BTreeSet<InstanceId>,
    pub(super) own: Announcement,
    pub(super) start: Time,
}

impl Members {
    /// The table of a daemon that starts now; `started` is its Unix time in milliseconds.
    pub fn new(identity: Identity, started: u64, now: Time) -> Self {
        Self {
            entries: BTreeMap::new(),
            expired: BTreeMap::new(),
            last: now,
            list: List::default(),
            superseded: BTreeSet::new(),
            own: Announcement {
                identity,
                leaving: false,
                seq: 0,
                started,
            },
            start: now,
        }
    }

    /// This daemon's last announcement.
    pub fn own(&self) -> &Announcement {
        &self.own
    }

    /// Announces this daemon anew.
    pub fn announce(&mut self, now: Time) {
        self.own.seq += 1;
        let own = self.own.clone();
        self.merge(&own, Duration::ZERO, now);
    }

    /// Announces that this daemon takes no new work; false if it had done so before.
    pub fn leave(&mut self, now: Time) -> bool {
        let first = !self.own.leaving;
        if first {
            self.own.leaving = true;
            self.announce(now);
        }
        first
    }

    /// Takes in an announcement passed on by a peer.
    pub fn receive(&mut self, relayed: &Relayed, now: Time) -> Merged {
        let heard = &relayed.announcement;
        if heard.identity.instance == self.own.identity.instance {
            // Only the mark as leaving can be news about this daemon.
            let told = heard.leaving && self.leave(now);
            return if told { Merged::Own } else { Merged::Known };
        }
        if self.has_expired(heard.identity.instance, heard.seq) {
            return Merged::Known;
        }
        let merged = self.merge(heard, relayed.age, now);
        if merged == Merged::New && self.must_supersede(heard, now) {
            self.superseded.insert(heard.identity.instance);
            self.own.started = heard.started.saturating_add(1);
            self.announce(now);
            return Merged::Own;
        }
        merged
    }

    /// Takes in a newer list; returns the instances whose announcements changed by it.
    pub fn read_list(&mut self, entries: Vec<Listed>, now: Time) -> Vec<InstanceId> {
        self.list = List::new(entries);
        let mut changed = Vec::new();
        for (target, entry) in &mut self.entries {
            let listed = self.list.at(target, entry.announcement.identity.peer);
            match listed.is_some_and(|l| l.leaving) {
                false => entry.outdated = false,
                true if entry.outdated || entry.announcement.leaving => {}
                true => {
                    entry.announcement.leaving = true;
                    changed.push(entry.announcement.identity.instance);
                }
            }
        }
        if changed.contains(&self.own.identity.instance) {
            self.leave(now);
        }
        changed
    }

    /// Drops members that nothing supports any more; true if there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let gap = now - self.last;
        self.last = now;
        if gap > PAUSE {
            // Announcements missed during a pause of this process are no evidence against members.
            for entry in self.entries.values_mut() {
                entry.received = entry.received + gap;
            }
        }
        let (list, expired) = (&self.list, &mut self.expired);
        let own = self.own.identity.instance;
        let before = self.entries.len();
        self.entries.retain(|target, entry| {
            let identity = &entry.announcement.identity;
            let recent = entry.age(now) < EXPIRY;
            let listed = !recent && list.at(target, identity.peer).is_some();
            let keep = recent || identity.instance == own || listed;
            if !keep {
                expired.insert(identity.instance, (entry.announcement.seq, now));
            }
            keep
        });
        // By then every peer has dropped them too, and none passes them on any more.
        expired.retain(|_, (_, since)| now - *since < 2 * EXPIRY);
        self.entries.len() < before
    }

    /// The member beside each known target, in the order of the targets' names.
    pub fn current(&self) -> impl Iterator<Item = (&str, MemberView<'_>)> {
        let announced = self.entries.keys().map(String::as_str);
        let names: BTreeSet<&str> = announced.chain(self.list.targets()).collect();
        names.into_iter().filter_map(|n| Some((n, self.member(n)?)))
    }

    /// The member beside one target.
    pub fn member(&self, target: &str) -> Option<MemberView<'_>> {
        if let Some(entry) = self.entries.get(target) {
            let identity = &entry.announcement.identity;
            return Some(MemberView {
                domain: &identity.domain,
                instance: Some(identity.instance),
                leaving: entry.announcement.leaving,
                peer: identity.peer,
            });
        }
        self.list.best(target).map(|listed| MemberView {
            domain: &listed.domain,
            instance: None,
            leaving: listed.leaving,
            peer: listed.peer,
        })
    }

    /// Broken invariants.
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut instances = BTreeSet::new();
        let own = &self.own;
        for (target, entry) in &self.entries {
            let announcement = &entry.announcement;
            let instance = announcement.identity.instance;
            if *target != announcement.identity.target {
                faults.push(format!("{instance} stands under target {target}"));
            }
            if !instances.insert(instance) {
                faults.push(format!("{instance} stands beside two targets"));
            }
            if instance == own.identity.instance && announcement != own {
                faults.push("the own entry is not the last announcement".to_owned());
            }
        }
        if let Some(entry) = self.entries.get(&own.identity.target)
            && own.seq > 0
            && entry.announcement.precedence() < own.precedence()
        {
            faults.push("an older instance stands in the own place".to_owned());
        }
        faults
    }
}
