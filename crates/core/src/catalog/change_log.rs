//! The contents of the store and its recent changes, for updates to peers.
//!
//! Invariant: the contents are those at the last revision, and all changes after [`ChangeLog::from`] are
//! kept.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{Change, Snapshot};

/// Most entries and routes in the kept changes, and in the contents of one update. Reading more from the
/// store costs one call; sending it to a whole failure domain would saturate a slow link.
const WEIGHT_LIMIT: usize = 512;

/// The part of the store's contents that a peer doesn't have.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UpdatePayload {
    /// Changes in order, each with its revision.
    Changes(Vec<(u64, Change)>),
    /// All contents, if the changes that the peer needs are no longer kept.
    Contents(Snapshot),
    /// The contents exceed the size of an update; the peer must read the store.
    TooLarge,
}

/// The contents of the store and recent changes by revision.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<(u64, Change)>,
    contents: Snapshot,
    from: u64,
    weight: usize,
}

impl ChangeLog {
    /// Replaces the log by all contents of the store at a revision.
    pub fn restart(&mut self, revision: u64, contents: Snapshot) {
        *self = Self {
            contents,
            from: revision,
            ..Self::default()
        };
    }

    /// Appends the change at a revision, and drops the oldest changes beyond the limit.
    pub fn push(&mut self, revision: u64, change: &Change) {
        match change {
            Change::Routes(routes) => self.contents.routes = Some(routes.clone()),
            Change::Target { name, target } => {
                self.contents.targets.insert(name.clone(), target.clone());
            }
            Change::TargetGone { name } => {
                self.contents.targets.remove(name);
            }
        }
        self.weight += weight(change);
        self.changes.push_back((revision, change.clone()));
        while self.weight > WEIGHT_LIMIT
            && let Some((revision, change)) = self.changes.pop_front()
        {
            self.weight -= weight(&change);
            self.from = revision;
        }
    }

    /// The changes or contents for a peer that has everything up to the revision `after`.
    ///
    /// ```
    /// use hawthornwall_core::catalog::{Change, ChangeLog, UpdatePayload, Snapshot};
    ///
    /// let mut log = ChangeLog::default();
    /// log.restart(7, Snapshot::default());
    /// log.push(9, &Change::TargetGone { name: "t1".to_owned() });
    /// assert!(matches!(log.since(7), UpdatePayload::Changes(changes) if changes.len() == 1));
    /// assert_eq!(log.since(9), UpdatePayload::Changes(Vec::new()));
    /// assert_eq!(log.since(6), UpdatePayload::Contents(Snapshot::default()));
    /// ```
    pub fn since(&self, after: u64) -> UpdatePayload {
        if after >= self.from {
            let changes = self.changes.iter().filter(|(at, _)| *at > after);
            return UpdatePayload::Changes(changes.cloned().collect());
        }
        let routes = self.contents.routes.as_ref();
        let routes = routes.map_or(0, |published| published.routes.len());
        if routes + self.contents.targets.len() > WEIGHT_LIMIT {
            return UpdatePayload::TooLarge;
        }
        UpdatePayload::Contents(self.contents.clone())
    }
}

fn weight(change: &Change) -> usize {
    match change {
        Change::Routes(published) => published.routes.len().max(1),
        Change::Target { .. } | Change::TargetGone { .. } => 1,
    }
}
