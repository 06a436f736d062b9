//! Peers that this daemon could not reach lately.
//!
//! Invariant: a suspicion concerns this daemon's own choices only and is never passed on, so a fault
//! between two daemons doesn't make either look dead to others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use super::platform::backoff;
use crate::time::Time;

const BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_mins(1));
/// Failed exchanges in a row after which a watcher counts as gone and another takes over.
const GONE: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    faults: u32,
    until: Time,
}

/// Failed exchanges by peer.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects {
    peers: BTreeMap<SocketAddr, Suspicion>,
}

impl Suspects {
    pub(super) fn add(&mut self, peer: SocketAddr, now: Time, rng: &mut impl Rng) {
        let known = self.peers.get(&peer);
        let faults = known.map_or(1, |s| s.faults.saturating_add(1));
        let until = now + backoff(BACKOFF, faults, rng);
        self.peers.insert(peer, Suspicion { faults, until });
    }

    /// Forgets a peer that replied; true if it was suspected.
    pub(super) fn clear(&mut self, peer: SocketAddr) -> bool {
        self.peers.remove(&peer).is_some()
    }

    pub(super) fn clear_all(&mut self) {
        self.peers.clear();
    }

    /// Forgets peers that were not tried again, as they are no neighbours any more.
    pub(super) fn expire(&mut self, now: Time) {
        self.peers.retain(|_, s| now < s.until + BACKOFF.1);
    }

    /// Whether another peer should be chosen for now.
    pub(super) fn avoids(&self, peer: SocketAddr, now: Time) -> bool {
        self.peers.get(&peer).is_some_and(|s| now < s.until)
    }

    /// Whether the peer has failed so often that its duties should be taken over.
    pub(super) fn is_gone(&self, peer: SocketAddr) -> bool {
        self.peers.get(&peer).is_some_and(|s| s.faults >= GONE)
    }
}
