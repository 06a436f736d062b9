//! Requests from callers: a listener and one task per connection, which runs its calls.
//!
//! Rules:
//! - every request gets one complete answer, or its connection is closed;
//! - a caller that closes its connection cancels its calls;
//! - which requests of a connection are passed on, and when, is decided by its `Pipeline`;
//! - invalid input affects only its own connection, which is answered or closed.

mod attempt;
mod connection;
mod driver;
mod identity;
mod incoming;
mod limits;
mod listener;
mod reply;
mod request;
mod serve;
mod stop;

pub use listener::{Ingress, IngressStart};
