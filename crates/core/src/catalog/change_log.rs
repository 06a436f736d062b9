//! The contents of the store and its recent changes, for updates to peers.
//!
//! Rules kept here:
//! - new routes are kept as the difference to the earlier ones if that is smaller, so that small changes of a
//!   large configuration fit into an update;
//! - a difference is resolved only with the routes that it applies to;
//! - changes are only sent to a peer of the same era of the store, since the revisions of two eras don't follow each
//!   other.
//!
//! Invariant: the contents are those at the last revision, and all changes after [`ChangeLog::from`] are
//! kept.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{Change, Revision, RouteDelta, Snapshot, UpdateChange};

/// Most entries and routes in the kept changes, and in the contents of one update. Reading more from the
/// store costs one call; sending it to a whole failure domain would saturate a slow link.
const WEIGHT_LIMIT: usize = 512;

/// The part of the store's contents that a peer doesn't have.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UpdatePayload {
    /// Changes in order, each with the number of its revision. All are of the era of the update.
    Changes(Vec<(u64, UpdateChange)>),
    /// All contents, if the changes that the peer needs are no longer kept.
    Contents(Snapshot),
    /// The contents exceed the size of an update; the peer must read the store.
    TooLarge,
}

/// The contents of the store and recent changes by revision.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<(u64, UpdateChange)>,
    contents: Snapshot,
    /// Era of the contents and of all changes.
    era: u64,
    from: u64,
    weight: usize,
}

impl ChangeLog {
    /// Replaces the log by all contents of the store at a revision.
    pub fn restart(&mut self, revision: Revision, contents: Snapshot) {
        *self = Self {
            contents,
            era: revision.era,
            from: revision.number,
            ..Self::default()
        };
    }

    /// Appends the change at a revision of the era of the contents, given by its number, and drops the oldest changes beyond the limit.
    pub fn push(&mut self, revision: u64, change: &Change) {
        let update = self.update_change(change);
        match change {
            Change::Routes(routes) => self.contents.routes = Some(routes.clone()),
            Change::Target { name, target } => {
                self.contents.targets.insert(name.clone(), target.clone());
            }
            Change::TargetGone { name } => {
                self.contents.targets.remove(name);
            }
            Change::Evacuated { domain } => {
                self.contents.evacuated.insert(domain.clone());
            }
            Change::EvacuationEnded { domain } => {
                self.contents.evacuated.remove(domain);
            }
        }
        self.weight += update.weight();
        self.changes.push_back((revision, update));
        while self.weight > WEIGHT_LIMIT
            && let Some((revision, change)) = self.changes.pop_front()
        {
            self.weight -= change.weight();
            self.from = revision;
        }
    }

    /// The changes of an update from a peer, with whole routes in place of differences. `None` if a difference
    /// applies to other routes than those held here.
    pub fn resolve(&self, changes: Vec<(u64, UpdateChange)>) -> Option<Vec<(u64, Change)>> {
        let mut routes = self.contents.routes.clone();
        let resolved = changes.into_iter().map(|(revision, change)| {
            let change = match change {
                UpdateChange::RouteDelta(delta) => Change::Routes(delta.apply(routes.as_ref()?)?),
                UpdateChange::Routes(published) => Change::Routes(published),
                UpdateChange::Target { name, target } => Change::Target { name, target },
                UpdateChange::TargetGone { name } => Change::TargetGone { name },
                UpdateChange::Evacuated { domain } => Change::Evacuated { domain },
                UpdateChange::EvacuationEnded { domain } => Change::EvacuationEnded { domain },
            };
            if let Change::Routes(published) = &change {
                routes = Some(published.clone());
            }
            Some((revision, change))
        });
        resolved.collect()
    }

    /// The form of a change that takes the least space in an update.
    fn update_change(&self, change: &Change) -> UpdateChange {
        if let (Change::Routes(new), Some(old)) = (change, &self.contents.routes) {
            let delta = RouteDelta::between(old, new);
            if delta.weight() < new.routes.len() {
                return UpdateChange::RouteDelta(delta);
            }
        }
        change.clone().into()
    }

    /// The changes or contents for a peer that has everything up to the revision `after`.
    ///
    /// ```
    /// use hawthornwall_core::catalog::{Change, ChangeLog, Revision, UpdatePayload, Snapshot};
    ///
    /// let mut log = ChangeLog::default();
    /// log.restart(Revision::new(2, 7), Snapshot::default());
    /// log.push(9, &Change::TargetGone { name: "t1".to_owned() });
    /// let since = |era, number| log.since(Revision::new(era, number));
    /// assert!(matches!(since(2, 7), UpdatePayload::Changes(changes) if changes.len() == 1));
    /// assert_eq!(since(2, 9), UpdatePayload::Changes(Vec::new()));
    /// assert_eq!(since(2, 6), UpdatePayload::Contents(Snapshot::default()));
    /// assert_eq!(since(1, 9), UpdatePayload::Contents(Snapshot::default()));
    /// ```
    pub fn since(&self, after: Revision) -> UpdatePayload {
        if after.era == self.era && after.number >= self.from {
            let changes = self.changes.iter().filter(|(at, _)| *at > after.number);
            return UpdatePayload::Changes(changes.cloned().collect());
        }
        let routes = self.contents.routes.as_ref();
        let routes = routes.map_or(0, |published| published.routes.len());
        let entries = self.contents.targets.len() + self.contents.evacuated.len();
        if routes + entries > WEIGHT_LIMIT {
            return UpdatePayload::TooLarge;
        }
        UpdatePayload::Contents(self.contents.clone())
    }
}
