//! What a call is told and what it asks of its owner.

use std::fmt;
use std::time::Duration;

use crate::ids::{InstanceId, TargetId};
use crate::outcome::{AttemptResult, Outcome, Refusal};
use crate::routing::Choice;
use crate::time::Time;

/// One attempt of a call, numbered from 0.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId(pub u8);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "attempt{}", self.0)
    }
}

/// What is known of a call when it arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Spec {
    /// Targets that it may be sent to; a daemon's refusal of what it has not passed on doesn't count.
    pub attempts: usize,
    /// When its answer is useless.
    pub deadline: Time,
    /// Whether a second target may be asked while the first is late.
    pub hedge: bool,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// The only target that may run it, named by its idempotency key. Its ledger runs the request at
    /// most once, so the request may be sent to it again.
    pub pinned: Option<TargetId>,
}

/// Why a target is picked.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PickKind {
    /// For the first attempt.
    First,
    /// For a second attempt beside one that is late; takes from the retry budget.
    Hedge,
    /// After a definite refusal.
    Reroute,
    /// After a loss; takes from the retry budget.
    Retry,
}

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The caller closed its connection.
    CallerDisconnected,
    /// An attempt ended.
    Ended(AttemptId, AttemptResult),
    /// No target was picked.
    NotPicked(Refusal),
    /// A target was picked.
    Picked(Choice),
    /// The time named by [`Call::next_timer`](super::Call::next_timer) has come.
    Timer,
}

/// What the owner of a call must do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Stop waiting for an attempt and tell its daemon.
    Cancel(AttemptId),
    /// Tell the caller; the answer is that of the attempt, if one is named.
    Finish(Outcome, Option<AttemptId>),
    /// Ask the router for a target.
    Pick(PickKind),
    /// Send the request again to the run that may have received it, under the same request id.
    Repeat {
        /// The new attempt's number.
        attempt: AttemptId,
        /// The only run that can tell whether the request has run.
        instance: InstanceId,
        /// The attempt whose request id is used again.
        original: AttemptId,
        /// The target.
        target: TargetId,
    },
    /// Send the request to a target.
    Send {
        /// The attempt's number.
        attempt: AttemptId,
        /// Longest wait for a slot before the daemon should refuse.
        max_wait: Duration,
        /// The target.
        target: TargetId,
    },
}
