//! The admission aggregate: slots, queue and state of the one local target.
//!
//! Rules kept here:
//! - at most `slots` requests run at once, and fewer where the target does more work with fewer;
//! - a request whose deadline has passed is never started;
//! - waiting requests start in the order of their urgency, those of one kind that can still be answered in
//!   time before those that can't;
//! - where the target states its load, none starts while its machine is strained, unless waiting has cost
//!   as much as starting at once would;
//! - after a drain begins, nothing new is admitted and everything admitted is finished;
//! - a refusal is created only for a request that has not been started.

mod gate;
mod queue;
mod recent;
mod saturation;
mod service;
mod strain;

pub use gate::{Arrival, Effect, Event, Gate, Limits, Urgency, WorkId};
