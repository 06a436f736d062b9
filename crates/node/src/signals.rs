//! Signals of the operating system, read from a socket like any other input.

use std::io;
use std::os::unix::net::UnixStream as StdStream;

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// Requests to stop the process.
#[derive(Debug)]
pub struct StopSignals {
    stream: UnixStream,
}

impl StopSignals {
    /// Takes over `SIGTERM` and `SIGINT`.
    ///
    /// # Errors
    ///
    /// If the operating system refuses a socket pair or a handler.
    pub fn register() -> io::Result<Self> {
        let (read, write) = StdStream::pair()?;
        pipe::register(SIGTERM, write.try_clone()?)?;
        pipe::register(SIGINT, write)?;
        read.set_nonblocking(true)?;
        Ok(Self {
            stream: UnixStream::from_std(read)?,
        })
    }

    /// Ends when the next signal arrives.
    pub async fn next(&mut self) {
        let (_, _) = self.stream.read(vec![0; 1]).await;
    }
}
