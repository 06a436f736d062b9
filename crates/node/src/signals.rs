//! Signals of the operating system, read from sockets by the event loop.

use std::future::pending;
use std::io::{self, ErrorKind};
use std::os::unix::net::UnixStream as StdStream;

use futures::{FutureExt, pin_mut, select_biased};
use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

use crate::telemetry::log;

/// The request that a signal stands for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Finish the requests in flight and exit; during a stop, exit at once (`SIGINT`).
    Interrupt,
    /// Reread the settings (`SIGHUP`).
    Reload,
    /// Finish the requests in flight and exit (`SIGTERM`).
    Terminate,
}

/// Sockets to which the signal handlers write one byte for each signal.
#[derive(Debug)]
pub struct Signals {
    interrupt: UnixStream,
    reload: UnixStream,
    terminate: UnixStream,
}

impl Signals {
    /// Registers handlers of `SIGHUP`, `SIGTERM` and `SIGINT`.
    ///
    /// # Errors
    ///
    /// If a socket pair can't be created or a handler can't be registered.
    pub fn register() -> io::Result<Self> {
        Ok(Self {
            interrupt: register(SIGINT)?,
            reload: register(SIGHUP)?,
            terminate: register(SIGTERM)?,
        })
    }

    /// Waits for the next signal. Of those that arrived together, a reload comes last, and an interrupt comes before
    /// a termination, after which it would end the stop.
    pub async fn next(&mut self) -> Signal {
        let interrupt = receive(&mut self.interrupt).fuse();
        let reload = receive(&mut self.reload).fuse();
        let terminate = receive(&mut self.terminate).fuse();
        pin_mut!(interrupt, reload, terminate);
        select_biased! {
            () = interrupt => Signal::Interrupt,
            () = terminate => Signal::Terminate,
            () = reload => Signal::Reload,
        }
    }
}

/// Registers a handler, and returns the socket that receives one byte for each signal.
fn register(signal: i32) -> io::Result<UnixStream> {
    let (stream, write) = StdStream::pair()?;
    pipe::register(signal, write)?;
    stream.set_nonblocking(true)?;
    UnixStream::from_std(stream)
}

/// Waits for one signal; never returns if the socket fails, which must not be taken for a signal.
async fn receive(stream: &mut UnixStream) {
    loop {
        match stream.read(vec![0; 1]).await {
            (Ok(1..), _) => return,
            (Err(error), _) if error.kind() == ErrorKind::Interrupted => {}
            (Ok(0), _) => {
                log::error!("the socket of a signal handler has closed; its signals are lost");
                pending::<()>().await;
            }
            (Err(error), _) => {
                log::error!("can't read from a signal handler; its signals are lost", kv: { error: });
                pending::<()>().await;
            }
        }
    }
}
