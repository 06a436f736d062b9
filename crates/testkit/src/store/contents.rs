//! What the store holds and what it remembers of changes.
//!
//! Invariant: the revision grows by one with each change, and the history after [`Contents::forgotten`]
//! is complete.

use std::collections::{BTreeMap, VecDeque};

/// Changes that are remembered.
const HISTORY_LIMIT: usize = 2_000;

/// One stored value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Revision at which the key came to be.
    pub created: u64,
    /// Revision of the last change.
    pub revision: u64,
    /// The bytes.
    pub value: Vec<u8>,
}

/// One change of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Its revision.
    pub at: u64,
    /// What was written; `None` if the key was deleted.
    pub item: Option<Item>,
    /// The key.
    pub key: String,
}

/// The history after a revision is no longer known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Gone;

/// Items by key, and their changes.
#[derive(Clone, Debug, Default)]
pub struct Contents {
    /// Changes up to this revision are forgotten.
    pub forgotten: u64,
    history: VecDeque<Change>,
    items: BTreeMap<String, Item>,
    revision: u64,
}

impl Contents {
    /// The last revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The item under a key.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Writes a value and returns its revision.
    pub fn put(&mut self, key: &str, value: Vec<u8>) -> u64 {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            created,
            revision: self.revision,
            value,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.remember(key, Some(item));
        self.revision
    }

    /// Deletes a key; nothing changes if there is none.
    pub fn delete(&mut self, key: &str) -> u64 {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.remember(key, None);
        }
        self.revision
    }

    /// Forgets all changes so far.
    pub fn compact(&mut self) {
        self.history.clear();
        self.forgotten = self.revision;
    }

    /// Items under a prefix after a key.
    pub fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &str,
    ) -> impl Iterator<Item = (&'a String, &'a Item)> {
        let from = after.to_owned();
        let all = self.items.iter();
        all.filter(move |(key, _)| key.starts_with(prefix) && **key > from)
    }

    /// Changes under a prefix after a revision.
    ///
    /// # Errors
    ///
    /// If some of them are forgotten.
    pub fn changes(&self, prefix: &str, after: u64) -> Result<Vec<&Change>, Gone> {
        if after < self.forgotten {
            return Err(Gone);
        }
        let all = self.history.iter();
        Ok(all
            .filter(|change| change.at > after && change.key.starts_with(prefix))
            .collect())
    }

    fn remember(&mut self, key: &str, item: Option<Item>) {
        self.history.push_back(Change {
            at: self.revision,
            item,
            key: key.to_owned(),
        });
        if self.history.len() > HISTORY_LIMIT
            && let Some(oldest) = self.history.pop_front()
        {
            self.forgotten = oldest.at;
        }
    }
}
