//! A TCP connection with a read buffer.

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

/// Bytes asked of the socket at once.
const READ_SIZE: usize = 8 << 10;
/// Longest time for which bytes are read and discarded before a connection closes.
const LINGER: Duration = Duration::from_millis(500);
/// Room for chunk sizes and line ends beyond the body's own limit.
const CHUNK_OVERHEAD: usize = 16 << 10;

/// Sizes and times that a message must keep to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Bytes of a body.
    pub body: usize,
    /// Bytes of a head.
    pub head: usize,
    /// Time between two arrivals of bytes.
    pub idle: Duration,
}

/// Why no whole message was read.
#[derive(Debug)]
pub enum ReadFault {
    /// The connection closed between two messages.
    Closed,
    /// The connection closed within a message.
    Cut,
    /// The head is not acceptable.
    Head(HeadFault),
    /// No byte arrived for the idle time.
    Idle,
    /// The socket failed.
    Io(io::Error),
    /// The body's coding is broken.
    Malformed(String),
    /// The body exceeds its limit.
    TooLarge,
}

impl fmt::Display for ReadFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("the connection closed"),
            Self::Cut => f.write_str("the connection closed within a message"),
            Self::Head(fault) => fault.fmt(f),
            Self::Idle => f.write_str("nothing arrived within the idle time"),
            Self::Io(e) => write!(f, "the connection failed: {e}"),
            Self::Malformed(what) => write!(f, "malformed body: {what}"),
            Self::TooLarge => f.write_str("the body exceeds the size limit"),
        }
    }
}

impl std::error::Error for ReadFault {}

/// A connection that carries HTTP/1.1.
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
    /// Takes over a connection.
    pub fn new(tcp: TcpStream, limits: Limits) -> Self {
        let _ = tcp.set_nodelay(true);
        Self {
            buf: BytesMut::new(),
            limits,
            scratch: Vec::new(),
            tcp,
        }
    }

    /// Reads the head of a request and how its body is delimited.
    ///
    /// # Errors
    ///
    /// [`ReadFault::Closed`] if the connection ends before the first byte.
    pub async fn read_request_head(&mut self) -> Result<(RequestHead, Framing), ReadFault> {
        let framing = self.await_head(HeadKind::Request).await?;
        let decoded = RequestHeadDecoder.decode(&mut self.buf);
        whole(decoded.map_err(|e| e.to_string())).map(|head| (head, framing))
    }

    /// Reads the head of an answer and how its body is delimited.
    ///
    /// # Errors
    ///
    /// [`ReadFault::Closed`] if the connection ends before the first byte.
    pub async fn read_answer_head(&mut self) -> Result<(AnswerHead, Framing), ReadFault> {
        let framing = self.await_head(HeadKind::Answer).await?;
        let decoded = ResponseHeadDecoder.decode(&mut self.buf);
        whole(decoded.map_err(|e| e.to_string())).map(|head| (head, framing))
    }

    /// Reads a whole body.
    ///
    /// # Errors
    ///
    /// Any fault leaves the connection unusable.
    pub async fn read_body(&mut self, framing: Framing) -> Result<Vec<u8>, ReadFault> {
        match framing {
            Framing::None => Ok(Vec::new()),
            Framing::Length(length) => self.read_fixed(length).await,
            Framing::Chunked => self.read_chunked().await,
        }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// If the connection fails or takes no byte for the idle time.
    pub async fn write(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        let write = self.tcp.write_all(bytes);
        let timed = monoio::time::timeout(self.limits.idle, write).await;
        timed.map_err(|_| io::ErrorKind::TimedOut)?.0.map(|_| ())
    }

    /// Ends when the other side closes. Bytes that arrive before, such as a pipelined request, are
    /// kept up to the size of a head; beyond that nothing more is read.
    pub async fn closed(&mut self) {
        while self.buf.len() < self.limits.head {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending::<()>().await;
    }

    /// Ends when the other side closes or sends anything.
    pub async fn readable_or_closed(&mut self) {
        if self.buf.is_empty() {
            let _ = self.fill().await;
        }
    }

    /// Reads a body that ends with the connection.
    ///
    /// # Errors
    ///
    /// If the connection is reset, goes silent or carries too much.
    pub async fn read_to_end(&mut self) -> Result<Vec<u8>, ReadFault> {
        loop {
            match self.fill_timed().await {
                Ok(()) if self.buf.len() > self.limits.body => return Err(ReadFault::TooLarge),
                Ok(()) => {}
                Err(ReadFault::Cut) => return Ok(self.buf.split().to_vec()),
                Err(fault) => return Err(fault),
            }
        }
    }

    /// Closes the connection so that the last answer arrives. Closing with unread bytes would reset
    /// the connection, and a reset may overtake the answer.
    pub async fn close(mut self) {
        if self.tcp.shutdown().await.is_err() {
            return;
        }
        let discard = async {
            while matches!(self.fill().await, Ok(n) if n > 0) {
                self.buf.clear();
            }
        };
        let _ = monoio::time::timeout(LINGER, discard).await;
    }

    /// Bytes that a body may have.
    pub fn body_limit(&self) -> usize {
        self.limits.body
    }

    /// Whether bytes have arrived that no message has consumed.
    pub fn has_buffered(&self) -> bool {
        !self.buf.is_empty()
    }

    async fn await_head(&mut self, kind: HeadKind) -> Result<Framing, ReadFault> {
        loop {
            let limit = self.limits.head;
            if let Some(length) = head_length(&self.buf, limit).map_err(ReadFault::Head)? {
                return check_head(&self.buf[..length], kind).map_err(ReadFault::Head);
            }
            let fresh = self.buf.is_empty();
            self.fill_timed().await.map_err(|fault| match fault {
                ReadFault::Cut if fresh => ReadFault::Closed,
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
            // The decoder keeps a chunk in the buffer until it is whole.
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
            Ok(Ok(0)) => Err(ReadFault::Cut),
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

fn whole<T>(decoded: Result<Decoded<T>, String>) -> Result<T, ReadFault> {
    let malformed = |what: String| ReadFault::Head(HeadFault::Malformed(what));
    match decoded.map_err(malformed)? {
        Decoded::Some(head) => Ok(head),
        Decoded::Insufficient | Decoded::InsufficientAtLeast(_) => {
            Err(malformed("the decoder found no end".to_owned()))
        }
    }
}
