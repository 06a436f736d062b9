//! Buffered reading of HTTP/1.1 messages from a TCP connection.

use std::fmt;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use hawthornwall_wire::chunks::{ChunkDecoder, ChunkFault};
use hawthornwall_wire::head::{Framing, HeadFault, HeadKind, check_head, head_length};
use http::request::Parts as RequestHead;
use http::response::Parts as AnswerHead;
use monoio::io::{AsyncReadRent, OwnedReadHalf};
use monoio::net::TcpStream;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{RequestHeadDecoder, ResponseHeadDecoder};

use super::{Limits, ReadFault};
use crate::memory::Lease;

/// Size of one read from the socket, in bytes.
const READ_SIZE: usize = 8 << 10;
/// Maximum time for which incoming bytes are read and discarded before a connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are read and discarded before a connection is closed. The time alone is no
/// limit: if the next bytes are always there, the task doesn't yield and no timer fires.
const LINGER_BYTES: usize = 4 << 20;

/// The receiving side of a TCP connection.
pub struct HttpReader {
    buf: BytesMut,
    /// When bytes last arrived.
    filled: Option<Instant>,
    lease: Rc<Lease>,
    limits: Limits,
    scratch: Vec<u8>,
    tcp: OwnedReadHalf<TcpStream>,
}

impl fmt::Debug for HttpReader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpReader")
            .field("buffered", &self.buf.len())
            .finish_non_exhaustive()
    }
}

impl HttpReader {
    pub(super) fn new(tcp: OwnedReadHalf<TcpStream>, limits: Limits, lease: Rc<Lease>) -> Self {
        Self {
            buf: BytesMut::new(),
            filled: None,
            lease,
            limits,
            scratch: Vec::new(),
            tcp,
        }
    }

    /// Reads the head of a request and returns it with the framing of the body.
    ///
    /// # Errors
    ///
    /// [`ReadFault::Closed`] if the connection ends before the first byte.
    pub async fn read_request_head(&mut self) -> Result<(RequestHead, Framing), ReadFault> {
        let framing = self.read_head(HeadKind::Request).await?;
        let decoded = RequestHeadDecoder.decode(&mut self.buf);
        complete_head(decoded.map_err(|e| e.to_string())).map(|head| (head, framing))
    }

    /// Reads the head of an answer and returns it with the framing of the body.
    ///
    /// # Errors
    ///
    /// [`ReadFault::Closed`] if the connection ends before the first byte.
    pub async fn read_answer_head(&mut self) -> Result<(AnswerHead, Framing), ReadFault> {
        let framing = self.read_head(HeadKind::Answer).await?;
        let decoded = ResponseHeadDecoder.decode(&mut self.buf);
        complete_head(decoded.map_err(|e| e.to_string())).map(|head| (head, framing))
    }

    /// Reads a complete body. Without framing, the body is empty.
    ///
    /// # Errors
    ///
    /// If no complete body was read. The connection can't be used afterwards.
    pub async fn read_body(&mut self, framing: Framing) -> Result<Bytes, ReadFault> {
        match framing {
            Framing::None => Ok(Bytes::new()),
            Framing::Length(length) => self.read_fixed(length).await,
            Framing::Chunked => self.read_chunked().await,
        }
    }

    /// Completes when the peer closes the connection. Bytes that arrive earlier, such as further requests,
    /// are buffered up to `limit`; after that nothing more is read, and a close isn't noticed.
    pub async fn closed(&mut self, limit: usize) {
        while self.buf.len() < limit && self.lease.read(self.buf.len()).await {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending::<()>().await;
    }

    /// Completes when the peer closes the connection, or when bytes are available.
    pub async fn readable_or_closed(&mut self) {
        if self.buf.is_empty() {
            let _ = self.fill().await;
        }
    }

    /// When bytes last arrived; `None` if none have.
    pub fn last_arrival(&self) -> Option<Instant> {
        self.filled
    }

    /// Reads a body that is delimited by the end of the connection.
    ///
    /// # Errors
    ///
    /// If the connection fails, no bytes arrive within [`Limits::idle`], or the body is too large.
    pub async fn read_to_end(&mut self) -> Result<Bytes, ReadFault> {
        loop {
            match self.fill_timed(0).await {
                Ok(()) if self.buf.len() > self.limits.body => return Err(ReadFault::TooLarge),
                Ok(()) => {}
                Err(ReadFault::Incomplete) => return Ok(std::mem::take(&mut self.buf).freeze()),
                Err(fault) => return Err(fault),
            }
        }
    }

    /// Reads and discards bytes until the peer closes the connection, for a limited time.
    pub(super) async fn discard(&mut self) {
        let discard = async {
            let mut discarded = 0;
            while let Ok(count @ 1..) = self.fill().await {
                self.buf.clear();
                discarded += count;
                if discarded >= LINGER_BYTES {
                    return;
                }
            }
        };
        let _ = monoio::time::timeout(LINGER_TIMEOUT, discard).await;
    }

    /// Applies other limits from the next message on.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Drops what has been read of a message that won't be completed, so that there is room for its refusal.
    pub async fn clear(&mut self) {
        self.buf = BytesMut::new();
        let _ = self.lease.read(0).await;
    }

    /// Maximum size of a body, in bytes.
    pub fn body_limit(&self) -> usize {
        self.limits.body
    }

    /// Whether the buffer holds bytes that are not part of a message read so far.
    pub fn has_buffered(&self) -> bool {
        !self.buf.is_empty()
    }

    async fn read_head(&mut self, kind: HeadKind) -> Result<Framing, ReadFault> {
        loop {
            let limit = self.limits.head;
            if let Some(length) = head_length(&self.buf, limit).map_err(ReadFault::Head)? {
                return check_head(&self.buf[..length], kind).map_err(ReadFault::Head);
            }
            let at_start = self.buf.is_empty();
            self.fill_timed(0).await.map_err(|fault| match fault {
                ReadFault::Incomplete if at_start => ReadFault::Closed,
                other => other,
            })?;
        }
    }

    async fn read_fixed(&mut self, length: usize) -> Result<Bytes, ReadFault> {
        if length > self.limits.body {
            return Err(ReadFault::TooLarge);
        }
        while self.buf.len() < length {
            // Avoids copies when the buffer grows. Pages that are never written take no memory.
            self.buf.reserve(length - self.buf.len());
            self.fill_timed(0).await?;
        }
        Ok(take_front(&mut self.buf, length))
    }

    async fn read_chunked(&mut self) -> Result<Bytes, ReadFault> {
        let mut body = Vec::new();
        let mut chunks = ChunkDecoder::new(self.limits.body);
        loop {
            let used = chunks.decode(&self.buf, &mut body).map_err(chunk_fault)?;
            self.buf.advance(used);
            if chunks.is_done() {
                return Ok(body.into());
            }
            self.fill_timed(body.len()).await?;
        }
    }

    /// Reads the next bytes of a message of which `decoded` bytes are outside of the buffer.
    async fn fill_timed(&mut self, decoded: usize) -> Result<(), ReadFault> {
        if !self.lease.read(self.buf.len() + decoded).await {
            return Err(ReadFault::Memory);
        }
        let idle = self.limits.idle;
        match monoio::time::timeout(idle, self.fill()).await {
            Err(_) => Err(ReadFault::Idle),
            Ok(Err(e)) => Err(ReadFault::Io(e)),
            Ok(Ok(0)) => Err(ReadFault::Incomplete),
            Ok(Ok(_)) => Ok(()),
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let mut scratch = std::mem::take(&mut self.scratch);
        scratch.clear();
        scratch.reserve(READ_SIZE);
        let (result, scratch) = self.tcp.read(scratch).await;
        self.buf.extend_from_slice(&scratch);
        self.scratch = scratch;
        self.filled = Some(Instant::now());
        result
    }
}

/// Takes the first `length` bytes off a buffer. A long body leaves with its allocation, which would otherwise stay
/// with the connection.
pub(crate) fn take_front(buf: &mut BytesMut, length: usize) -> Bytes {
    if length <= READ_SIZE {
        return buf.split_to(length).freeze();
    }
    let rest = BytesMut::from(&buf[length..]);
    let mut front = std::mem::replace(buf, rest);
    front.truncate(length);
    front.freeze()
}

fn complete_head<T>(decoded: Result<Decoded<T>, String>) -> Result<T, ReadFault> {
    let malformed = |reason: String| ReadFault::Head(HeadFault::Malformed(reason));
    match decoded.map_err(malformed)? {
        Decoded::Some(head) => Ok(head),
        Decoded::Insufficient | Decoded::InsufficientAtLeast(_) => {
            Err(malformed("the decoder found no end".to_owned()))
        }
    }
}

fn chunk_fault(fault: ChunkFault) -> ReadFault {
    match fault {
        ChunkFault::Malformed(_) => ReadFault::Malformed(fault.to_string()),
        ChunkFault::TooLarge => ReadFault::TooLarge,
    }
}
