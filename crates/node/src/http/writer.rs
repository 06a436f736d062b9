//! Writing of HTTP/1.1 messages to a TCP connection.

use std::fmt;
use std::io;
use std::time::Duration;

use monoio::io::{AsyncWriteRent, AsyncWriteRentExt, OwnedWriteHalf};
use monoio::net::TcpStream;

/// The sending side of a TCP connection.
pub struct HttpWriter {
    /// Maximum time of one write.
    idle: Duration,
    tcp: OwnedWriteHalf<TcpStream>,
}

impl fmt::Debug for HttpWriter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpWriter").finish_non_exhaustive()
    }
}

impl HttpWriter {
    pub(super) fn new(tcp: OwnedWriteHalf<TcpStream>, idle: Duration) -> Self {
        Self { idle, tcp }
    }

    /// Writes all bytes to the socket.
    ///
    /// # Errors
    ///
    /// If the connection fails or the write takes longer than [`Limits::idle`](super::Limits::idle).
    pub async fn write(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        let write = self.tcp.write_all(bytes);
        let written = monoio::time::timeout(self.idle, write).await;
        written.map_err(|_| io::ErrorKind::TimedOut)?.0.map(|_| ())
    }

    /// Ends the sending side of the connection.
    pub(super) async fn shutdown(&mut self) -> io::Result<()> {
        self.tcp.shutdown().await
    }
}
