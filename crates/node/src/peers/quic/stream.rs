//! One message on one QUIC stream.
//!
//! Invariant: a message that is not written whole is reset, never ended by FIN. quinn finishes a
//! dropped stream, which would present a cut message as a whole one.

use quinn::{RecvStream, SendStream, VarInt};

/// Code on streams whose message nobody wants any more.
const CANCELLED: VarInt = VarInt::from_u32(1);

/// The sending side of a stream.
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

    /// Ends once the receiver no longer wants the message.
    pub async fn refused(&self) {
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

/// Reads a message up to FIN; `None` if it is cut, reset or longer than `limit`.
pub(super) async fn read_message(stream: &mut RecvStream, limit: usize) -> Option<Vec<u8>> {
    stream.read_to_end(limit).await.ok()
}
