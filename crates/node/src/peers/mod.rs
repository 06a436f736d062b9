//! Communication with other daemons: requests to them and requests from them.
//!
//! Two kinds of link transport the same messages: QUIC with TLS 1.3 between daemons that share a secret,
//! and plain TCP where access is restricted by the network alone.
//!
//! Invariants:
//! - a request fails as unreachable only if none of its bytes has been passed to a connection;
//! - a reply is delivered complete or not at all;
//! - a connection on which nothing arrives within the silence timeout while a reply is expected is
//!   closed; the next request opens a new one from another port.

mod bodies;
mod inbound;
mod link;
mod quic;
mod task;
mod tcp;

pub(crate) use inbound::{issue_at_gate, run_at_gate};
pub use task::{Peers, PeersStart};
