//! Admission, idempotency keys and connections for the local target.
//!
//! Rules:
//! - every request gets exactly one reply, unless its sender has cancelled it;
//! - a request is reported as refused only if none of its bytes were sent to the target, or if the
//!   target itself declared that it was not run;
//! - a running request that has a record continues after its caller has disconnected, so that a
//!   repeat can join it.

mod answers;
mod conn;
mod records;
mod task;
mod work;

pub use task::{GateStart, GateTask};
