//! The admission aggregate: slots, queue and state of the one local target.
//!
//! Rules kept here:
//! - at most `slots` requests run at once;
//! - a request whose deadline has passed is never started;
//! - after a drain begins, nothing new is admitted and everything admitted is finished;
//! - a refusal is created only for a request that has not been started.

mod gate;
mod service;
mod strain;

pub use gate::{Arrival, Effect, Event, Gate, Limits, Urgency, WorkId};
