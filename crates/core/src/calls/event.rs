//! Events and effects of a call.

use std::fmt;
use std::time::Duration;

use crate::ids::{InstanceId, TargetId};
use crate::outcome::{AttemptResult, Outcome, Refusal};
use crate::routing::Choice;
use crate::stop::StopLimits;
use crate::time::Time;

/// The number of an attempt within its call, from 0.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId(pub u8);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "attempt{}", self.0)
    }
}

/// The properties of a call that are fixed on arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Spec {
    /// Maximum number of attempts that may reach a target. A request that a daemon refuses without
    /// forwarding it doesn't count.
    pub attempts: usize,
    /// Time after which the caller has no use for an answer.
    pub deadline: Time,
    /// Whether and when a second attempt may be sent while the first one is late.
    pub hedge: Hedge,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The target named by the idempotency key; `None` without a key. No other target may run the
    /// request. The target's ledger runs it at most once, so it may be sent there again.
    pub pinned: Option<TargetId>,
}

/// When a second attempt is due while the first one is late.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Hedge {
    /// After this delay. The second attempt doesn't wait for a slot longer than its choice states.
    After(Duration),
    /// After the delay of the choice of the first target. The second attempt is treated like a first one.
    AfterChoice,
    /// No second attempt.
    #[default]
    Never,
}

/// Why a call requests a target from the router.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PickKind {
    /// The first attempt of a call.
    First,
    /// A second attempt while the first one is late; uses the retry budget.
    Hedge,
    /// An attempt after a definite refusal that has cost no target any work.
    Reroute,
    /// An attempt after a lost or failed one, or one rejected by its target; uses the retry budget.
    Retry,
}

/// An input to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The caller closed its connection before the call finished.
    CallerClosed,
    /// An attempt ended; a second end of the same attempt is ignored.
    Ended(AttemptId, AttemptResult),
    /// The requested hedge is not sent. Retries are not affected.
    HedgeSuppressed,
    /// The requested pick was denied, or no target was eligible.
    NotPicked(Refusal),
    /// The requested pick returned a target.
    Picked(Choice),
    /// The daemon stops. The deadline that targets are told stays as it is.
    Stop(StopLimits),
    /// The time returned by [`Call::next_timer`](super::Call::next_timer) has been reached.
    Timer,
}

/// An action that the owner of a call must take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Abandon an attempt and send a cancellation to its daemon.
    Cancel(AttemptId),
    /// Reply to the caller with the outcome, and with the answer of the given attempt if there is
    /// one.
    Finish(Outcome, Option<AttemptId>),
    /// Request a target from the router.
    Pick(PickKind),
    /// Send the request again to the instance that may have received it, under the same request id.
    Repeat {
        /// The number of the new attempt.
        attempt: AttemptId,
        /// The instance that may have received the request. Only this instance has a record of
        /// whether the request has run.
        instance: InstanceId,
        /// The attempt whose request id is reused.
        original: AttemptId,
        /// The target of the original attempt.
        target: TargetId,
    },
    /// Send the request to a target under a new request id.
    Send {
        /// The number of the new attempt.
        attempt: AttemptId,
        /// Maximum wait for a slot, after which the daemon should refuse the request;
        /// [`Duration::MAX`] for no limit.
        max_wait: Duration,
        /// The target to send to.
        target: TargetId,
    },
}
