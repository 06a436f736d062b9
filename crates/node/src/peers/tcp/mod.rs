//! Plain TCP: each connection carries one request at a time, and idle ones are kept for later requests.
//!
//! Nothing is encrypted and nobody is authenticated, so the network must keep others away from the
//! peers' port.
//!
//! Rules kept here:
//! - a connection whose request nobody waits for any more is closed, which cancels the work;
//! - while a request runs, either side answers a sign of life that the other asks for.

mod accept;
mod conn;
mod frame;
mod link;
mod pool;

pub(super) use link::TcpLink;
