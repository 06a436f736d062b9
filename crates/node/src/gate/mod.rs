//! The target beside this daemon: admission, idempotency keys, connections to the target.
//!
//! Rules kept here:
//! - every request gets exactly one reply, unless its sender has cancelled;
//! - "refused" is sent only for a request of which no byte went to the target, or which the target
//!   itself declared not run;
//! - an execution that is remembered goes on when its caller leaves, so that a repeat can join it.

mod answers;
mod conn;
mod memory;
mod task;
mod work;

pub use task::{GateStart, Gatekeeper};
