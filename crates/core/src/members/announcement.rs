//! Announcements of daemons.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationSeconds, serde_as};

use crate::digest::Digest;
use crate::ids::InstanceId;

/// What stays the same during one run of a daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// Its failure domain.
    pub domain: String,
    /// Its run.
    pub instance: InstanceId,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Name of the target beside it.
    pub target: String,
}

/// State of one daemon as published by itself and relayed by peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Who it is.
    pub identity: Identity,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Rises with each announcement of this run.
    pub seq: u64,
    /// Start of the run in milliseconds of Unix time, raised if needed; see
    /// [`Announcement::precedence`].
    pub started: u64,
}

impl Announcement {
    /// Orders the instances that announce one target; the greatest counts.
    ///
    /// The start time is a hint from a clock that may be wrong: a replacement whose clock is behind
    /// would lose to its dead predecessor. Therefore a daemon that learns, soon after its start, of
    /// another instance of its target raises its own `started` above that instance's, once for each
    /// instance. What remains: if it does not learn of the predecessor in that time, its announcements
    /// count only after the predecessor's have expired, and until then its target gets no work from
    /// others. Two daemons configured with one target by mistake settle on one of them.
    pub fn precedence(&self) -> (u64, InstanceId) {
        (self.started, self.identity.instance)
    }

    /// A value that differs between any two announcements that peers need to tell apart.
    pub(super) fn digest(&self) -> u64 {
        let mut digest = Digest::new("announcement");
        digest.number(self.identity.instance.0);
        digest.number(self.seq);
        digest.number(u64::from(self.leaving));
        digest.finish()
    }
}

/// An announcement and the time since it was made.
///
/// The age keeps an old announcement from looking recent to a daemon that has just started.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Relayed {
    /// Time since it was made.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "age_s")]
    pub age: Duration,
    /// The announcement.
    pub announcement: Announcement,
}
