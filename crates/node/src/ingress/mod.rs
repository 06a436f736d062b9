//! Callers: a listener, one task per connection, one call at a time on each.
//!
//! Rules kept here:
//! - every request on a connection gets one whole answer, or the connection closes;
//! - a caller that closes its connection cancels its call;
//! - whatever a caller sends, the daemon answers or closes the connection and goes on serving.

mod attempt;
mod connection;
mod identity;
mod listener;
mod reply;
mod request;
mod serve;

pub use listener::{Ingress, IngressStart};
