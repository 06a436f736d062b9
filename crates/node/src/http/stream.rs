//! Buffered reading and writing of HTTP/1.1 messages on a TCP connection.

use std::fmt;
use std::io;
use std::time::Duration;

use bytes::BytesMut;
use hawthornwall_wire::head::{Framing, HeadFault, HeadKind, check_head, head_length};
use http::request::Parts as RequestHead;
use http::response::Parts as AnswerHead;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{
    ChunkedBodyDecoder, RequestHeadDecoder, ResponseHeadDecoder,
};

/// Size of one read from the socket, in bytes.
const READ_SIZE: usize = 8 << 10;
/// Maximum time for which incoming bytes are read and discarded before a connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are read and discarded before a connection is closed. The time alone is no
/// limit: if the next bytes are always there, the task doesn't yield and no timer fires.
const LINGER_BYTES: usize = 4 << 20;
/// Bytes allowed for chunk sizes and line ends in addition to the limit of the body.
const CHUNK_OVERHEAD: usize = 16 << 10;

/// Limits on the size and the progress of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a body, in bytes.
    pub body: usize,
    /// Maximum size of a head, in bytes.
    pub head: usize,
    /// Maximum time between two arrivals of bytes, and for one write.
    pub idle: Duration,
}

/// Reason why no complete message was read.
#[derive(Debug)]
pub enum ReadFault {
    /// The connection was closed between two messages.
    Closed,
    /// The connection was closed within a message.
    Incomplete,
    /// The head is invalid or exceeds its limit.
    Head(HeadFault),
    /// No bytes arrived within [`Limits::idle`].
    Idle,
    /// The socket returned an error.
    Io(io::Error),
    /// The body or its framing is invalid.
    Malformed(String),
    /// The body exceeds [`Limits::body`].
    TooLarge,
}

impl fmt::Display for ReadFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("the connection closed"),
            Self::Incomplete => f.write_str("the connection closed within a message"),
            Self::Head(fault) => fault.fmt(f),
            Self::Idle => f.write_str("nothing arrived within the idle time"),
            Self::Io(e) => write!(f, "the connection failed: {e}"),
            Self::Malformed(reason) => write!(f, "malformed body: {reason}"),
            Self::TooLarge => f.write_str("the body exceeds the size limit"),
        }
    }
}

impl std::error::Error for ReadFault {}

/// A TCP connection for HTTP/1.1, on the side of either the client or the server.
pub struct HttpStream {
    buf: BytesMut,
    limits: Limits,
    scratch: Vec<u8>,
    tcp: TcpStream,
}

impl fmt::Debug for HttpStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpStream")
            .field("buffered", &self.buf.len())
            .finish_non_exhaustive()
    }
}

impl HttpStream {
    /// Wraps a connection and disables Nagle's algorithm on it.
    pub fn new(tcp: TcpStream, limits: Limits) -> Self {
        let _ = tcp.set_nodelay(true);
        Self {
            buf: BytesMut::new(),
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
    pub async fn read_body(&mut self, framing: Framing) -> Result<Vec<u8>, ReadFault> {
        match framing {
            Framing::None => Ok(Vec::new()),
            Framing::Length(length) => self.read_fixed(length).await,
            Framing::Chunked => self.read_chunked().await,
        }
    }

    /// Writes all bytes to the socket.
    ///
    /// # Errors
    ///
    /// If the connection fails or the write takes longer than [`Limits::idle`].
    pub async fn write(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        let write = self.tcp.write_all(bytes);
        let written = monoio::time::timeout(self.limits.idle, write).await;
        written.map_err(|_| io::ErrorKind::TimedOut)?.0.map(|_| ())
    }

    /// Completes when the peer closes the connection. Bytes that arrive earlier, such as a
    /// pipelined request, are buffered up to [`Limits::head`]; after that nothing more is read.
    pub async fn closed(&mut self) {
        while self.buf.len() < self.limits.head {
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

    /// Reads a body that is delimited by the end of the connection.
    ///
    /// # Errors
    ///
    /// If the connection fails, no bytes arrive within [`Limits::idle`], or the body is too large.
    pub async fn read_to_end(&mut self) -> Result<Vec<u8>, ReadFault> {
        loop {
            match self.fill_timed().await {
                Ok(()) if self.buf.len() > self.limits.body => return Err(ReadFault::TooLarge),
                Ok(()) => {}
                Err(ReadFault::Incomplete) => return Ok(self.buf.split().to_vec()),
                Err(fault) => return Err(fault),
            }
        }
    }

    /// Closes the connection without losing the last answer. Closing a socket with unread bytes
    /// resets the connection, and the reset may reach the peer before it has read the answer.
    pub async fn close(mut self) {
        if self.tcp.shutdown().await.is_err() {
            return;
        }
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
            self.fill_timed().await.map_err(|fault| match fault {
                ReadFault::Incomplete if at_start => ReadFault::Closed,
                other => other,
            })?;
        }
    }

    async fn read_fixed(&mut self, length: usize) -> Result<Vec<u8>, ReadFault> {
        if length > self.limits.body {
            return Err(ReadFault::TooLarge);
        }
        while self.buf.len() < length {
            self.fill_timed().await?;
        }
        Ok(self.buf.split_to(length).to_vec())
    }

    async fn read_chunked(&mut self) -> Result<Vec<u8>, ReadFault> {
        let mut body = Vec::new();
        let mut chunks = ChunkedBodyDecoder::default();
        loop {
            let decoded = chunks.decode(&mut self.buf);
            match decoded.map_err(|e| ReadFault::Malformed(e.to_string()))? {
                Decoded::Some(Some(chunk)) => body.extend_from_slice(&chunk),
                Decoded::Some(None) => return Ok(body),
                Decoded::Insufficient | Decoded::InsufficientAtLeast(_) => {
                    self.fill_timed().await?;
                }
            }
            // The decoder leaves a chunk in the buffer until the chunk is complete.
            if body.len() + self.buf.len() > self.limits.body + CHUNK_OVERHEAD
                || body.len() > self.limits.body
            {
                return Err(ReadFault::TooLarge);
            }
        }
    }

    async fn fill_timed(&mut self) -> Result<(), ReadFault> {
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
        result
    }
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
