//! The platform's list as the members aggregate sees it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One instance on the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Its failure domain.
    pub domain: String,
    /// Whether the platform will stop it soon.
    pub leaving: bool,
    /// Address of its daemon for peers.
    pub peer: SocketAddr,
    /// Name of the target on it.
    pub target: String,
}

/// The last list read.
#[derive(Clone, Debug, Default)]
pub(super) struct List {
    by_target: BTreeMap<String, Vec<Listed>>,
}

impl List {
    pub(super) fn new(entries: Vec<Listed>) -> Self {
        let mut by_target: BTreeMap<String, Vec<Listed>> = BTreeMap::new();
        for entry in entries {
            by_target
                .entry(entry.target.clone())
                .or_default()
                .push(entry);
        }
        Self { by_target }
    }

    /// The entry of a target at an address.
    pub(super) fn at(&self, target: &str, peer: SocketAddr) -> Option<&Listed> {
        self.by_target.get(target)?.iter().find(|l| l.peer == peer)
    }

    /// The entry that stands for a target: a live one before leaving ones.
    ///
    /// During a replacement the list may hold the old and the new instance.
    pub(super) fn best(&self, target: &str) -> Option<&Listed> {
        self.by_target.get(target)?.iter().min_by_key(|l| l.leaving)
    }

    pub(super) fn targets(&self) -> impl Iterator<Item = &str> {
        self.by_target.keys().map(String::as_str)
    }
}
