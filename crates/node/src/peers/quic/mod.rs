//! The QUIC link: one endpoint, one outgoing connection per peer, one bidirectional stream per request.

mod accept;
mod dialer;
mod fleet_key;
mod link;
mod outbound;
mod runtime;
mod stream;

pub(super) use link::QuicLink;
