//! From whom a daemon learns what the store holds.
//!
//! Were every daemon to watch the store, its calls would grow with the size of the fleet, and with each
//! change once more. One daemon watches it instead, one of each failure domain asks that one, and the
//! others ask the one of their domain. All daemons order each other by a digest of their addresses, which
//! needs no agreement: two that hold different members only ask another one than they might.
//!
//! Invariant: a daemon asks only those before it in the order, so that no two wait for each other.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::digest::Digest;

/// Daemons that one daemon asks in turn, should the first ones fail.
const PARENT_LIMIT: usize = 3;

/// A daemon's place in the order in which news spread.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Level {
    /// Asks the first of all daemons, and is asked by those of its failure domain.
    Head,
    /// Asks the first of its failure domain.
    Member,
    /// Watches the store itself.
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

    /// Time beyond the longest watch after which a daemon of this level reads the store itself. Heads go
    /// first, so that the members of their domain needn't.
    pub(super) fn margin(self) -> Duration {
        match self {
            Self::Head => Duration::from_millis(250),
            Self::Member => Duration::from_millis(500),
            Self::Root => Duration::ZERO,
        }
    }
}

/// Whom a daemon asks.
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
    /// The daemon's place.
    pub level: Level,
    /// The daemons to ask, the preferred one first; none where the store is watched.
    pub parents: Vec<SocketAddr>,
}

impl Sources {
    /// Whom the daemon at `own` in `domain` asks, given the addresses and failure domains of all.
    pub fn of(own: SocketAddr, domain: &str, daemons: &[(SocketAddr, &str)]) -> Self {
        let place = rank(own);
        let before: BTreeSet<_> = daemons
            .iter()
            .map(|(address, domain)| (rank(*address), *address, *domain))
            .filter(|(rank, ..)| *rank < place)
            .collect();
        let near = before.iter().filter(|(.., d)| *d == domain);
        let near: Vec<_> = near.map(|(_, a, _)| *a).take(PARENT_LIMIT).collect();
        if !near.is_empty() {
            return Self {
                level: Level::Member,
                parents: near,
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
