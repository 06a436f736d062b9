//! Other daemons: a QUIC endpoint, one connection per peer, one stream per message.
//!
//! Rules kept here:
//! - a request counts as unreachable only while none of its bytes has been handed to a connection;
//! - a reply reaches its requester whole or not at all;
//! - a connection on which nothing arrives within the silence bound, while something is expected, is
//!   closed; the next request opens a new one from a socket of its own.

mod dialer;
mod fleet_key;
mod inbound;
mod outbound;
mod quic_runtime;
mod stream;
mod task;

pub(crate) use inbound::{issue_at_gate, run_at_gate};
pub use quic_runtime::MonoioRuntime;
pub use task::{Peers, PeersStart};
