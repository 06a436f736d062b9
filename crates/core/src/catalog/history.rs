//! The changes that a daemon has learnt lately, for those that ask it.
//!
//! Invariant: the changes after [`ChangeLog::from`] are complete.

use std::collections::VecDeque;

use super::Change;

/// Most that is kept, and most that is handed out at once, counted in entries and routes. Reading more
/// from the store costs one call; sending it to a whole failure domain would fill a small link.
const WEIGHT_LIMIT: usize = 512;

/// Recent changes by revision.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<(u64, Change)>,
    from: u64,
    weight: usize,
}

impl ChangeLog {
    /// Forgets everything up to a revision whose whole contents have been read.
    pub fn restart(&mut self, revision: u64) {
        *self = Self {
            from: revision,
            ..Self::default()
        };
    }

    /// Adds the next change.
    pub fn push(&mut self, revision: u64, change: Change) {
        self.weight += weight(&change);
        self.changes.push_back((revision, change));
        while self.weight > WEIGHT_LIMIT
            && let Some((revision, change)) = self.changes.pop_front()
        {
            self.weight -= weight(&change);
            self.from = revision;
        }
    }

    /// The changes after a revision in order; `None` if not all of them are known.
    ///
    /// ```
    /// use hawthornwall_core::catalog::{Change, ChangeLog};
    ///
    /// let mut log = ChangeLog::default();
    /// log.restart(7);
    /// log.push(9, Change::TargetGone { name: "t1".to_owned() });
    /// assert_eq!(log.since(7).map(|c| c.len()), Some(1));
    /// assert_eq!(log.since(9).map(|c| c.len()), Some(0));
    /// assert_eq!(log.since(6), None);
    /// ```
    pub fn since(&self, after: u64) -> Option<Vec<(u64, Change)>> {
        let changes = self.changes.iter().filter(|(at, _)| *at > after);
        (after >= self.from).then(|| changes.cloned().collect())
    }
}

fn weight(change: &Change) -> usize {
    match change {
        Change::Routes(published) => published.routes.len().max(1),
        Change::Target { .. } | Change::TargetGone { .. } => 1,
    }
}
