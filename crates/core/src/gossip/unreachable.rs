//! Peers that this daemon recently failed to reach.
//!
//! Invariant: the failures only affect this daemon's own choices and are never sent to peers, so that a
//! fault between two daemons doesn't make either count as failed elsewhere.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use super::platform::backoff;
use crate::time::Time;

/// First and longest time for which a peer is avoided after failed exchanges.
const BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_mins(1));
/// Failed exchanges in a row after which another daemon takes over the duties of a watcher.
const TAKEOVER_FAILURES: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Failures {
    count: u32,
    until: Time,
}

/// Failed exchanges by peer.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreachablePeers {
    peers: BTreeMap<SocketAddr, Failures>,
}

impl UnreachablePeers {
    pub(super) fn add(&mut self, peer: SocketAddr, now: Time, rng: &mut impl Rng) {
        let previous = self.peers.get(&peer);
        let count = previous.map_or(1, |f| f.count.saturating_add(1));
        let until = now + backoff(BACKOFF, count, rng);
        self.peers.insert(peer, Failures { count, until });
    }

    /// Removes a peer that replied; true if it had failed before.
    pub(super) fn clear(&mut self, peer: SocketAddr) -> bool {
        self.peers.remove(&peer).is_some()
    }

    pub(super) fn clear_all(&mut self) {
        self.peers.clear();
    }

    /// Removes peers that were not retried because they are no longer neighbours.
    pub(super) fn expire(&mut self, now: Time) {
        self.peers.retain(|_, f| now < f.until + BACKOFF.1);
    }

    /// Whether another peer is chosen instead while this one backs off.
    pub(super) fn is_avoided(&self, peer: SocketAddr, now: Time) -> bool {
        self.peers.get(&peer).is_some_and(|f| now < f.until)
    }

    /// Whether the peer has failed so often that another daemon takes over its duties.
    pub(super) fn has_failed(&self, peer: SocketAddr) -> bool {
        self.peers
            .get(&peer)
            .is_some_and(|f| f.count >= TAKEOVER_FAILURES)
    }
}
