//! Comparing two tables with few bytes.
//!
//! A comparison goes through up to three round trips, each only if the one before showed a
//! difference: the digests of the tables, the digests of [`BUCKETS`] parts, and the entries of the
//! parts that differ. Every message also carries the announcements found missing so far.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::merge::Entry;
use super::{Members, Merged, Relayed};
use crate::digest::Digest;
use crate::ids::InstanceId;
use crate::time::Time;

/// Parts of a table that are compared one by one.
///
/// At 540 members a part has about 17, so one difference costs 32 part digests of 5 bytes and 17
/// entries of 12 bytes.
pub const BUCKETS: usize = 32;

/// The state of one instance's announcement at one side.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Known {
    /// The instance.
    pub instance: InstanceId,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Its highest sequence number.
    pub seq: u64,
}

impl Known {
    fn lacks(&self, seq: u64, leaving: bool) -> bool {
        self.seq < seq || (leaving && !self.leaving)
    }
}

/// One side's part of a comparison.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Comparison {
    /// Announcements that the other side lacks.
    pub announcements: Vec<Relayed>,
    /// Digests of the parts, if the tables are known to differ.
    pub buckets: Vec<u32>,
    /// Digest of the whole table.
    pub digest: u64,
    /// All entries of the parts marked in `listed`.
    pub known: Vec<Known>,
    /// The parts whose entries are given, as a bit set.
    pub listed: u32,
    /// Instances whose announcements this side lacks.
    pub wanted: Vec<InstanceId>,
}

impl Comparison {
    /// Whether it carries more than the digest, so that the comparison goes on.
    pub fn is_open(&self) -> bool {
        !self.announcements.is_empty()
            || !self.buckets.is_empty()
            || self.listed != 0
            || !self.wanted.is_empty()
    }
}

impl Members {
    /// Digest of the table.
    pub fn digest(&self) -> u64 {
        let all = self.entries.values();
        all.fold(0, |sum, e| sum ^ e.announcement.digest())
    }

    /// The first message of a comparison.
    pub fn open(&self) -> Comparison {
        Comparison {
            digest: self.digest(),
            ..Comparison::default()
        }
    }

    /// Announcements to pass on unasked.
    pub fn relay(&self, instances: &BTreeSet<InstanceId>, now: Time) -> Vec<Relayed> {
        let entries = self.entries.values();
        let chosen = entries.filter(|e| instances.contains(&e.instance()));
        chosen
            .map(|e| Relayed {
                age: e.age(now),
                announcement: e.announcement.clone(),
            })
            .collect()
    }

    /// Takes in the announcements of the other side's message; returns the instances to relay,
    /// with what changed.
    pub fn receive_all(&mut self, theirs: &Comparison, now: Time) -> Vec<(InstanceId, Merged)> {
        let mut news = Vec::new();
        for relayed in &theirs.announcements {
            let heard = self.receive(relayed, now);
            match heard {
                Merged::Known => {}
                Merged::New | Merged::Repeated => {
                    news.push((relayed.announcement.identity.instance, heard));
                }
                Merged::Own => news.push((self.own().identity.instance, heard)),
            }
        }
        news
    }

    /// The message that follows the other side's.
    pub fn answer(&self, theirs: &Comparison, now: Time) -> Comparison {
        let mut ours = self.open();
        let wanted: BTreeSet<_> = theirs.wanted.iter().copied().collect();
        ours.announcements = self.relay(&wanted, now);
        if ours.digest == theirs.digest {
            return ours;
        }
        if theirs.listed != 0 {
            self.answer_known(theirs, &mut ours, now);
        } else if let Ok(buckets) = <&[u32; BUCKETS]>::try_from(&theirs.buckets[..]) {
            self.list_differing(buckets, &mut ours);
        } else if theirs.announcements.is_empty() && theirs.wanted.is_empty() {
            ours.buckets = self.buckets().to_vec();
        }
        ours
    }

    fn buckets(&self) -> [u32; BUCKETS] {
        let mut buckets = [0; BUCKETS];
        for (target, entry) in &self.entries {
            buckets[bucket(target)] ^= entry.announcement.digest() as u32;
        }
        buckets
    }

    fn list_differing(&self, theirs: &[u32; BUCKETS], ours: &mut Comparison) {
        let own = self.buckets();
        for part in (0..BUCKETS).filter(|p| own[*p] != theirs[*p]) {
            ours.listed |= 1 << part;
        }
        let listed = self.listed(ours.listed);
        ours.known = listed.map(Entry::known).collect();
    }

    /// Sends what the other side's list lacks, and asks for what this side lacks.
    ///
    /// Of one instance each side may lack something: a later announcement, or the mark that it
    /// is leaving.
    fn answer_known(&self, theirs: &Comparison, ours: &mut Comparison, now: Time) {
        let known: BTreeMap<_, _> = theirs.known.iter().map(|k| (k.instance, k)).collect();
        let own: BTreeMap<_, _> = self
            .listed(theirs.listed)
            .map(|e| (e.instance(), e))
            .collect();
        let lacking = own.values().filter(|e| {
            let known = known.get(&e.instance());
            known.is_none_or(|k| k.lacks(e.announcement.seq, e.announcement.leaving))
        });
        let lacking: BTreeSet<_> = lacking.map(|e| e.instance()).collect();
        ours.announcements.extend(self.relay(&lacking, now));
        let wanted = theirs.known.iter().filter(|k| match own.get(&k.instance) {
            Some(entry) => entry.known().lacks(k.seq, k.leaving),
            None => !self.has_expired(k.instance, k.seq),
        });
        ours.wanted = wanted.map(|k| k.instance).collect();
    }

    fn listed(&self, parts: u32) -> impl Iterator<Item = &Entry> {
        let entries = self.entries.iter();
        let chosen = entries.filter(move |(target, _)| parts & (1 << bucket(target)) != 0);
        chosen.map(|(_, entry)| entry)
    }
}

fn bucket(target: &str) -> usize {
    let mut digest = Digest::new("bucket");
    digest.text(target);
    digest.finish() as usize % BUCKETS
}
