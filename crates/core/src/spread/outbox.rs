//! News that wait to be pushed to the neighbours.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::{Effect, News};
use crate::ids::{InstanceId, Version};
use crate::time::Time;

/// Time for which announcements are collected before they are pushed together.
///
/// Over the 9 steps that 540 daemons need it adds up to 0.9 s, below the 3 s in which a leaving member
/// must be known everywhere.
const PUSH_DELAY: Duration = Duration::from_millis(100);
/// The same for announcements that repeat what is known.
///
/// At 540 daemons about five come in this time. Pushed one by one, the datagrams around them would
/// take more than half of a daemon's 7 KB/s.
const REPEAT_DELAY: Duration = Duration::from_secs(5);
/// News by where they came from; nobody is sent what came from it.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    due: Option<Time>,
    members: BTreeMap<InstanceId, Option<SocketAddr>>,
    /// The version before the oldest news.
    version: Option<(Version, Option<SocketAddr>)>,
}

impl Outbox {
    pub(super) fn add(&mut self, news: News, from: Option<SocketAddr>, now: Time) {
        let delay = match news {
            News::Member(instance) => {
                self.members.insert(instance, from);
                PUSH_DELAY
            }
            News::Repeat(instance) => {
                self.members.insert(instance, from);
                REPEAT_DELAY
            }
            News::Version(before) => {
                // Of several versions at once, every neighbour gets all that any may lack.
                let single = self.version.is_none();
                let first = self.version.map_or(before, |(b, _)| b.min(before));
                self.version = Some((first, from.filter(|_| single)));
                Duration::ZERO
            }
        };
        let due = now + delay;
        self.due = Some(self.due.map_or(due, |d| d.min(due)));
    }

    /// When the next news are pushed.
    pub(super) fn due(&self) -> Option<Time> {
        self.due
    }

    /// Pushes everything to all neighbours if some of it is due.
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

    /// Broken invariants.
    pub(super) fn verify(&self) -> Option<String> {
        let empty = self.version.is_none() && self.members.is_empty();
        let fault = self.due.is_none() && !empty;
        fault.then(|| "news wait without a time to push them".to_owned())
    }
}
