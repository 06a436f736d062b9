//! Signals of the operating system, read from sockets by the event loop.

use std::io;
use std::os::unix::net::UnixStream as StdStream;

use futures::{FutureExt, pin_mut, select_biased};
use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// The request that a signal stands for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Reread the settings (`SIGHUP`).
    Reload,
    /// Finish the requests in flight and exit (`SIGTERM`, `SIGINT`).
    Stop,
}

/// Sockets to which the signal handlers write one byte for each signal.
#[derive(Debug)]
pub struct Signals {
    reload: UnixStream,
    stop: UnixStream,
}

impl Signals {
    /// Registers handlers of `SIGHUP`, `SIGTERM` and `SIGINT`.
    ///
    /// # Errors
    ///
    /// If a socket pair can't be created or a handler can't be registered.
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

    /// Waits for the next signal; a stop comes before a reload that arrived with it.
    pub async fn next(&mut self) -> Signal {
        let reload = self.reload.read(vec![0; 1]).fuse();
        let stop = self.stop.read(vec![0; 1]).fuse();
        pin_mut!(reload, stop);
        select_biased! {
            _ = stop => Signal::Stop,
            _ = reload => Signal::Reload,
        }
    }

    /// Waits for the next `SIGTERM` or `SIGINT`.
    pub async fn stop(&mut self) {
        let (_, _) = self.stop.read(vec![0; 1]).await;
    }
}

fn nonblocking(stream: StdStream) -> io::Result<UnixStream> {
    stream.set_nonblocking(true)?;
    UnixStream::from_std(stream)
}
