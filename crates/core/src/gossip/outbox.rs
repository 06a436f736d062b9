//! Updates queued for the next push to the neighbours.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::{Effect, Update};
use crate::ids::{InstanceId, Version};
use crate::time::Time;

/// Time for which announcements are collected before they are pushed together.
///
/// Over the 9 steps that 540 daemons need, the delays add up to 0.9 s, below the 3 s in which every daemon
/// must have received that a member is leaving.
const PUSH_DELAY: Duration = Duration::from_millis(100);
/// Time for which announcements that only repeat known state are collected.
///
/// With 540 daemons about five arrive in this time. Pushed one by one, their datagram overhead would take
/// more than half of a daemon's 7 KB/s.
const REPEAT_DELAY: Duration = Duration::from_secs(5);

/// Queued updates with the peer that sent them, to which they aren't sent back.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    due: Option<Time>,
    members: BTreeMap<InstanceId, Option<SocketAddr>>,
    /// The version before the oldest queued version, and the peer that sent the update if only one version
    /// is queued.
    version: Option<(Version, Option<SocketAddr>)>,
}

impl Outbox {
    pub(super) fn add(&mut self, update: Update, from: Option<SocketAddr>, now: Time) {
        let delay = match update {
            Update::Member(instance) => {
                self.members.insert(instance, from);
                PUSH_DELAY
            }
            Update::Repeat(instance) => {
                self.members.insert(instance, from);
                REPEAT_DELAY
            }
            Update::Version(before) => {
                // With several versions queued, every neighbour gets all that any of them may lack.
                let single = self.version.is_none();
                let first = self.version.map_or(before, |(b, _)| b.min(before));
                self.version = Some((first, from.filter(|_| single)));
                Duration::ZERO
            }
        };
        let due = now + delay;
        self.due = Some(self.due.map_or(due, |d| d.min(due)));
    }

    /// When the queued updates are pushed; `None` while there are none.
    pub(super) fn due(&self) -> Option<Time> {
        self.due
    }

    /// Pushes all queued updates to all neighbours if any of them is due.
    pub(super) fn push(&mut self, neighbours: &[SocketAddr], now: Time) -> Vec<Effect> {
        if self.due.is_none_or(|due| now < due) {
            return Vec::new();
        }
        let Self {
            members, version, ..
        } = std::mem::take(self);
        let mut effects = Vec::new();
        for to in neighbours {
            let others = members.iter().filter(|(_, from)| **from != Some(*to));
            let members: BTreeSet<_> = others.map(|(instance, _)| *instance).collect();
            let since = version.filter(|(_, from)| *from != Some(*to));
            let since = since.map(|(before, _)| before);
            if since.is_some() || !members.is_empty() {
                let to = *to;
                effects.push(Effect::Push { members, since, to });
            }
        }
        effects
    }

    /// The broken invariant, if any.
    pub(super) fn verify(&self) -> Option<String> {
        let empty = self.version.is_none() && self.members.is_empty();
        let fault = self.due.is_none() && !empty;
        fault.then(|| "updates are queued without a push time".to_owned())
    }
}
