//! Signals of the operating system, read from a socket like any other input.

use std::io;
use std::os::unix::net::UnixStream as StdStream;

use futures::{FutureExt, pin_mut, select_biased};
use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// What the process is asked to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Read the settings again.
    Reload,
    /// Finish the requests in flight and exit.
    Stop,
}

/// Requests to the process.
#[derive(Debug)]
pub struct Signals {
    reload: UnixStream,
    stop: UnixStream,
}

impl Signals {
    /// Takes over `SIGHUP`, `SIGTERM` and `SIGINT`.
    ///
    /// # Errors
    ///
    /// If the operating system refuses a socket pair or a handler.
    pub fn register() -> io::Result<Self> {
        let (stop, write) = StdStream::pair()?;
        pipe::register(SIGTERM, write.try_clone()?)?;
        pipe::register(SIGINT, write)?;
        let (reload, write) = StdStream::pair()?;
        pipe::register(SIGHUP, write)?;
        Ok(Self {
            reload: nonblocking(reload)?,
            stop: nonblocking(stop)?,
        })
    }

    /// Ends when the next signal arrives.
    pub async fn next(&mut self) -> Signal {
        let reload = self.reload.read(vec![0; 1]).fuse();
        let stop = self.stop.read(vec![0; 1]).fuse();
        pin_mut!(reload, stop);
        select_biased! {
            _ = stop => Signal::Stop,
            _ = reload => Signal::Reload,
        }
    }

    /// Ends when the process is asked to stop.
    pub async fn stop(&mut self) {
        let (_, _) = self.stop.read(vec![0; 1]).await;
    }
}

fn nonblocking(stream: StdStream) -> io::Result<UnixStream> {
    stream.set_nonblocking(true)?;
    UnixStream::from_std(stream)
}
