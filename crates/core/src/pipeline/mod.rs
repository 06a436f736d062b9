//! Requests that a caller sends on one connection, possibly further ones before the first is answered.
//!
//! Rules kept here:
//! - answers are written in the order of the requests;
//! - idempotent requests are passed on concurrently; any other request is passed on only once the answers
//!   before it have been written, and nothing behind it before its own answer is ready (RFC 9112,
//!   section 9.3.2);
//! - nothing is passed on behind an answer that closes the connection, so that callers may send again
//!   whatever is behind it;
//! - the requests in flight, and the bytes of requests and held answers, are bounded; beyond the bounds
//!   no further request is read.

mod aggregate;
mod event;

pub use aggregate::Pipeline;
pub use event::{Effect, Event, Limits, Position};
