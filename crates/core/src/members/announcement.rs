//! Announcements that daemons publish about themselves.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationSeconds, serde_as};

use crate::digest::Digest;
use crate::ids::InstanceId;

/// The part of an announcement that stays the same during one run of a daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// The failure domain of the daemon's instance.
    pub domain: String,
    /// The run of the daemon; a restart gets another id.
    pub instance: InstanceId,
    /// The address at which the daemon accepts peer connections.
    pub peer: SocketAddr,
    /// The name of the target that runs on the daemon's instance.
    pub target: String,
}

/// The state of one daemon, published by the daemon itself and relayed by its peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The daemon that published the announcement.
    pub identity: Identity,
    /// Whether the daemon has stopped accepting new work. Final for the run.
    pub leaving: bool,
    /// Sequence number, incremented with each announcement of the run.
    pub seq: u64,
    /// Start of the run in Unix milliseconds. The daemon may raise it; see
    /// [`Announcement::precedence`].
    pub started: u64,
}

impl Announcement {
    /// The ordering key among instances that announce the same target; the instance with the
    /// greatest value is kept.
    ///
    /// The start time comes from a clock that may be wrong: a replacement whose clock is behind
    /// would lose to its dead predecessor. A daemon that receives an announcement of another
    /// instance of its target within [`SUPERSEDE_WINDOW`](super::SUPERSEDE_WINDOW) of its start
    /// therefore raises its own `started` above that instance's, once per instance.
    ///
    /// Known limitation: if the predecessor's announcement arrives after that window, the
    /// replacement takes effect only when the announcement has expired, and its target gets no work
    /// from other daemons until then. If two daemons are configured with the same target by
    /// mistake, all daemons agree on one of them.
    pub fn precedence(&self) -> (u64, InstanceId) {
        (self.started, self.identity.instance)
    }

    /// A digest of `instance`, `seq` and `leaving`; announcements with equal digests need no
    /// exchange.
    pub(super) fn digest(&self) -> u64 {
        let mut digest = Digest::new("announcement");
        digest.number(self.identity.instance.0);
        digest.number(self.seq);
        digest.number(u64::from(self.leaving));
        digest.finish()
    }
}

/// An announcement as sent between peers, with its age.
///
/// Without the age, a daemon that has just started would treat an old announcement as recent.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayedAnnouncement {
    /// Time since the daemon published the announcement, in whole seconds on the wire.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "age_s")]
    pub age: Duration,
    /// The announcement, unchanged by the relaying peer except for a leaving mark.
    pub announcement: Announcement,
}
