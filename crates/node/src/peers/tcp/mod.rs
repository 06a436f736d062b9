//! The TCP link: each connection handles one request at a time, and idle connections are reused.
//!
//! Connections are neither encrypted nor authenticated, so the network must restrict access to the
//! peers' port.
//!
//! Protocol:
//! - a cancelled request closes its connection, which cancels the work at the peer;
//! - while a request runs, the requester sends keep-alive frames on a silent connection, and the
//!   peer answers each.

mod accept;
mod conn;
mod frame;
mod link;
mod pool;

pub(super) use link::TcpLink;
