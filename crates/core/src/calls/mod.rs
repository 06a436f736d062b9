//! The call aggregate: one caller's request from its arrival to its outcome.
//!
//! Rules kept here:
//! - a non-idempotent request is sent again only after a definite refusal, or under the same request
//!   id to the same run, which runs it at most once; so at most one attempt of it can have run;
//! - an idempotent request that its target has failed is tried elsewhere; if nothing better comes, the
//!   caller gets the target's own failure;
//! - a call finishes exactly once, and every attempt still open is cancelled then;
//! - a call never makes more than [`MAX_ATTEMPTS`] attempts;
//! - "refused" is reported only if every attempt was refused or none was made, and for a keyed
//!   request only if the ledger that knows the key refused.

mod budget;
mod call;
mod event;
mod refusal;
mod resend;

pub use budget::RetryBudget;
pub use call::{Call, MAX_ATTEMPTS, MAX_SENDS};
pub use event::{AttemptId, Effect, Event, PickKind, Spec};
pub use refusal::keyed_outcome;
