//! Messages on QUIC streams: each direction of a stream transports one message.
//!
//! Invariant: a stream whose message was not written completely is reset, never ended by FIN. quinn
//! sends FIN when a stream is dropped, so that a truncated message would appear complete.

use bytes::Bytes;
use quinn::{RecvStream, SendStream, VarInt};

/// Error code of streams whose message was cancelled.
const CANCELLED: VarInt = VarInt::from_u32(1);

/// The sending side of a stream; it resets the stream if dropped before the message is complete.
#[derive(Debug)]
pub(super) struct MessageWriter {
    finished: bool,
    stream: SendStream,
}

impl MessageWriter {
    pub fn new(stream: SendStream) -> Self {
        Self {
            finished: false,
            stream,
        }
    }

    /// Writes the whole message and FIN.
    pub async fn write(&mut self, message: &[u8]) -> Result<(), quinn::WriteError> {
        self.stream.write_all(message).await?;
        self.finished = self.stream.finish().is_ok();
        Ok(())
    }

    /// Returns once the receiver has stopped the stream, has acknowledged the whole message, or the connection has
    /// closed.
    pub async fn closed_by_receiver(&self) {
        let _ = self.stream.stopped().await;
    }
}

impl Drop for MessageWriter {
    fn drop(&mut self) {
        if !self.finished {
            let _ = self.stream.reset(CANCELLED);
        }
    }
}

/// Reads a message up to FIN; `None` if the stream fails, is reset, or exceeds `limit` bytes.
pub(super) async fn read_message(stream: &mut RecvStream, limit: usize) -> Option<Bytes> {
    stream.read_to_end(limit).await.ok().map(Bytes::from)
}
