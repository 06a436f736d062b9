//! Client or server connection with a buffer for received bytes that are not yet parsed.

use std::mem;
use std::net::SocketAddr;

use bytes::{Buf, Bytes, BytesMut};
use futures::FutureExt;
use http::{Request, Response};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;

use super::codec::{Coding, Fault, encode_answer, encode_request, parse_answer, parse_request};

/// Maximum number of bytes per read.
const READ_SIZE: usize = 16 << 10;

/// A connection that sends and receives complete messages.
#[derive(Debug)]
pub struct Connection {
    buffer: BytesMut,
    read_buffer: Vec<u8>,
    stream: TcpStream,
}

impl Connection {
    /// Creates a connection from an open stream and disables Nagle's algorithm.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket option can't be set.
    pub fn from_stream(stream: TcpStream) -> Result<Self, Fault> {
        // Delayed acknowledgements would add up to 40 ms to an answer written in two parts.
        stream.set_nodelay(true)?;
        Ok(Self {
            buffer: BytesMut::new(),
            read_buffer: Vec::new(),
            stream,
        })
    }

    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if connecting fails.
    pub async fn open(address: SocketAddr) -> Result<Self, Fault> {
        Self::from_stream(TcpStream::connect_addr(address).await?)
    }

    /// Reads the next request; `None` if the peer closed the connection between messages.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is incomplete or malformed.
    pub async fn read_request(&mut self) -> Result<Option<Request<Bytes>>, Fault> {
        loop {
            if let Some((request, used)) = parse_request(&self.buffer)? {
                self.buffer.advance(used);
                return Ok(Some(request));
            }
            match (self.fill().await?, self.buffer.is_empty()) {
                (0, true) => return Ok(None),
                (0, false) => return Err(Fault::Incomplete),
                _ => {}
            }
        }
    }

    /// Sends a request and reads its answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks, or the answer is incomplete or malformed.
    pub async fn exchange(&mut self, request: &Request<Bytes>) -> Result<Response<Bytes>, Fault> {
        self.write(encode_request(request)).await?;
        let mut ended = false;
        loop {
            if let Some((answer, used)) = parse_answer(&self.buffer, ended)? {
                self.buffer.advance(used);
                return Ok(answer);
            }
            if ended {
                return Err(Fault::Incomplete);
            }
            ended = self.fill().await? == 0;
        }
    }

    /// Sends an answer with the given transfer coding.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks.
    pub async fn reply(&mut self, answer: &Response<Bytes>, coding: Coding) -> Result<(), Fault> {
        self.write(encode_answer(answer, coding)).await
    }

    /// Sends an answer without the second half of its body, to emulate a truncated answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks.
    pub async fn reply_truncated(&mut self, answer: &Response<Bytes>) -> Result<(), Fault> {
        let mut bytes = encode_answer(answer, Coding::Fixed);
        bytes.truncate(bytes.len() - answer.body().len() / 2);
        self.write(bytes).await
    }

    /// Completes when the peer closes the connection or it fails. Bytes received before are kept.
    pub async fn closed(&mut self) {
        while matches!(self.fill().await, Ok(n) if n > 0) {}
    }

    /// Whether the connection is open and no unparsed bytes were received.
    pub fn is_usable(&mut self) -> bool {
        self.closed().now_or_never().is_none() && !self.has_unread_bytes()
    }

    /// Sends only the first `length` bytes of a request, to emulate an incomplete request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks.
    pub async fn send_prefix(
        &mut self,
        request: &Request<Bytes>,
        length: usize,
    ) -> Result<(), Fault> {
        let mut bytes = encode_request(request);
        bytes.truncate(length);
        self.write(bytes).await
    }

    /// Whether the buffer contains bytes that are not part of a parsed message.
    pub fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    async fn fill(&mut self) -> Result<usize, Fault> {
        let mut read_buffer = mem::take(&mut self.read_buffer);
        if read_buffer.capacity() < READ_SIZE {
            read_buffer = Vec::with_capacity(READ_SIZE);
        }
        let (result, read_buffer) = self.stream.read(read_buffer).await;
        self.read_buffer = read_buffer;
        let n = result?;
        self.buffer.extend_from_slice(&self.read_buffer[..n]);
        Ok(n)
    }

    async fn write(&mut self, bytes: Vec<u8>) -> Result<(), Fault> {
        let (result, _) = self.stream.write_all(bytes).await;
        result?;
        Ok(())
    }
}
