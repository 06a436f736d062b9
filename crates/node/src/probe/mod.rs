//! Measuring the local target.
//!
//! Rules kept here:
//! - this is the only place in the whole system that measures the target, and each probe is paid for
//!   by the budget first, so that no number of daemons can exceed it;
//! - only a refused connection shows that the target is down: a late or odd answer of an endpoint
//!   that lags and misleads is no proof against the traffic that passes.

mod endpoint;
mod task;

pub use task::{Probe, ProbeStart};
