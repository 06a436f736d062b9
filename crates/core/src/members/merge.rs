//! Merging an announcement into the table.

use std::time::Duration;

use super::table::SUPERSEDE_WINDOW;
use super::{Announcement, Known, Members, Merged};
use crate::ids::InstanceId;
use crate::time::Time;

/// Most announced members, so that a faulty peer can't fill the memory.
const MEMBER_LIMIT: usize = 10_000;

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) announcement: Announcement,
    /// Its age when it was received.
    pub(super) age: Duration,
    /// The list marked it as leaving before it was known, which concerns its predecessor
    /// at the same address.
    pub(super) outdated: bool,
    pub(super) received: Time,
}

impl Entry {
    pub(super) fn instance(&self) -> InstanceId {
        self.announcement.identity.instance
    }

    pub(super) fn known(&self) -> Known {
        Known {
            instance: self.instance(),
            leaving: self.announcement.leaving,
            seq: self.announcement.seq,
        }
    }

    pub(super) fn age(&self, now: Time) -> Duration {
        self.age + (now - self.received)
    }
}

impl Members {
    /// Whether an announcement with this sequence number was dropped before.
    pub(super) fn has_expired(&self, instance: InstanceId, seq: u64) -> bool {
        let dropped = self.expired.get(&instance);
        dropped.is_some_and(|(last, _)| seq <= *last)
    }

    pub(super) fn must_supersede(&self, heard: &Announcement, now: Time) -> bool {
        let own = &self.own;
        heard.identity.target == own.identity.target
            && own.precedence() < heard.precedence()
            && !own.leaving
            && now - self.start < SUPERSEDE_WINDOW
            && !self.superseded.contains(&heard.identity.instance)
    }

    /// Merges an announcement into the table.
    pub(super) fn merge(&mut self, heard: &Announcement, age: Duration, now: Time) -> Merged {
        let target = &heard.identity.target;
        let mut announcement = heard.clone();
        let (mut merged, mut outdated) = (Merged::New, false);
        if let Some(entry) = self.entries.get_mut(target) {
            let known = &mut entry.announcement;
            if known.identity.instance == heard.identity.instance {
                announcement.leaving |= known.leaving;
                let same = announcement.leaving == known.leaving;
                if heard.seq <= known.seq {
                    known.leaving = announcement.leaving;
                    return if same { Merged::Known } else { Merged::New };
                }
                if same && known.started == heard.started && known.identity == heard.identity {
                    merged = Merged::Repeated;
                }
                outdated = entry.outdated;
            } else if heard.precedence() < known.precedence() {
                return Merged::Known;
            }
        } else if self.entries.len() >= MEMBER_LIMIT {
            return Merged::Known;
        }
        let listed = self.list.at(target, heard.identity.peer);
        outdated |= !announcement.leaving && listed.is_some_and(|l| l.leaving);
        let entry = Entry {
            announcement,
            age,
            outdated,
            received: now,
        };
        self.entries.insert(target.clone(), entry);
        merged
    }
}
