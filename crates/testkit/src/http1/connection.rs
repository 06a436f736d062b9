//! One connection of either side, with the bytes that arrived but are not yet parsed.

use std::mem;
use std::net::SocketAddr;

use bytes::{Buf, Bytes, BytesMut};
use futures::FutureExt;
use http::{Request, Response};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;

use super::codec::{Coding, Fault, encode_answer, encode_request, parse_answer, parse_request};

/// Bytes read at once.
const READ_SIZE: usize = 16 << 10;

/// A connection that exchanges whole messages.
#[derive(Debug)]
pub struct Connection {
    arrived: BytesMut,
    scratch: Vec<u8>,
    stream: TcpStream,
}

impl Connection {
    /// Takes over an accepted stream.
    ///
    /// # Errors
    ///
    /// Nagle's algorithm can't be turned off.
    pub fn accepted(stream: TcpStream) -> Result<Self, Fault> {
        // Delayed acknowledgements would add up to 40 ms to an answer written in two parts.
        stream.set_nodelay(true)?;
        Ok(Self {
            arrived: BytesMut::new(),
            scratch: Vec::new(),
            stream,
        })
    }

    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// The peer doesn't accept.
    pub async fn open(address: SocketAddr) -> Result<Self, Fault> {
        Self::accepted(TcpStream::connect_addr(address).await?)
    }

    /// The next request, `None` if the peer closed between two messages.
    ///
    /// # Errors
    ///
    /// The request is cut or malformed.
    pub async fn read_request(&mut self) -> Result<Option<Request<Bytes>>, Fault> {
        loop {
            if let Some((request, used)) = parse_request(&self.arrived)? {
                self.arrived.advance(used);
                return Ok(Some(request));
            }
            match (self.fill().await?, self.arrived.is_empty()) {
                (0, true) => return Ok(None),
                (0, false) => return Err(Fault::Cut),
                _ => {}
            }
        }
    }

    /// Sends one request and reads its answer.
    ///
    /// # Errors
    ///
    /// The connection breaks, or the answer is cut or malformed.
    pub async fn exchange(&mut self, request: &Request<Bytes>) -> Result<Response<Bytes>, Fault> {
        self.write(encode_request(request)).await?;
        let mut ended = false;
        loop {
            if let Some((answer, used)) = parse_answer(&self.arrived, ended)? {
                self.arrived.advance(used);
                return Ok(answer);
            }
            if ended {
                return Err(Fault::Cut);
            }
            ended = self.fill().await? == 0;
        }
    }

    /// Sends one answer.
    ///
    /// # Errors
    ///
    /// The connection breaks.
    pub async fn reply(&mut self, answer: &Response<Bytes>, coding: Coding) -> Result<(), Fault> {
        self.write(encode_answer(answer, coding)).await
    }

    /// Sends all of an answer but the end of its body.
    ///
    /// # Errors
    ///
    /// The connection breaks.
    pub async fn reply_part(&mut self, answer: &Response<Bytes>) -> Result<(), Fault> {
        let mut bytes = encode_answer(answer, Coding::Fixed);
        bytes.truncate(bytes.len() - answer.body().len() / 2);
        self.write(bytes).await
    }

    /// Completes when the peer closes; bytes that arrive before are kept for the next message.
    pub async fn closed(&mut self) {
        while matches!(self.fill().await, Ok(n) if n > 0) {}
    }

    /// Whether the peer has neither closed nor sent anything unasked.
    pub fn is_usable(&mut self) -> bool {
        self.closed().now_or_never().is_none() && !self.has_rest()
    }

    /// Sends only the first bytes of a request.
    ///
    /// # Errors
    ///
    /// The connection breaks.
    pub async fn send_part(
        &mut self,
        request: &Request<Bytes>,
        length: usize,
    ) -> Result<(), Fault> {
        let mut bytes = encode_request(request);
        bytes.truncate(length);
        self.write(bytes).await
    }

    /// Whether bytes have arrived that belong to no message yet.
    pub fn has_rest(&self) -> bool {
        !self.arrived.is_empty()
    }

    async fn fill(&mut self) -> Result<usize, Fault> {
        let mut scratch = mem::take(&mut self.scratch);
        if scratch.capacity() < READ_SIZE {
            scratch = Vec::with_capacity(READ_SIZE);
        }
        let (result, scratch) = self.stream.read(scratch).await;
        self.scratch = scratch;
        let n = result?;
        self.arrived.extend_from_slice(&self.scratch[..n]);
        Ok(n)
    }

    async fn write(&mut self, bytes: Vec<u8>) -> Result<(), Fault> {
        let (result, _) = self.stream.write_all(bytes).await;
        result?;
        Ok(())
    }
}
