//! From which peers a daemon receives the contents of the store.
//!
//! If every daemon watched the store, the number of calls would grow with the fleet, and again with each
//! change. Instead one daemon, the root, watches the store; one daemon of each other failure domain, the
//! head, queries the root; and the members query the first daemon of their domain. All daemons use the
//! same order by a digest of their addresses, which needs no agreement: with different member lists, two
//! daemons only choose different peers.
//!
//! Invariant: a daemon queries only daemons before it in the order, so that queries form no cycle.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::digest::Digest;

/// Peers that a daemon can query, so that it has alternatives if the first ones fail.
const PARENT_LIMIT: usize = 3;

/// A daemon's level in the tree along which store updates are distributed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Level {
    /// The daemon queries the first of all daemons, and the members of its failure domain query it.
    Head,
    /// The daemon queries the first daemons of its failure domain.
    Member,
    /// The daemon queries no peer and watches the store.
    #[default]
    Root,
}

impl Level {
    /// The name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Member => "member",
            Self::Root => "root",
        }
    }

    /// Time beyond the longest watch after which a daemon of this level reads the store directly. Heads
    /// read the store first, so that the members of their domain don't have to.
    pub(super) fn margin(self) -> Duration {
        match self {
            Self::Head => Duration::from_millis(250),
            Self::Member => Duration::from_millis(500),
            Self::Root => Duration::ZERO,
        }
    }
}

/// The peers that a daemon queries.
///
/// ```
/// use std::net::SocketAddr;
/// use hawthornwall_core::catalog::{Level, Sources};
///
/// let address = |n| SocketAddr::from(([10, 0, 0, n], 7));
/// let daemons: Vec<_> = (0..9).map(|n| (address(n), if n < 5 { "a" } else { "b" })).collect();
/// let of = |n: u8| Sources::of(address(n), daemons[usize::from(n)].1, &daemons);
/// let roots = (0..9).filter(|n| of(*n).level == Level::Root).count();
/// let heads = (0..9).filter(|n| of(*n).level == Level::Head).count();
/// assert_eq!((roots, heads), (1, 1));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Sources {
    /// The daemon's level in the distribution tree.
    pub level: Level,
    /// The peers to query in order of preference; empty if the daemon watches the store.
    pub parents: Vec<SocketAddr>,
}

impl Sources {
    /// The sources of the daemon at `own` in `domain`, given the addresses and failure domains of all
    /// daemons.
    pub fn of(own: SocketAddr, domain: &str, daemons: &[(SocketAddr, &str)]) -> Self {
        let own_rank = rank(own);
        let before: BTreeSet<_> = daemons
            .iter()
            .map(|(address, domain)| (rank(*address), *address, *domain))
            .filter(|(rank, ..)| *rank < own_rank)
            .collect();
        let local = before.iter().filter(|(.., d)| *d == domain);
        let local: Vec<_> = local.map(|(_, a, _)| *a).take(PARENT_LIMIT).collect();
        if !local.is_empty() {
            return Self {
                level: Level::Member,
                parents: local,
            };
        }
        let all = before.iter().map(|(_, a, _)| *a).take(PARENT_LIMIT);
        let parents: Vec<_> = all.collect();
        let level = if parents.is_empty() {
            Level::Root
        } else {
            Level::Head
        };
        Self { level, parents }
    }
}

fn rank(address: SocketAddr) -> u64 {
    let mut digest = Digest::new("news");
    digest.text(&address.to_string());
    digest.finish()
}
