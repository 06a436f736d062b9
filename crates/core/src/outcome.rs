//! Outcomes of a caller's request and results of the attempts made for it.
//!
//! Invariant: a refusal guarantees that the request was not run. Only three parties can guarantee
//! that and may create one: the gate that holds the request, the target itself, and the ingress for
//! a request that it never sent.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Reason why a request was certainly not run. The order of the variants is part of the protocol between
/// daemons, so that new ones go last.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Refusal {
    /// The retry budget is spent.
    Budget,
    /// The caller cancelled the request before it got a slot.
    Cancelled,
    /// The target is not reachable from its own daemon.
    Down,
    /// The target accepts no new requests.
    Draining,
    /// The deadline passed before the request got a slot.
    Expired,
    /// The target's queue is full, or the estimated wait is too long.
    Full,
    /// The idempotency key was not issued by hawthornwall.
    KeyInvalid,
    /// The idempotency key belongs to another request or another service.
    KeyMismatch,
    /// The request violates HTTP syntax, or its end is ambiguous.
    Malformed,
    /// No target of the service can take the request.
    NoTarget,
    /// The daemon has not received a configuration yet.
    NotReady,
    /// The ingress already holds the maximum number of requests for the service.
    Overload,
    /// The target rejected the request because of its own load.
    Shed,
    /// The target's machine is too slow at present.
    Strained,
    /// The request's head or body exceeds the size limit.
    TooLarge,
    /// The daemon of the target could not be reached, so nothing was sent.
    Unreachable,
    /// No configured service matches the request.
    UnknownService,
    /// The daemon that received the request serves another target than the chosen one.
    WrongTarget,
    /// The target rejected the request because the request names another target.
    Misdirected,
    /// The daemon stops, and the request can't be expected to finish before that.
    Stopping,
    /// The target is cold and already gets as many requests per second as it can handle.
    Cold,
    /// A service that the request's work calls has no room, so that the work couldn't be finished.
    Dependency,
    /// The target's failure domain is being evacuated.
    Evacuated,
    /// The link of this daemon's machine can't carry the request in time.
    Link,
    /// The memory for buffered requests and answers is spent.
    Memory,
    /// The link of the target's machine can't carry the body in time.
    PeerLink,
}

impl Refusal {
    /// Whether the target itself has received and rejected the request, rather than a daemon before
    /// anything was sent. [`Self::Draining`] doesn't count: a target may answer so too, but its daemon
    /// refuses all further requests from then on.
    ///
    /// ```
    /// use hawthornwall_core::outcome::Refusal;
    ///
    /// assert!(Refusal::Misdirected.is_by_target());
    /// assert!(!Refusal::WrongTarget.is_by_target());
    /// ```
    pub const fn is_by_target(self) -> bool {
        match self {
            Self::Misdirected | Self::Shed => true,
            Self::Budget
            | Self::Cancelled
            | Self::Cold
            | Self::Dependency
            | Self::Down
            | Self::Draining
            | Self::Evacuated
            | Self::Expired
            | Self::Full
            | Self::KeyInvalid
            | Self::KeyMismatch
            | Self::Link
            | Self::Malformed
            | Self::Memory
            | Self::NoTarget
            | Self::NotReady
            | Self::Overload
            | Self::PeerLink
            | Self::Stopping
            | Self::Strained
            | Self::TooLarge
            | Self::Unreachable
            | Self::UnknownService
            | Self::WrongTarget => false,
        }
    }

    /// Name in headers, logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Budget => "retry-budget-spent",
            Self::Cancelled => "cancelled",
            Self::Cold => "target-cold",
            Self::Dependency => "dependency-full",
            Self::Down => "target-down",
            Self::Draining => "target-draining",
            Self::Evacuated => "domain-evacuated",
            Self::Expired => "deadline-expired",
            Self::Full => "target-full",
            Self::KeyInvalid => "key-invalid",
            Self::KeyMismatch => "key-mismatch",
            Self::Link => "link-saturated",
            Self::Malformed => "malformed-request",
            Self::Memory => "memory-full",
            Self::Misdirected => "target-misdirected",
            Self::NoTarget => "no-target",
            Self::NotReady => "not-ready",
            Self::Overload => "overload",
            Self::PeerLink => "target-link-saturated",
            Self::Shed => "target-shed",
            Self::Stopping => "daemon-stopping",
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

/// Reason why an attempt that may have run has no complete answer. The order of the variants is part of the
/// protocol between daemons, so that new ones go last.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Loss {
    /// The attempt was cancelled after it had been sent.
    Cancelled,
    /// The connection closed before a complete answer arrived.
    Closed,
    /// The deadline passed while the request was running.
    Expired,
    /// The run of the daemon that held the idempotency key has ended, or it has discarded the key's
    /// record.
    KeyForgotten,
    /// The run of the daemon that issued the idempotency key could not be asked for the request's
    /// outcome.
    KeyUnreachable,
    /// The answer violated the protocol or exceeded the size limit.
    Malformed,
    /// The daemon that received the request stopped while the request was running.
    Stopped,
}

impl Loss {
    /// Name in headers, logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Cancelled => "attempt-cancelled",
            Self::Closed => "connection-closed",
            Self::Expired => "deadline-expired-running",
            Self::KeyForgotten => "key-forgotten",
            Self::KeyUnreachable => "key-unreachable",
            Self::Malformed => "answer-malformed",
            Self::Stopped => "daemon-stopped",
        }
    }
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Result of one attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum AttemptResult {
    /// A complete answer arrived.
    Answered,
    /// A complete answer arrived in which the target reports a failure of its own.
    Failed,
    /// The attempt may have run and has no complete answer.
    Lost(Loss),
    /// The attempt was not run.
    Refused(Refusal),
}

/// Outcome of a request as reported to the caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Outcome {
    /// The target's complete answer follows.
    Answered,
    /// There is no answer. The request is idempotent, so the caller can safely repeat it.
    Failed(Loss),
    /// The request was not run.
    Refused(Refusal),
    /// The request may have run once; it has not been repeated and will not be.
    Unknown(Loss),
}

impl Outcome {
    /// Name in the `Hawthornwall-Outcome` header, logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed(_) => "failed",
            Self::Refused(_) => "refused",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Reason in the `Hawthornwall-Reason` header; `None` for an answer.
    pub const fn reason(self) -> Option<&'static str> {
        match self {
            Self::Answered => None,
            Self::Failed(loss) | Self::Unknown(loss) => Some(loss.name()),
            Self::Refused(refusal) => Some(refusal.name()),
        }
    }
}
