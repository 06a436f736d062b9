//! Writing of HTTP/1.1 messages to a TCP connection.

use std::fmt;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use monoio::buf::IoBuf;
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt, OwnedWriteHalf};
use monoio::net::TcpStream;

use super::HttpMessage;
use crate::memory::Lease;

/// Maximum number of bytes per write; the time limit applies to each write, not to whole messages.
const WRITE_SIZE: usize = 64 << 10;

/// The sending side of a TCP connection.
pub struct HttpWriter {
    /// Maximum time of one write, of at most [`WRITE_SIZE`] bytes.
    idle: Duration,
    lease: Rc<Lease>,
    tcp: OwnedWriteHalf<TcpStream>,
}

impl fmt::Debug for HttpWriter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpWriter").finish_non_exhaustive()
    }
}

impl HttpWriter {
    pub(super) fn new(tcp: OwnedWriteHalf<TcpStream>, idle: Duration, lease: Rc<Lease>) -> Self {
        Self { idle, lease, tcp }
    }

    /// Writes a message to the socket, in parts.
    ///
    /// # Errors
    ///
    /// If the connection fails or a part takes longer than [`Limits::idle`](super::Limits::idle).
    pub async fn write(&mut self, message: HttpMessage) -> io::Result<()> {
        let HttpMessage { mut body, mut head } = message;
        // One write for a small message, so that it is sent as one segment.
        let joined = body.len().min(WRITE_SIZE.saturating_sub(head.len()));
        head.extend_from_slice(&body.split_to(joined));
        self.write_part(head).await?;
        while !body.is_empty() {
            let part: Bytes = body.split_to(body.len().min(WRITE_SIZE));
            self.write_part(part).await?;
        }
        Ok(())
    }

    async fn write_part<T: IoBuf + 'static>(&mut self, part: T) -> io::Result<()> {
        let write = self.tcp.write_all(part);
        let written = monoio::time::timeout(self.idle, write).await;
        written.map_err(|_| io::ErrorKind::TimedOut)?.0?;
        self.lease.progress();
        Ok(())
    }

    /// Ends the sending side of the connection.
    pub(super) async fn shutdown(&mut self) -> io::Result<()> {
        self.tcp.shutdown().await
    }
}
