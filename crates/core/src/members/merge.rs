//! Merging announcements into the member table.

use std::time::Duration;

use super::table::SUPERSEDE_WINDOW;
use super::{Announcement, Known, Members, MergeResult};
use crate::ids::InstanceId;
use crate::time::Time;

/// Maximum number of announced members, so that a faulty peer cannot exhaust memory.
const MEMBER_LIMIT: usize = 10_000;

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) announcement: Announcement,
    /// Age of the announcement when it was received.
    pub(super) age: Duration,
    /// Whether to ignore the leaving mark in the platform's list. A mark that was set before the
    /// instance announced itself refers to its predecessor at the same address.
    pub(super) stale_mark: bool,
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
    /// Whether an announcement with this sequence number, or a later one, has expired here.
    pub(super) fn has_expired(&self, instance: InstanceId, seq: u64) -> bool {
        let dropped = self.expired.get(&instance);
        dropped.is_some_and(|(last, _)| seq <= *last)
    }

    pub(super) fn must_supersede(&self, incoming: &Announcement, now: Time) -> bool {
        let own = &self.own;
        incoming.identity.target == own.identity.target
            && own.precedence() < incoming.precedence()
            && !own.leaving
            && now - self.start < SUPERSEDE_WINDOW
            && !self.superseded.contains(&incoming.identity.instance)
    }

    /// Merges an announcement of age `age` into the table.
    pub(super) fn merge(
        &mut self,
        incoming: &Announcement,
        age: Duration,
        now: Time,
    ) -> MergeResult {
        let target = &incoming.identity.target;
        let mut announcement = incoming.clone();
        let (mut merged, mut stale_mark) = (MergeResult::New, false);
        if let Some(entry) = self.entries.get_mut(target) {
            let known = &mut entry.announcement;
            if known.identity.instance == incoming.identity.instance {
                announcement.leaving |= known.leaving;
                let same = announcement.leaving == known.leaving;
                if incoming.seq <= known.seq {
                    known.leaving = announcement.leaving;
                    return if same {
                        MergeResult::Known
                    } else {
                        MergeResult::New
                    };
                }
                if same && known.started == incoming.started && known.identity == incoming.identity
                {
                    merged = MergeResult::Repeated;
                }
                stale_mark = entry.stale_mark;
            } else if incoming.precedence() < known.precedence() {
                return MergeResult::Known;
            }
        } else if self.entries.len() >= MEMBER_LIMIT {
            return MergeResult::Known;
        }
        let listed = self.list.at_address(target, incoming.identity.peer);
        stale_mark |= !announcement.leaving && listed.is_some_and(|l| l.leaving);
        let entry = Entry {
            announcement,
            age,
            stale_mark,
            received: now,
        };
        self.entries.insert(target.clone(), entry);
        merged
    }
}
