//! Deduplication of requests, by idempotency key or by request id.
//!
//! A key names the daemon run that issued it. Only that run executes requests under the key, and
//! only while its [`Ledger`] records that the key has not been used. The guarantee depends on no
//! clock, lease or agreement between daemons.
//!
//! Requests without a key are protected against repeats sent by the daemons themselves:
//! [`RecentRequests`] records their request ids for as long as such a repeat can arrive.
//!
//! Invariants:
//! - a key starts at most one execution, unless the execution was definitely refused;
//! - a record is dropped only because of its age, never to make room;
//! - a key without a record never starts an execution.

mod key;
mod ledger;
mod recent;

pub use key::{Key, ParseKeyError};
pub use ledger::{Decision, KeyLimits, KeyResult, Ledger};
pub use recent::{RecentRequests, RecentResult};
