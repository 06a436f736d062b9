//! Framing of messages on a TCP connection: a length of four bytes, big-endian, then the message. A
//! length of zero is a keep-alive frame.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use hawthornwall_wire::peer::MessageParts;
use monoio::buf::IoBuf;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;

use crate::http::take_front;
use crate::memory::{Lease, Serving};

/// Size of the length prefix in bytes.
const LENGTH_SIZE: usize = 4;
/// Maximum number of bytes per read from the socket.
const READ_SIZE: usize = 8 << 10;
/// Maximum number of bytes per write; the silence timeout applies to each write, not to whole messages.
const WRITE_SIZE: usize = 64 << 10;

/// Most keep-alive frames in one read from the socket. A peer sends one at a time and gives up after a few
/// without a reply; from one that sends them without pause, this task would read without ever yielding.
const MAX_KEEP_ALIVES: u32 = 16;

/// A received frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Frame {
    Message(Bytes),
    KeepAlive,
}

/// A TCP connection with framing.
pub(super) struct FrameStream {
    buf: BytesMut,
    /// Keep-alive frames since the last read from the socket.
    keep_alives: u32,
    lease: Rc<Lease>,
    /// Maximum message size in bytes.
    limit: usize,
    received: u64,
    sent: u64,
    tcp: TcpStream,
}

impl FrameStream {
    pub fn new(tcp: TcpStream, limit: usize, lease: Rc<Lease>) -> Self {
        let _ = tcp.set_nodelay(true);
        Self {
            buf: BytesMut::new(),
            keep_alives: 0,
            lease,
            limit,
            received: 0,
            sent: 0,
            tcp,
        }
    }

    /// What the connection holds of the budget.
    pub fn lease(&self) -> Rc<Lease> {
        Rc::clone(&self.lease)
    }

    /// Accounts for the messages in progress; false if there is no memory for them.
    pub async fn hold(&self, bytes: usize, serving: Serving) -> bool {
        self.lease.hold(bytes, serving).await
    }

    /// Number of bytes received since the connection opened.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Number of bytes sent since the connection opened.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Reads one frame. Cancel-safe: received bytes stay in the buffer if the future is dropped.
    ///
    /// # Errors
    ///
    /// If the connection closes or fails, the length of a message exceeds the limit, there is no memory for it, or
    /// keep-alive frames come without pause.
    pub async fn read(&mut self) -> io::Result<Frame> {
        loop {
            if let Some(frame) = self.take()? {
                match &frame {
                    Frame::KeepAlive => {}
                    Frame::Message(bytes) => self.lease.deliver(bytes.len()),
                }
                return Ok(frame);
            }
            if !self.lease.read(self.buf.len()).await {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
            if self.fill().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Writes one message in parts; `write_timeout` applies to each part.
    ///
    /// # Errors
    ///
    /// If the connection fails or a part is not written within `write_timeout`.
    pub async fn write(
        &mut self,
        message: &MessageParts,
        write_timeout: Duration,
    ) -> io::Result<()> {
        let length = u32::try_from(message.len()).map_err(|_| io::ErrorKind::InvalidInput)?;
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend_from_slice(&message.head);
        // One write for a small message, so that it is sent as one segment.
        if bytes.len() + message.body.len() + message.tail.len() <= WRITE_SIZE {
            bytes.extend_from_slice(&message.body);
            bytes.extend_from_slice(&message.tail);
            return self.write_part(bytes, write_timeout).await;
        }
        for part in bytes.chunks(WRITE_SIZE) {
            self.write_part(part.to_vec(), write_timeout).await?;
        }
        let mut body = message.body.clone();
        while !body.is_empty() {
            let part = body.split_to(body.len().min(WRITE_SIZE));
            self.write_part(part, write_timeout).await?;
        }
        for part in message.tail.chunks(WRITE_SIZE) {
            self.write_part(part.to_vec(), write_timeout).await?;
        }
        Ok(())
    }

    /// Writes a keep-alive frame.
    ///
    /// # Errors
    ///
    /// If the connection fails or the frame is not written within `write_timeout`.
    pub async fn write_keep_alive(&mut self, write_timeout: Duration) -> io::Result<()> {
        self.write_part(vec![0; LENGTH_SIZE], write_timeout).await
    }

    /// Returns when the peer closes the connection or sends anything; at once if bytes are buffered.
    pub async fn activity(&mut self) {
        if self.buf.is_empty() {
            let _ = self.fill().await;
        }
    }

    async fn write_part<T: IoBuf + 'static>(
        &mut self,
        part: T,
        write_timeout: Duration,
    ) -> io::Result<()> {
        let size = part.bytes_init() as u64;
        let written = monoio::time::timeout(write_timeout, self.tcp.write_all(part)).await;
        written.map_err(|_| io::ErrorKind::TimedOut)?.0?;
        self.sent += size;
        self.lease.progress();
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
            // Avoids copies when the buffer grows. Pages that are never written take no memory.
            self.buf.reserve(LENGTH_SIZE + length - self.buf.len());
            return Ok(None);
        }
        self.buf.advance(LENGTH_SIZE);
        if length > 0 {
            return Ok(Some(Frame::Message(take_front(&mut self.buf, length))));
        }
        self.keep_alives += 1;
        if self.keep_alives > MAX_KEEP_ALIVES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(Some(Frame::KeepAlive))
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let (result, bytes) = self.tcp.read(Vec::with_capacity(READ_SIZE)).await;
        let count = result?;
        self.buf.extend_from_slice(&bytes[..count]);
        self.keep_alives = 0;
        self.received += count as u64;
        Ok(count)
    }
}
