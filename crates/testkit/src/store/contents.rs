//! Items of the store and the history of their changes.
//!
//! Invariants: each change increments the revision by one, and the history after revision
//! [`Contents::compacted`] is complete. After a return from an older copy the revisions continue from the copy's.

use std::collections::{BTreeMap, VecDeque};

/// Maximum number of changes in the history.
const HISTORY_LIMIT: usize = 2_000;

/// A stored value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Revision at which the key was created.
    pub created: u64,
    /// Revision of the last change of this key.
    pub revision: u64,
    /// The value; the store doesn't interpret it.
    pub value: Vec<u8>,
}

/// A change of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Revision of the store after the change.
    pub at: u64,
    /// The written item; `None` if the key was deleted.
    pub item: Option<Item>,
    /// Key that was written or deleted.
    pub key: String,
}

/// Error: a part of the requested history has been compacted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Compacted;

/// The items by key and the history of their changes.
#[derive(Clone, Debug, Default)]
pub struct Contents {
    /// Changes up to this revision are no longer in the history.
    pub compacted: u64,
    /// How often the store has returned from an older copy.
    pub era: u64,
    history: VecDeque<Change>,
    items: BTreeMap<String, Item>,
    revision: u64,
}

impl Contents {
    /// Returns the revision of the last change of any key; 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the item of a key.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Writes a value, even an unchanged one, and returns its revision.
    pub fn put(&mut self, key: &str, value: Vec<u8>) -> u64 {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            created,
            revision: self.revision,
            value,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.record(key, Some(item));
        self.revision
    }

    /// Deletes a key and returns the store's revision, which stays the same if there is no such
    /// key.
    pub fn delete(&mut self, key: &str) -> u64 {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.record(key, None);
        }
        self.revision
    }

    /// Returns to an older copy; what was written since is lost.
    pub fn return_to(&mut self, copy: &Self) {
        *self = Self {
            era: self.era + 1,
            ..copy.clone()
        };
    }

    /// Clears the history.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.revision;
    }

    /// Returns the items whose keys start with `prefix` and are greater than `after`, in key order.
    pub fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &str,
    ) -> impl Iterator<Item = (&'a String, &'a Item)> {
        let from = after.to_owned();
        let all = self.items.iter();
        all.filter(move |(key, _)| key.starts_with(prefix) && **key > from)
    }

    /// Returns the changes of keys that start with `prefix` after the revision `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if the history no longer reaches back to `after`, or not yet up to it.
    pub fn changes(&self, prefix: &str, after: u64) -> Result<Vec<&Change>, Compacted> {
        if after < self.compacted || after > self.revision {
            return Err(Compacted);
        }
        let all = self.history.iter();
        Ok(all
            .filter(|change| change.at > after && change.key.starts_with(prefix))
            .collect())
    }

    fn record(&mut self, key: &str, item: Option<Item>) {
        self.history.push_back(Change {
            at: self.revision,
            item,
            key: key.to_owned(),
        });
        if self.history.len() > HISTORY_LIMIT
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted = oldest.at;
        }
    }
}
