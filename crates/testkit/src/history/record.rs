//! Records of a history.

use serde::{Deserialize, Serialize};

/// One line of a history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Wall clock time in microseconds since the Unix epoch.
    pub at: u64,
    /// What the party did or observed.
    pub event: Event,
    /// Name of the caller, target, daemon or platform that the record describes.
    pub party: String,
}

/// An action or observation of a party.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Event {
    /// A daemon's configuration version came into force.
    InForce {
        /// Chained digest of the version.
        digest: u64,
        /// Instance ID of the daemon process, in its text form.
        instance: String,
        /// Number of the configuration version.
        version: u64,
    },
    /// A target began to leave.
    Leaving,
    /// The presence of a party changed. The process that caused the change records it under the
    /// party's name.
    Presence {
        /// For a daemon, the name of its local target.
        #[serde(default)]
        beside: Option<String>,
        /// How the presence changed.
        change: Change,
    },
    /// A target answered a probe.
    Probed {
        /// Slot time that the probe used, in microseconds.
        cost: u64,
    },
    /// The platform published a version.
    Published {
        /// Number of the configuration version.
        version: u64,
    },
    /// A caller received an answer, or its connection broke.
    Received {
        /// Request number in the body of the answer; `None` if the body has none.
        body: Option<u64>,
        /// Value of `Hawthornwall-Outcome`; empty if the connection broke.
        outcome: String,
        /// Value of `Hawthornwall-Reason`.
        reason: String,
        /// Number that the caller assigned to the request.
        request: u64,
        /// HTTP status code; 0 if the connection broke.
        status: u16,
        /// Whether the head and body were complete and the body was unaltered.
        whole: bool,
    },
    /// A caller selected the daemon for a request. Histories may omit this record.
    Routed {
        /// Name of the daemon in the history.
        daemon: String,
        /// Number that the caller assigned to the request.
        request: u64,
    },
    /// A target finished or aborted a request.
    RunEnded {
        /// Whether the target sent a complete answer.
        answered: bool,
        /// Number that the caller assigned to the request.
        request: u64,
    },
    /// A target started a request.
    RunStarted {
        /// Number that the caller assigned to the request.
        request: u64,
    },
    /// A caller sent a request. A repeat with the same idempotency key has a new request number
    /// and the same operation number.
    Sent {
        /// Whether the method of the request is idempotent.
        idempotent: bool,
        /// Idempotency key of the request, if it has one.
        key: Option<String>,
        /// Number shared by all requests for one operation. A non-idempotent operation may run only
        /// once.
        operation: u64,
        /// Number that the caller assigned to the request.
        request: u64,
        /// Name of the requested service.
        service: String,
    },
}

impl Event {
    /// Returns the change if this is [`Event::Presence`].
    pub const fn change(&self) -> Option<Change> {
        if let Self::Presence { change, .. } = self {
            Some(*change)
        } else {
            None
        }
    }
}

/// Change in the presence of a party.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The party was paused or disconnected from other parties.
    CutOff,
    /// The party was killed or crashed.
    Killed,
    /// The party was resumed or reconnected.
    Restored,
    /// The party was started.
    Started,
    /// The party exited after a planned stop.
    Stopped,
    /// A graceful stop of the party was requested.
    Stopping,
}

impl Change {
    /// Whether the party is absent after this change. Absent parties receive no new versions.
    pub const fn begins_absence(self) -> bool {
        match self {
            Self::CutOff | Self::Killed | Self::Stopped | Self::Stopping => true,
            Self::Restored | Self::Started => false,
        }
    }
}
