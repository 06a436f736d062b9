//! What a daemon has learnt of the store, for those that ask it.
//!
//! Invariant: the contents are those at the last revision, and the changes after [`ChangeLog::from`] are
//! complete.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{Change, Snapshot};

/// Most that is kept of changes, and most that is handed out at once, counted in entries and routes.
/// Reading more from the store costs one call; sending it to a whole failure domain would fill a small
/// link.
const WEIGHT_LIMIT: usize = 512;

/// What a daemon that asks lacks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Lacking {
    /// These changes in order, each with its revision.
    Changes(Vec<(u64, Change)>),
    /// More than the changes kept here; everything in their place.
    Contents(Snapshot),
    /// Too much to be told.
    TooMuch,
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
    /// Begins anew with everything that the store holds at a revision.
    pub fn restart(&mut self, revision: u64, contents: Snapshot) {
        *self = Self {
            contents,
            from: revision,
            ..Self::default()
        };
    }

    /// Adds the next change.
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

    /// What a daemon lacks that knows everything up to a revision.
    ///
    /// ```
    /// use hawthornwall_core::catalog::{Change, ChangeLog, Lacking, Snapshot};
    ///
    /// let mut log = ChangeLog::default();
    /// log.restart(7, Snapshot::default());
    /// log.push(9, &Change::TargetGone { name: "t1".to_owned() });
    /// assert!(matches!(log.since(7), Lacking::Changes(changes) if changes.len() == 1));
    /// assert_eq!(log.since(9), Lacking::Changes(Vec::new()));
    /// assert_eq!(log.since(6), Lacking::Contents(Snapshot::default()));
    /// ```
    pub fn since(&self, after: u64) -> Lacking {
        if after >= self.from {
            let changes = self.changes.iter().filter(|(at, _)| *at > after);
            return Lacking::Changes(changes.cloned().collect());
        }
        let routes = self.contents.routes.as_ref();
        let routes = routes.map_or(0, |published| published.routes.len());
        if routes + self.contents.targets.len() > WEIGHT_LIMIT {
            return Lacking::TooMuch;
        }
        Lacking::Contents(self.contents.clone())
    }
}

fn weight(change: &Change) -> usize {
    match change {
        Change::Routes(published) => published.routes.len().max(1),
        Change::Target { .. } | Change::TargetGone { .. } => 1,
    }
}
