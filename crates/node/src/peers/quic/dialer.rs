//! Opens connections to peers.
//!
//! All connections share the listening socket, so something between two daemons that has lost track
//! of that pair of addresses silences every connection between them. A connection that replaces a
//! silent one therefore gets a socket, and so a port, of its own.

use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use quinn::{ClientConfig, Connection, Endpoint, EndpointConfig};

use super::fleet_key::SERVER_NAME;
use super::runtime::{MonoioRuntime, Traffic};

/// Which socket a connection uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Path {
    /// The listening socket.
    Common,
    /// A new one.
    Fresh,
}

/// What is needed to open connections.
#[derive(Clone)]
pub(super) struct Dialer {
    pub client: ClientConfig,
    pub common: Endpoint,
    /// Address of the listening socket, which new sockets use too.
    pub ip: IpAddr,
    pub traffic: Traffic,
}

impl Dialer {
    /// Opens a connection, or gives up after `limit`.
    pub async fn dial(self, to: SocketAddr, path: Path, limit: Duration) -> Option<Connection> {
        let endpoint = match path {
            Path::Common => self.common,
            // The endpoint lives on with its connection.
            Path::Fresh => self.fresh().ok()?,
        };
        let connecting = endpoint.connect_with(self.client, to, SERVER_NAME).ok()?;
        monoio::time::timeout(limit, connecting).await.ok()?.ok()
    }

    fn fresh(&self) -> std::io::Result<Endpoint> {
        let socket = UdpSocket::bind((self.ip, 0))?;
        let runtime = Arc::new(MonoioRuntime::new(&self.traffic));
        Endpoint::new(EndpointConfig::default(), None, socket, runtime)
    }
}
