//! The call aggregate: one request of a caller from its arrival to its outcome.
//!
//! Invariants:
//! - a non-idempotent request is sent again only after a definite refusal, or under the same
//!   request id to the same instance, which runs it at most once; so at most one attempt can have
//!   run;
//! - an idempotent request that fails at its target is sent to another target; if no attempt is
//!   answered without a failure, the caller gets the failed answer;
//! - once the daemon stops, no attempt begins that can't be relied on to finish before its end, and what still runs
//!   then ends as [`Loss::Stopped`](crate::outcome::Loss::Stopped);
//! - a call finishes exactly once, and all open attempts are cancelled at that point;
//! - a call never makes more than [`MAX_ATTEMPTS`] attempts;
//! - the outcome is "refused" only if every attempt was refused or none was made; for a keyed
//!   request, only if the daemon whose ledger holds the key refused it.

mod budget;
mod call;
mod event;
mod hedging;
mod refusal;
mod resend;
mod return_delay;

pub use budget::RetryBudget;
pub use call::{Call, MAX_ATTEMPTS, MAX_SENDS};
pub use event::{AttemptId, Effect, Event, Hedge, PickKind, Spec};
pub use hedging::{HedgeConditions, Hedging, MIN_SAMPLES as MIN_HEDGE_SAMPLES, Suppression};
pub use refusal::keyed_outcome;
pub use return_delay::ReturnDelays;
