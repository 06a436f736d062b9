//! An HTTP/1.1 connection: a reader and a writer, which can be used at the same time.

use std::rc::Rc;

use monoio::io::Splitable;
use monoio::net::TcpStream;

use super::{HttpReader, HttpWriter, Limits};
use crate::memory::Lease;

/// A TCP connection for HTTP/1.1, on the side of either the client or the server.
#[derive(Debug)]
pub struct HttpStream {
    /// The receiving side.
    pub reader: HttpReader,
    /// The sending side.
    pub writer: HttpWriter,
}

impl HttpStream {
    /// Wraps a connection and disables Nagle's algorithm on it.
    pub fn new(tcp: TcpStream, limits: Limits) -> Self {
        Self::leased(tcp, limits, &Rc::default())
    }

    /// Wraps a connection whose buffers are part of a lease.
    pub fn leased(tcp: TcpStream, limits: Limits, lease: &Rc<Lease>) -> Self {
        let _ = tcp.set_nodelay(true);
        let (receiving, sending) = tcp.into_split();
        Self {
            reader: HttpReader::new(receiving, limits, Rc::clone(lease)),
            writer: HttpWriter::new(sending, limits.idle, Rc::clone(lease)),
        }
    }

    /// Closes the connection without losing the last answer. Closing a socket with unread bytes
    /// resets the connection, and the reset may reach the peer before it has read the answer.
    pub async fn close(mut self) {
        if self.writer.shutdown().await.is_ok() {
            self.reader.discard().await;
        }
    }
}
