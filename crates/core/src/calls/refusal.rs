//! What a refusal means for the call that meets it.

use super::PickKind;
use crate::outcome::{Loss, Outcome, Refusal};

/// What a caller is told of a refused request under a key.
///
/// An earlier request may have run under the same key, so only the ledger that knows the key may say
/// "not run". Refusals by this daemon alone leave the outcome unknown.
pub fn keyed_outcome(refusal: Refusal) -> Outcome {
    match refusal {
        Refusal::Budget
        | Refusal::NoTarget
        | Refusal::NotReady
        | Refusal::Overload
        | Refusal::Unreachable
        | Refusal::UnknownService
        | Refusal::WrongTarget => Outcome::Unknown(Loss::KeyUnreachable),
        Refusal::Cancelled
        | Refusal::Down
        | Refusal::Draining
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

/// Whether another target may accept what this one refused.
pub(super) fn may_reroute(refusal: Refusal) -> bool {
    match refusal {
        // The run cancels a waiting request when its connection is lost; a repeat learns of it.
        Refusal::Cancelled
        | Refusal::Down
        | Refusal::Draining
        | Refusal::Full
        | Refusal::NotReady
        | Refusal::Shed
        | Refusal::Strained
        | Refusal::Unreachable
        | Refusal::WrongTarget => true,
        Refusal::Budget
        | Refusal::Expired
        | Refusal::KeyInvalid
        | Refusal::KeyMismatch
        | Refusal::Malformed
        | Refusal::NoTarget
        | Refusal::Overload
        | Refusal::TooLarge
        | Refusal::UnknownService => false,
    }
}

/// What sending a refused request elsewhere counts as. What a target itself has shed has cost it work,
/// so that it takes from the retry budget; what its daemon has refused has not.
pub(super) fn reroute_kind(refusal: Refusal) -> PickKind {
    if refusal == Refusal::Shed {
        PickKind::Retry
    } else {
        PickKind::Reroute
    }
}
