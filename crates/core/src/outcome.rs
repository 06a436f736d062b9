//! Outcomes of a caller's request and of each attempt to have it answered.
//!
//! Invariant: a refusal states that the request was not run. Only a side that knows may create one:
//! the gate that holds the request, the target itself, or the entry for a request it never sent.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a request was definitely not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Refusal {
    /// The retry budget is spent.
    Budget,
    /// The caller cancelled before the request got a slot.
    Cancelled,
    /// The target is not reachable from its own daemon.
    Down,
    /// The target takes no new work.
    Draining,
    /// The deadline passed before the request got a slot.
    Expired,
    /// The target's queue is full or its wait too long.
    Full,
    /// The idempotency key was not issued by hawthornwall.
    KeyInvalid,
    /// The idempotency key belongs to another request or another service.
    KeyMismatch,
    /// The request breaks HTTP's syntax, or its end is ambiguous.
    Malformed,
    /// No target of the service can take the request.
    NoTarget,
    /// The daemon has no configuration yet.
    NotReady,
    /// This daemon holds as many requests of the service as it may.
    Overload,
    /// The target shed the request.
    Shed,
    /// The target's machine is slow at this moment.
    Strained,
    /// The request's head or body exceeds its limit.
    TooLarge,
    /// The daemon beside the target could not be reached, so nothing was sent.
    Unreachable,
    /// No configured service matches the request.
    UnknownService,
    /// The daemon that got the request is not beside that target.
    WrongTarget,
}

impl Refusal {
    /// The name in headers, logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Budget => "retry-budget-spent",
            Self::Cancelled => "cancelled",
            Self::Down => "target-down",
            Self::Draining => "target-draining",
            Self::Expired => "deadline-expired",
            Self::Full => "target-full",
            Self::KeyInvalid => "key-invalid",
            Self::KeyMismatch => "key-mismatch",
            Self::Malformed => "malformed-request",
            Self::NoTarget => "no-target",
            Self::NotReady => "not-ready",
            Self::Overload => "overload",
            Self::Shed => "target-shed",
            Self::Strained => "target-strained",
            Self::TooLarge => "too-large",
            Self::Unreachable => "daemon-unreachable",
            Self::UnknownService => "unknown-service",
            Self::WrongTarget => "wrong-target",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Why an attempt that may have run has no whole answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Loss {
    /// The attempt was cancelled after it was sent.
    Cancelled,
    /// The connection closed before a whole answer arrived.
    Closed,
    /// The deadline passed while the request ran.
    Expired,
    /// The run that held the idempotency key is gone, or has dropped the key's record.
    KeyForgotten,
    /// The run that issued the idempotency key could not be asked what became of it.
    KeyUnreachable,
    /// The answer broke the protocol or exceeded the size limit.
    Malformed,
}

impl Loss {
    /// The name in headers, logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Cancelled => "attempt-cancelled",
            Self::Closed => "connection-closed",
            Self::Expired => "deadline-expired-running",
            Self::KeyForgotten => "key-forgotten",
            Self::KeyUnreachable => "key-unreachable",
            Self::Malformed => "answer-malformed",
        }
    }
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum AttemptResult {
    /// A whole answer arrived.
    Answered,
    /// A whole answer arrived by which the target reports a failure of its own.
    Failed,
    /// The attempt may have run and has no whole answer.
    Lost(Loss),
    /// The attempt was not run.
    Refused(Refusal),
}

/// What the caller is told about its request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Outcome {
    /// The target's whole answer follows.
    Answered,
    /// No answer; repeating the request is harmless because it is idempotent.
    Failed(Loss),
    /// The request was not run.
    Refused(Refusal),
    /// The request may have run once; it was not and will not be sent again.
    Unknown(Loss),
}

impl Outcome {
    /// The name in the `Hawthornwall-Outcome` header, logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed(_) => "failed",
            Self::Refused(_) => "refused",
            Self::Unknown(_) => "unknown",
        }
    }

    /// The reason in the `Hawthornwall-Reason` header, absent for an answer.
    pub const fn reason(self) -> Option<&'static str> {
        match self {
            Self::Answered => None,
            Self::Failed(loss) | Self::Unknown(loss) => Some(loss.name()),
            Self::Refused(refusal) => Some(refusal.name()),
        }
    }
}
