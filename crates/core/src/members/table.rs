//! The member table and the operations that change it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::list::PlatformList;
use super::merge::Entry;
use super::{Announcement, Identity, ListedInstance, RelayedAnnouncement};
use crate::ids::InstanceId;
use crate::time::Time;

/// Interval between announcements of a daemon whose state does not change.
///
/// With 540 daemons this amounts to about one announcement per second across the fleet, an
/// estimated 2.8 KB/s of the 7 KB/s of control traffic allowed to each daemon, sent and received.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_mins(10);
/// Age at which the announcement of an unlisted member expires: two heartbeats were missed.
pub const ANNOUNCEMENT_MAX_AGE: Duration = Duration::from_mins(25);
/// Time after its start in which a daemon raises its `started` above that of another instance of
/// its target, so that a replacement whose clock is behind takes precedence; see
/// [`Announcement::precedence`].
///
/// A daemon that was replaced while it was paused resumes after this window and yields to its
/// replacement.
pub const SUPERSEDE_WINDOW: Duration = Duration::from_mins(1);

/// Time between two calls of [`Members::expire`] above which this process is assumed to have been
/// paused.
const PAUSE_THRESHOLD: Duration = Duration::from_mins(1);

/// The effect of merging an announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeResult {
    /// No change: the announcement was already known, superseded or expired, or the table is full.
    Known,
    /// The table changed; the announcement must be relayed.
    New,
    /// Only the sequence number and age changed; relaying may be delayed.
    Repeated,
    /// This daemon's own announcement changed, because another instance claims its target or a peer
    /// marked this daemon as leaving. The own announcement must be relayed.
    Own,
}

/// The member that serves one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberView<'a> {
    /// The failure domain of the member.
    pub domain: &'a str,
    /// The run of the daemon; `None` if only the platform's list names it.
    pub instance: Option<InstanceId>,
    /// Whether the member has stopped accepting new work, or the platform is about to stop it.
    pub leaving: bool,
    /// The address at which the member's daemon accepts peer connections.
    pub peer: SocketAddr,
}

/// The table of members, keyed by target name.
#[derive(Clone, Debug)]
pub struct Members {
    pub(super) entries: BTreeMap<String, Entry>,
    pub(super) expired: BTreeMap<InstanceId, (u64, Time)>,
    /// Time of the last call of [`Members::expire`].
    last_expire: Time,
    pub(super) list: PlatformList,
    pub(super) superseded: BTreeSet<InstanceId>,
    pub(super) own: Announcement,
    pub(super) start: Time,
}

impl Members {
    /// Creates the table of a daemon that starts at `now`. `started` is the same point in Unix
    /// milliseconds.
    pub fn new(identity: Identity, started: u64, now: Time) -> Self {
        Self {
            entries: BTreeMap::new(),
            expired: BTreeMap::new(),
            last_expire: now,
            list: PlatformList::default(),
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

    /// This daemon's latest announcement.
    pub fn own(&self) -> &Announcement {
        &self.own
    }

    /// Publishes a new announcement of this daemon into the table.
    pub fn announce(&mut self, now: Time) {
        self.own.seq += 1;
        let own = self.own.clone();
        self.merge(&own, Duration::ZERO, now);
    }

    /// Announces that this daemon accepts no new work. Returns false if it was already leaving.
    pub fn leave(&mut self, now: Time) -> bool {
        let first = !self.own.leaving;
        if first {
            self.own.leaving = true;
            self.announce(now);
        }
        first
    }

    /// Merges an announcement relayed by a peer.
    pub fn receive(&mut self, relayed: &RelayedAnnouncement, now: Time) -> MergeResult {
        let incoming = &relayed.announcement;
        if incoming.identity.instance == self.own.identity.instance {
            // A peer can add only the leaving mark to an announcement of this daemon.
            let marked = incoming.leaving && self.leave(now);
            return if marked {
                MergeResult::Own
            } else {
                MergeResult::Known
            };
        }
        if self.has_expired(incoming.identity.instance, incoming.seq) {
            return MergeResult::Known;
        }
        let merged = self.merge(incoming, relayed.age, now);
        if merged == MergeResult::New && self.must_supersede(incoming, now) {
            self.superseded.insert(incoming.identity.instance);
            self.own.started = incoming.started.saturating_add(1);
            self.announce(now);
            return MergeResult::Own;
        }
        merged
    }

    /// Replaces the platform's list. Returns the instances that it newly marks as leaving.
    pub fn read_list(&mut self, entries: Vec<ListedInstance>, now: Time) -> Vec<InstanceId> {
        self.list = PlatformList::new(entries);
        let mut changed = Vec::new();
        for (target, entry) in &mut self.entries {
            let listed = self
                .list
                .at_address(target, entry.announcement.identity.peer);
            match listed.is_some_and(|l| l.leaving) {
                false => entry.stale_mark = false,
                true if entry.stale_mark || entry.announcement.leaving => {}
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

    /// Drops members whose announcements have expired and that are not listed. Returns whether any
    /// were dropped.
    pub fn expire(&mut self, now: Time) -> bool {
        let gap = now - self.last_expire;
        self.last_expire = now;
        if gap > PAUSE_THRESHOLD {
            // The pause does not count towards the age of entries, because members may have sent
            // announcements that this process missed during it.
            for entry in self.entries.values_mut() {
                entry.received = entry.received + gap;
            }
        }
        let (list, expired) = (&self.list, &mut self.expired);
        let own = self.own.identity.instance;
        let before = self.entries.len();
        self.entries.retain(|target, entry| {
            let identity = &entry.announcement.identity;
            let recent = entry.age(now) < ANNOUNCEMENT_MAX_AGE;
            let listed = !recent && list.at_address(target, identity.peer).is_some();
            let keep = recent || identity.instance == own || listed;
            if !keep {
                expired.insert(identity.instance, (entry.announcement.seq, now));
            }
            keep
        });
        // After twice the maximum age, every peer has dropped the member too and no longer relays
        // it.
        expired.retain(|_, (_, since)| now - *since < 2 * ANNOUNCEMENT_MAX_AGE);
        self.entries.len() < before
    }

    /// The member of each announced or listed target, ordered by target name.
    pub fn current(&self) -> impl Iterator<Item = (&str, MemberView<'_>)> {
        let announced = self.entries.keys().map(String::as_str);
        let names: BTreeSet<&str> = announced.chain(self.list.targets()).collect();
        names.into_iter().filter_map(|n| Some((n, self.member(n)?)))
    }

    /// The member that serves `target`, from its announcement or else from the platform's list.
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
        self.list.preferred(target).map(|listed| MemberView {
            domain: &listed.domain,
            instance: None,
            leaving: listed.leaving,
            peer: listed.peer,
        })
    }

    /// Checks the invariants and describes each violation; empty if all hold.
    pub fn verify(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let mut instances = BTreeSet::new();
        let own = &self.own;
        for (target, entry) in &self.entries {
            let announcement = &entry.announcement;
            let instance = announcement.identity.instance;
            if *target != announcement.identity.target {
                violations.push(format!("the entry of {instance} is stored under target {target}, which it did not announce"));
            }
            if !instances.insert(instance) {
                violations.push(format!("{instance} has entries under two targets"));
            }
            if instance == own.identity.instance && announcement != own {
                violations.push(
                    "the entry of this daemon differs from its latest announcement".to_owned(),
                );
            }
        }
        if let Some(entry) = self.entries.get(&own.identity.target)
            && own.seq > 0
            && entry.announcement.precedence() < own.precedence()
        {
            violations.push(
                "the entry under this daemon's target has lower precedence than this daemon"
                    .to_owned(),
            );
        }
        violations
    }
}
