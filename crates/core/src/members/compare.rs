//! Anti-entropy between the member tables of two daemons, with small messages.
//!
//! A comparison takes up to three round trips, each only if the previous one showed a difference:
//! the digests of the tables, the digests of [`BUCKET_COUNT`] buckets, and the entries of the
//! buckets that differ. Every message also carries the announcements found missing so far.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::merge::Entry;
use super::{Members, MergeResult, RelayedAnnouncement};
use crate::digest::Digest;
use crate::ids::InstanceId;
use crate::time::Time;

/// Number of buckets into which a table is divided for comparison, by a hash of the target name.
///
/// With 540 members a bucket has about 17 entries, so locating one difference costs 32 bucket
/// digests of 5 bytes and 17 entries of 12 bytes.
pub const BUCKET_COUNT: usize = 32;

/// Summary of the latest announcement of one instance that one side has.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Known {
    /// The instance that published the announcement.
    pub instance: InstanceId,
    /// Whether this side has the instance marked as leaving.
    pub leaving: bool,
    /// The highest sequence number received.
    pub seq: u64,
}

impl Known {
    fn is_behind(&self, seq: u64, leaving: bool) -> bool {
        self.seq < seq || (leaving && !self.leaving)
    }
}

/// One message of a comparison between two tables.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Comparison {
    /// Announcements that the receiver is missing, or that are relayed to it unsolicited.
    pub announcements: Vec<RelayedAnnouncement>,
    /// Digests of all buckets, in reply to a differing table digest; otherwise empty.
    pub buckets: Vec<u32>,
    /// Digest of the sender's whole table.
    pub digest: u64,
    /// Summaries of all entries in the buckets marked in `listed`.
    pub known: Vec<Known>,
    /// Bit set of the buckets whose entries `known` contains.
    pub listed: u32,
    /// Instances whose announcements the sender is missing.
    pub wanted: Vec<InstanceId>,
}

impl Comparison {
    /// Whether the message carries more than the table digest and so needs an answer.
    pub fn has_details(&self) -> bool {
        !self.announcements.is_empty()
            || !self.buckets.is_empty()
            || self.listed != 0
            || !self.wanted.is_empty()
    }
}

impl Members {
    /// Digest of the announcements in the table, independent of their order.
    pub fn digest(&self) -> u64 {
        let all = self.entries.values();
        all.fold(0, |sum, e| sum ^ e.announcement.digest())
    }

    /// The first message of a comparison, which carries the table digest only.
    pub fn open(&self) -> Comparison {
        Comparison {
            digest: self.digest(),
            ..Comparison::default()
        }
    }

    /// The announcements of `instances` that are in the table, with their ages at `now`.
    pub fn relay(&self, instances: &BTreeSet<InstanceId>, now: Time) -> Vec<RelayedAnnouncement> {
        let entries = self.entries.values();
        let chosen = entries.filter(|e| instances.contains(&e.instance()));
        chosen
            .map(|e| RelayedAnnouncement {
                age: e.age(now),
                announcement: e.announcement.clone(),
            })
            .collect()
    }

    /// Merges the announcements in a message from the other side. Returns each instance whose
    /// announcement must be relayed, with the result of the merge.
    pub fn receive_all(
        &mut self,
        theirs: &Comparison,
        now: Time,
    ) -> Vec<(InstanceId, MergeResult)> {
        let mut changes = Vec::new();
        for relayed in &theirs.announcements {
            let merged = self.receive(relayed, now);
            match merged {
                MergeResult::Known => {}
                MergeResult::New | MergeResult::Repeated => {
                    changes.push((relayed.announcement.identity.instance, merged));
                }
                MergeResult::Own => changes.push((self.own().identity.instance, merged)),
            }
        }
        changes
    }

    /// The message that answers `theirs`, to be called after `theirs` has been merged.
    pub fn answer(&self, theirs: &Comparison, now: Time) -> Comparison {
        let mut ours = self.open();
        let wanted: BTreeSet<_> = theirs.wanted.iter().copied().collect();
        ours.announcements = self.relay(&wanted, now);
        if ours.digest == theirs.digest {
            return ours;
        }
        if theirs.listed != 0 {
            self.answer_known(theirs, &mut ours, now);
        } else if let Ok(buckets) = <&[u32; BUCKET_COUNT]>::try_from(&theirs.buckets[..]) {
            self.list_differing(buckets, &mut ours);
        } else if theirs.announcements.is_empty() && theirs.wanted.is_empty() {
            ours.buckets = self.buckets().to_vec();
        }
        ours
    }

    fn buckets(&self) -> [u32; BUCKET_COUNT] {
        let mut buckets = [0; BUCKET_COUNT];
        for (target, entry) in &self.entries {
            buckets[bucket_index(target)] ^= entry.announcement.digest() as u32;
        }
        buckets
    }

    fn list_differing(&self, theirs: &[u32; BUCKET_COUNT], ours: &mut Comparison) {
        let own = self.buckets();
        for index in (0..BUCKET_COUNT).filter(|i| own[*i] != theirs[*i]) {
            ours.listed |= 1 << index;
        }
        let listed = self.listed(ours.listed);
        ours.known = listed.map(Entry::known).collect();
    }

    /// Adds the announcements that the other side is missing and requests those missing here.
    ///
    /// Both sides can be missing state of the same instance: one the later announcement, the other
    /// the leaving mark.
    fn answer_known(&self, theirs: &Comparison, ours: &mut Comparison, now: Time) {
        let known: BTreeMap<_, _> = theirs.known.iter().map(|k| (k.instance, k)).collect();
        let own: BTreeMap<_, _> = self
            .listed(theirs.listed)
            .map(|e| (e.instance(), e))
            .collect();
        let missing = own.values().filter(|e| {
            let known = known.get(&e.instance());
            known.is_none_or(|k| k.is_behind(e.announcement.seq, e.announcement.leaving))
        });
        let missing: BTreeSet<_> = missing.map(|e| e.instance()).collect();
        ours.announcements.extend(self.relay(&missing, now));
        let wanted = theirs.known.iter().filter(|k| match own.get(&k.instance) {
            Some(entry) => entry.known().is_behind(k.seq, k.leaving),
            None => !self.has_expired(k.instance, k.seq),
        });
        ours.wanted = wanted.map(|k| k.instance).collect();
    }

    fn listed(&self, mask: u32) -> impl Iterator<Item = &Entry> {
        let entries = self.entries.iter();
        let chosen = entries.filter(move |(target, _)| mask & (1 << bucket_index(target)) != 0);
        chosen.map(|(_, entry)| entry)
    }
}

fn bucket_index(target: &str) -> usize {
    let mut digest = Digest::new("bucket");
    digest.text(target);
    digest.finish() as usize % BUCKET_COUNT
}
