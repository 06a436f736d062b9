//! Errors at the start of a daemon.

use std::fmt;
use std::net::SocketAddr;

/// Why a daemon can't start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartError {
    /// A listener can't be bound to an address.
    Bind(SocketAddr),
    /// The event loop or the signal handlers can't be set up.
    Runtime,
    /// The fleet's secret is not 64 hexadecimal digits.
    Secret,
    /// The settings name neither the platform's store nor both of its services.
    Source,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(address) => write!(f, "can't listen on {address}"),
            Self::Runtime => f.write_str("can't create the event loop"),
            Self::Secret => f.write_str("peer.secret must be 64 hexadecimal digits"),
            Self::Source => f.write_str("the settings name no complete source of configuration"),
        }
    }
}

impl std::error::Error for StartError {}
