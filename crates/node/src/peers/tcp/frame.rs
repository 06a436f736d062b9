//! Messages on a TCP connection: a length of four bytes, most significant first, and that many bytes.
//! A length of zero is a sign of life.

use std::io;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;

/// Bytes that state a length.
const LENGTH_SIZE: usize = 4;
/// Bytes asked of the socket at once.
const READ_SIZE: usize = 8 << 10;
/// Bytes written at once; each part must be taken by the other side within the silence bound.
const WRITE_SIZE: usize = 64 << 10;

/// What arrives on a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Frame {
    Message(Vec<u8>),
    SignOfLife,
}

/// A connection that carries frames.
pub(super) struct FrameStream {
    buf: BytesMut,
    /// Longest message.
    limit: usize,
    received: u64,
    sent: u64,
    tcp: TcpStream,
}

impl FrameStream {
    pub fn new(tcp: TcpStream, limit: usize) -> Self {
        let _ = tcp.set_nodelay(true);
        Self {
            buf: BytesMut::new(),
            limit,
            received: 0,
            sent: 0,
            tcp,
        }
    }

    /// Bytes received so far.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Reads one frame. Dropping the future loses nothing that has arrived.
    ///
    /// # Errors
    ///
    /// If the connection ends, fails, or announces a message that is too long.
    pub async fn read(&mut self) -> io::Result<Frame> {
        loop {
            if let Some(frame) = self.take()? {
                return Ok(frame);
            }
            if self.fill().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Writes one message, each part of it within `bound`.
    ///
    /// # Errors
    ///
    /// If the connection fails or the other side doesn't read.
    pub async fn write(&mut self, message: &[u8], bound: Duration) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(LENGTH_SIZE + message.len());
        let length = u32::try_from(message.len()).map_err(|_| io::ErrorKind::InvalidInput)?;
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(message);
        if bytes.len() <= WRITE_SIZE {
            return self.write_part(bytes, bound).await;
        }
        for part in bytes.chunks(WRITE_SIZE) {
            self.write_part(part.to_vec(), bound).await?;
        }
        Ok(())
    }

    /// Writes a sign of life.
    ///
    /// # Errors
    ///
    /// If the connection fails or the other side doesn't read.
    pub async fn write_sign_of_life(&mut self, bound: Duration) -> io::Result<()> {
        self.write_part(vec![0; LENGTH_SIZE], bound).await
    }

    /// Ends when the other side closes or sends anything.
    pub async fn disturbed(&mut self) {
        if self.buf.is_empty() {
            let _ = self.fill().await;
        }
    }

    async fn write_part(&mut self, part: Vec<u8>, bound: Duration) -> io::Result<()> {
        let size = part.len() as u64;
        let written = monoio::time::timeout(bound, self.tcp.write_all(part)).await;
        written.map_err(|_| io::ErrorKind::TimedOut)?.0?;
        self.sent += size;
        Ok(())
    }

    fn take(&mut self) -> io::Result<Option<Frame>> {
        let Some(length) = self.buf.first_chunk::<LENGTH_SIZE>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > self.limit {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if self.buf.len() < LENGTH_SIZE + length {
            return Ok(None);
        }
        self.buf.advance(LENGTH_SIZE);
        Ok(Some(match length {
            0 => Frame::SignOfLife,
            _ => Frame::Message(self.buf.split_to(length).to_vec()),
        }))
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let (result, bytes) = self.tcp.read(Vec::with_capacity(READ_SIZE)).await;
        let count = result?;
        self.buf.extend_from_slice(&bytes[..count]);
        self.received += count as u64;
        Ok(count)
    }
}
