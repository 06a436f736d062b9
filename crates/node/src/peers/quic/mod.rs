//! A QUIC endpoint: one connection per peer, one stream per message.

mod accept;
mod dialer;
mod fleet_key;
mod link;
mod outbound;
mod runtime;
mod stream;

pub(super) use link::QuicLink;
