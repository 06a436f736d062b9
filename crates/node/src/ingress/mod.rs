//! Requests from callers: a listener and one task per connection, which runs one call at a time.
//!
//! Rules:
//! - every request gets one complete answer, or its connection is closed;
//! - a caller that closes its connection cancels its call;
//! - invalid input affects only its own connection, which is answered or closed.

mod attempt;
mod connection;
mod identity;
mod listener;
mod reply;
mod request;
mod serve;

pub use listener::{Ingress, IngressStart};
