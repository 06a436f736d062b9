//! What is recorded of each route, found by host and prefix.
//!
//! Invariant: memory use is bounded, however many routes come and go.

use std::collections::BTreeMap;

/// Most routes with a record; all records are cleared when the limit is reached.
const ROUTE_LIMIT: usize = 4_096;

/// A record of each route that has been used.
#[derive(Clone, Debug)]
pub(super) struct ByRoute<T> {
    hosts: BTreeMap<String, BTreeMap<String, T>>,
    routes: usize,
}

impl<T> Default for ByRoute<T> {
    fn default() -> Self {
        Self {
            hosts: BTreeMap::new(),
            routes: 0,
        }
    }
}

impl<T: Default> ByRoute<T> {
    /// The record of a route, if there is one.
    pub fn get_mut(&mut self, host: &str, prefix: &str) -> Option<&mut T> {
        self.hosts.get_mut(host)?.get_mut(prefix)
    }

    /// The record of a route, which is added if there is none.
    pub fn entry(&mut self, host: &str, prefix: &str) -> &mut T {
        let known = self.hosts.get(host).is_some_and(|h| h.contains_key(prefix));
        if !known {
            self.make_room();
        }
        let host = self.hosts.entry(host.to_owned()).or_default();
        host.entry(prefix.to_owned()).or_default()
    }

    fn make_room(&mut self) {
        if self.routes >= ROUTE_LIMIT {
            *self = Self::default();
        }
        self.routes += 1;
    }
}
