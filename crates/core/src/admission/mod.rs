//! Admission control for the local target: its slots, queue and state.
//!
//! Invariants:
//! - at most `slots` requests run at once, and fewer while the target completes more work with
//!   fewer;
//! - while the target states a limit on requests per second, no more start than it allows;
//! - while the target is cold, no more start than the operators allow for a cold target;
//! - a request whose deadline has passed is never started;
//! - waiting requests start in order of priority; within a kind, those that can still meet their
//!   objective start before those that can't;
//! - while the target reports a strained machine, no request starts until waiting has cost as much
//!   as an immediate start would;
//! - while the target reports more requests than the gate knows of, those that it may still hold count as
//!   running;
//! - after a drain begins, no request is admitted and every admitted request is finished;
//! - after the target has stated that it leaves, no request is started;
//! - only a request that has not been started is refused.

pub mod cold;
mod event;
mod gate;
mod holdover;
mod name;
mod queue;
mod rate;
mod recent;
mod saturation;
mod service;
mod strain;

pub use event::{Arrival, Effect, Event, Limits, Priority, RunEnd, WorkId};
pub use gate::Gate;
