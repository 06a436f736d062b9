//! The records that parties append to a history.

use serde::{Deserialize, Serialize};

/// One line of a history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Wall clock of the machine, in microseconds since the Unix epoch.
    pub at: u64,
    /// What happened.
    pub event: Event,
    /// The party: a caller, a target or a daemon.
    pub party: String,
}

/// What a party did or saw.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Event {
    /// A daemon's configuration version came into force.
    InForce {
        /// Chained digest of the version.
        digest: u64,
        /// Run of the daemon, in its text form.
        instance: String,
        /// The version.
        version: u64,
    },
    /// A target began to leave.
    Leaving,
    /// A party's presence changed; recorded by whoever caused it, in the party's name.
    Presence {
        /// For a daemon, the target beside it.
        #[serde(default)]
        beside: Option<String>,
        /// What changed.
        change: Change,
    },
    /// A target answered a measurement.
    Probed {
        /// Slot time that it took, in microseconds.
        cost: u64,
    },
    /// The platform published a version.
    Published {
        /// The version.
        version: u64,
    },
    /// A caller got an answer or a broken connection.
    Received {
        /// Number of the request that the answer's body names.
        body: Option<u64>,
        /// `Hawthornwall-Outcome`, empty if the connection broke.
        outcome: String,
        /// `Hawthornwall-Reason`.
        reason: String,
        /// The caller's number of the request.
        request: u64,
        /// Status code, 0 if the connection broke.
        status: u16,
        /// Whether head and body were complete and the body's checksum right.
        whole: bool,
    },
    /// A caller chose the daemon to which it sends a request; optional.
    Routed {
        /// The daemon's party.
        daemon: String,
        /// The caller's number of the request.
        request: u64,
    },
    /// A target ended a request.
    RunEnded {
        /// Whether it sent a whole answer.
        answered: bool,
        /// The caller's number of the request.
        request: u64,
    },
    /// A target started a request.
    RunStarted {
        /// The caller's number of the request.
        request: u64,
    },
    /// A caller sent a request. A repeat under one key has a new number and the same operation.
    Sent {
        /// Whether the method is idempotent.
        idempotent: bool,
        /// Idempotency key.
        key: Option<String>,
        /// Number of the operation: what must not be carried out twice.
        operation: u64,
        /// The caller's number of the request.
        request: u64,
        /// The service.
        service: String,
    },
}

impl Event {
    /// The change of presence, if it is one.
    pub const fn change(&self) -> Option<Change> {
        if let Self::Presence { change, .. } = self {
            Some(*change)
        } else {
            None
        }
    }
}

/// How a party's presence changed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// It was paused or cut off from others.
    CutOff,
    /// It was killed or crashed.
    Killed,
    /// It runs on or is connected again.
    Restored,
    /// It was started.
    Started,
    /// It ended after a planned stop.
    Stopped,
    /// It was told to stop gracefully.
    Stopping,
}

impl Change {
    /// Whether the party is absent from then on: no new version reaches it.
    pub const fn begins_absence(self) -> bool {
        match self {
            Self::CutOff | Self::Killed | Self::Stopped | Self::Stopping => true,
            Self::Restored | Self::Started => false,
        }
    }
}
