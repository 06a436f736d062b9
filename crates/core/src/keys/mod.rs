//! The key aggregate: idempotency keys issued by this daemon and what became of them.
//!
//! A key names the run of the daemon that issued it. Only that run executes requests under the key,
//! and only if its ledger still holds the key as never started. No clock, lease or agreement between
//! daemons enters the guarantee.
//!
//! Requests without a key get the same protection against repeats by the system itself, under their
//! request id and for as long as such a repeat may arrive.
//!
//! Rules kept here:
//! - a key starts at most one execution, unless the execution was definitely refused;
//! - a record is dropped only when its time has passed, never to make room;
//! - a key without a record never starts.

mod key;
mod ledger;
mod recent;

pub use key::{Key, ParseKeyError};
pub use ledger::{Decision, KeyEnd, KeyLimits, Ledger};
pub use recent::{RecentEnd, RecentRuns};
