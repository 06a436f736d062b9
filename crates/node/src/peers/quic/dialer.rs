//! Opening of connections to peers.
//!
//! By default all connections use the listening socket. If a network device between two daemons loses
//! its state for that pair of addresses, it drops the packets of every connection between them. A
//! connection that replaces a silent one therefore uses a new socket with a port of its own.

use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use quinn::{ClientConfig, Connection, Endpoint, EndpointConfig};

use super::fleet_key::SERVER_NAME;
use super::runtime::{MonoioRuntime, Traffic};

/// The socket that a connection uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SocketChoice {
    /// The listening socket.
    Listening,
    /// A new socket with another port.
    New,
}

/// Configuration and endpoint for outgoing connections.
#[derive(Clone)]
pub(super) struct Dialer {
    pub client: ClientConfig,
    /// Endpoint of the listening socket.
    pub listening: Endpoint,
    /// Local IP address of the listening socket; new sockets are bound to it too.
    pub ip: IpAddr,
    pub traffic: Traffic,
}

impl Dialer {
    /// Opens a connection; `None` if that fails or takes longer than `limit`.
    pub async fn dial(
        self,
        to: SocketAddr,
        socket: SocketChoice,
        limit: Duration,
    ) -> Option<Connection> {
        let endpoint = match socket {
            SocketChoice::Listening => self.listening,
            // The endpoint stays open as long as the connection, which refers to it.
            SocketChoice::New => self.new_endpoint().ok()?,
        };
        let connecting = endpoint.connect_with(self.client, to, SERVER_NAME).ok()?;
        monoio::time::timeout(limit, connecting).await.ok()?.ok()
    }

    fn new_endpoint(&self) -> std::io::Result<Endpoint> {
        let socket = UdpSocket::bind((self.ip, 0))?;
        let runtime = Arc::new(MonoioRuntime::new(&self.traffic));
        Endpoint::new(EndpointConfig::default(), None, socket, runtime)
    }
}
