//! Calls to the store and to peers, their results, and what the contents held say of the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::Revision;
use crate::time::Time;
use crate::units::Micros;

/// Delay after a change before the next watch, for each target. In a large fleet changes follow each other
/// closely, and each update is sent to every daemon, so that changes are read in batches.
const BATCH_DELAY_PER_TARGET: Duration = Duration::from_millis(4);
/// Least delay after a change until the own target is published. In a starting fleet several entries appear in
/// this time, one of which most likely belongs to a peer to query.
const START_BATCH_DELAY: Duration = Duration::from_millis(100);
/// Longest delay after a change; the remainder of [`WATCH_WAIT`] is watched after it.
const BATCH_DELAY_LIMIT: Duration = Duration::from_millis(400);

/// The next call to the store or a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// Query a peer for changes after a revision.
    Ask {
        /// Number of the last revision held here.
        after: u64,
        /// The peer to query.
        peer: SocketAddr,
        /// When the query times out.
        until: Time,
    },
    /// Test with the cheapest possible call whether the store is reachable.
    Check,
    /// Read all contents from the store.
    Load {
        /// Whether contents that are seconds old are accepted, which is cheaper.
        stale: bool,
    },
    /// Watch the store for changes after a revision.
    Watch {
        /// Number of the last revision held here.
        after: u64,
        /// The longest time that the store holds the call open.
        wait: Duration,
    },
}

/// What the contents held here say of the fleet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Published {
    /// Whether the target beside this daemon is published.
    pub own: bool,
    /// Whether routes are published.
    pub routes: bool,
    /// Number of targets that take work.
    pub targets: usize,
    /// Whether a target is used although a peer has reported its removal, until this daemon reaches the store.
    pub unverified: bool,
}

impl Published {
    /// Whether any request can be served.
    pub(super) fn is_usable(self) -> bool {
        self.routes && self.targets > 0
    }

    /// Delay between a change and the next watch.
    pub(super) fn batch_delay(self) -> Duration {
        let targets = u32::try_from(self.targets).unwrap_or(u32::MAX);
        let delay = BATCH_DELAY_PER_TARGET
            .saturating_mul(targets)
            .min(BATCH_DELAY_LIMIT);
        if self.own {
            delay
        } else {
            delay.max(START_BATCH_DELAY)
        }
    }
}

/// The result of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The store gave no answer.
    Failed,
    /// The store no longer has the changes after the revision.
    HistoryGone,
    /// The store answered with more than could be read within the limits on size and time.
    Incomplete,
    /// A queried peer gave no answer.
    NoUpdate(SocketAddr),
    /// The contents or changes up to a revision were read from the store. At a revision of a later era than the
    /// one held, these are all contents.
    Read {
        /// The revision that was read.
        revision: Revision,
    },
    /// The store answered, without contents or changes.
    Reached,
    /// Contents that may be out of date were read from the store.
    ReadStale {
        /// The revision that was read.
        revision: Revision,
    },
    /// The store rejected the call.
    Refused,
    /// A peer has more changes than fit into an update, or changes of other routes than those held here.
    Unusable(SocketAddr),
    /// A peer sent an update.
    Update(SocketAddr, UpdateHead),
}

/// How much of the store's contents a daemon that queries a peer already has.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StorePosition {
    /// Time since the store confirmed the revision; `None` after a stale read.
    #[serde_as(as = "Option<Micros>")]
    pub age: Option<Duration>,
    /// The last revision held; number 0 if none.
    pub revision: Revision,
}

/// Revision and age of an update from a peer.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpdateHead {
    /// Time since the store confirmed the revision.
    #[serde_as(as = "Micros")]
    pub age: Duration,
    /// Time since the store recovered from its last outage; `None` if the peer observed none.
    #[serde_as(as = "Option<Micros>")]
    pub outage: Option<Duration>,
    /// The last revision that the peer holds.
    pub revision: Revision,
}
