//! The order of the members, which determines neighbours and watchers.
//!
//! Invariant: the order depends only on the members' addresses, so that daemons with the same member list
//! agree on the order without communication.

use std::net::SocketAddr;

use crate::digest::Digest;

/// The attributes of a member that the ring uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RingMember<'a> {
    /// Failure domain of the member.
    pub domain: &'a str,
    /// Address at which the member's daemon accepts peer connections.
    pub peer: SocketAddr,
}

/// All members in the order of their hashes.
///
/// ```
/// use hawthornwall_core::gossip::{Ring, RingMember};
///
/// let peer = |n: u8| std::net::SocketAddr::from(([10, 0, 0, n], 7000));
/// let members = (0..5).map(|n| RingMember { domain: "dk-1", peer: peer(n) });
/// let ring = Ring::new(members);
/// // Distances 1, 2 and 4.
/// assert_eq!(ring.neighbours(peer(0), |_| false).len(), 3);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ring {
    places: Vec<Place>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    hash: u64,
    peer: SocketAddr,
    domain: String,
}

impl Ring {
    /// The ring of these members; duplicate addresses count once.
    pub fn new<'a>(members: impl Iterator<Item = RingMember<'a>>) -> Self {
        let place = |m: RingMember<'_>| Place {
            hash: hash(m.peer),
            peer: m.peer,
            domain: m.domain.to_owned(),
        };
        let mut places: Vec<_> = members.map(place).collect();
        places.sort();
        places.dedup_by_key(|p| p.peer);
        Self { places }
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// The members at distances 1, 2, 4 and so on after `own`, which need not be a member itself.
    ///
    /// An update that every member forwards reaches all others in at most log2 of their number steps. An
    /// avoided member is replaced by the next one after it.
    pub fn neighbours(
        &self,
        own: SocketAddr,
        avoid: impl Fn(SocketAddr) -> bool,
    ) -> Vec<SocketAddr> {
        let key = (hash(own), own);
        let start = self.places.partition_point(|p| (p.hash, p.peer) <= key);
        let (before, after) = self.places.split_at(start);
        let others = after.iter().chain(before).map(|p| p.peer);
        let others: Vec<_> = others.filter(|p| *p != own).collect();
        let mut neighbours = Vec::new();
        let mut distance = 1;
        while distance <= others.len() {
            let candidates = others[distance - 1..].iter();
            let mut usable = candidates.filter(|p| !avoid(**p) && !neighbours.contains(*p));
            neighbours.extend(usable.next().copied());
            distance *= 2;
        }
        neighbours
    }

    /// Whether `own` is among the first `watchers` members of its failure domain that are not avoided.
    pub fn watches(
        &self,
        own: SocketAddr,
        domain: &str,
        watchers: usize,
        avoid: impl Fn(SocketAddr) -> bool,
    ) -> bool {
        let local = self.places.iter().filter(|p| p.domain == domain);
        let usable = local.filter(|p| p.peer == own || !avoid(p.peer));
        usable.take(watchers).any(|p| p.peer == own)
    }
}

fn hash(peer: SocketAddr) -> u64 {
    let mut digest = Digest::new("peer");
    digest.text(&peer.to_string());
    digest.finish()
}
