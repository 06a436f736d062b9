//! Consequences of a refusal for the call.

use super::PickKind;
use crate::outcome::{Loss, Outcome, Refusal};

/// The outcome of a refused request with an idempotency key.
///
/// An earlier request with the same key may have run, so only the daemon whose ledger holds the key
/// can state that the request has not run. Other refusals leave the outcome unknown.
pub fn keyed_outcome(refusal: Refusal) -> Outcome {
    match refusal {
        Refusal::Budget
        | Refusal::Link
        | Refusal::Memory
        | Refusal::Misdirected
        | Refusal::NoTarget
        | Refusal::NotReady
        | Refusal::Overload
        | Refusal::PeerLink
        | Refusal::Stopping
        | Refusal::Unreachable
        | Refusal::UnknownService
        | Refusal::WrongTarget => Outcome::Unknown(Loss::KeyUnreachable),
        Refusal::Cancelled
        | Refusal::Cold
        | Refusal::Dependency
        | Refusal::Down
        | Refusal::Draining
        | Refusal::Evacuated
        | Refusal::Expired
        | Refusal::Full
        | Refusal::KeyInvalid
        | Refusal::KeyMismatch
        | Refusal::Malformed
        | Refusal::Shed
        | Refusal::Strained
        | Refusal::TooLarge => Outcome::Refused(refusal),
    }
}

/// Whether the refusal of a repeat counts for the first attempt under the same request id as well: the daemon that keeps
/// the id has decided. Otherwise that daemon wasn't asked, and the first attempt may have run.
pub(super) fn is_definite(refusal: Refusal) -> bool {
    match refusal {
        Refusal::Link | Refusal::Memory | Refusal::PeerLink | Refusal::Unreachable => false,
        Refusal::Budget
        | Refusal::Cancelled
        | Refusal::Cold
        | Refusal::Dependency
        | Refusal::Down
        | Refusal::Draining
        | Refusal::Evacuated
        | Refusal::Expired
        | Refusal::Full
        | Refusal::KeyInvalid
        | Refusal::KeyMismatch
        | Refusal::Malformed
        | Refusal::Misdirected
        | Refusal::NoTarget
        | Refusal::NotReady
        | Refusal::Overload
        | Refusal::Shed
        | Refusal::Stopping
        | Refusal::Strained
        | Refusal::TooLarge
        | Refusal::UnknownService
        | Refusal::WrongTarget => true,
    }
}

/// Whether another target may accept a request refused for this reason.
pub(super) fn may_reroute(refusal: Refusal) -> bool {
    match refusal {
        // A daemon cancels a queued request when its connection is lost, and refuses a repeat of
        // that request as cancelled.
        Refusal::Cancelled
        | Refusal::Cold
        | Refusal::Dependency
        | Refusal::Down
        | Refusal::Draining
        | Refusal::Evacuated
        | Refusal::Full
        | Refusal::Memory
        | Refusal::Misdirected
        | Refusal::NotReady
        | Refusal::PeerLink
        | Refusal::Shed
        | Refusal::Strained
        | Refusal::Unreachable
        | Refusal::WrongTarget => true,
        Refusal::Budget
        | Refusal::Expired
        | Refusal::KeyInvalid
        | Refusal::KeyMismatch
        | Refusal::Link
        | Refusal::Malformed
        | Refusal::NoTarget
        | Refusal::Overload
        | Refusal::Stopping
        | Refusal::TooLarge
        | Refusal::UnknownService => false,
    }
}

/// The kind of pick that follows a refusal. A request that the target has rejected itself has cost
/// the target work, so sending the request to another target uses the retry budget. A refusal by the
/// target's daemon has cost no work.
pub(super) fn reroute_kind(refusal: Refusal) -> PickKind {
    if refusal.is_by_target() {
        PickKind::Retry
    } else {
        PickKind::Reroute
    }
}
