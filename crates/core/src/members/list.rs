//! The instance list that the hosting platform provides.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One instance in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedInstance {
    /// The failure domain of the instance.
    pub domain: String,
    /// Whether the platform is about to stop the instance.
    pub leaving: bool,
    /// The address at which the instance's daemon accepts peer connections.
    pub peer: SocketAddr,
    /// The name of the target on the instance.
    pub target: String,
}

/// The most recently read list, indexed by target name.
#[derive(Clone, Debug, Default)]
pub(super) struct PlatformList {
    by_target: BTreeMap<String, Vec<ListedInstance>>,
}

impl PlatformList {
    pub(super) fn new(entries: Vec<ListedInstance>) -> Self {
        let mut by_target: BTreeMap<String, Vec<ListedInstance>> = BTreeMap::new();
        for entry in entries {
            by_target
                .entry(entry.target.clone())
                .or_default()
                .push(entry);
        }
        Self { by_target }
    }

    /// The entry of `target` whose daemon has the address `peer`.
    pub(super) fn at_address(&self, target: &str, peer: SocketAddr) -> Option<&ListedInstance> {
        self.by_target.get(target)?.iter().find(|l| l.peer == peer)
    }

    /// The entry of `target`, preferring an instance that is not leaving.
    ///
    /// During a replacement the list may contain both the old and the new instance.
    pub(super) fn preferred(&self, target: &str) -> Option<&ListedInstance> {
        self.by_target.get(target)?.iter().min_by_key(|l| l.leaving)
    }

    pub(super) fn targets(&self) -> impl Iterator<Item = &str> {
        self.by_target.keys().map(String::as_str)
    }
}
