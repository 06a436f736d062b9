//! Other daemons: requests to them, and requests that they send.
//!
//! Two kinds of link carry the same messages: QUIC with TLS 1.3 between daemons that share a secret, and
//! plain TCP where the network alone keeps others away.
//!
//! Rules kept here:
//! - a request counts as unreachable only while none of its bytes has been handed to a connection;
//! - a reply reaches its requester whole or not at all;
//! - a connection on which nothing arrives within the silence bound, while something is expected, is
//!   closed; the next request opens a new one from another port.

mod inbound;
mod link;
mod quic;
mod task;
mod tcp;

pub(crate) use inbound::{issue_at_gate, run_at_gate};
pub use task::{Peers, PeersStart};
