//! A TCP proxy in front of each daemon's peer port, which injects network faults.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use futures::future::{FutureExt, Shared};
use futures::{pin_mut, select_biased};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};

use crate::plan::Direction;

/// Maximum number of bytes per read.
const READ_SIZE: usize = 16 << 10;
/// Interval at which a blocked connection checks whether the fault has ended.
const POLL: Duration = Duration::from_millis(5);

/// A running proxy and the faults of its connections. Clones share their state.
#[derive(Clone, Debug)]
pub(crate) struct Proxy(Rc<State>);

#[derive(Debug)]
struct State {
    /// Direction in which no data is forwarded; `None` if connections work.
    cut: Cell<Option<Direction>>,
    /// Delay of each chunk of data that is forwarded.
    delay: Cell<Duration>,
    /// Dropping the sender closes all connections that hold the receiver.
    reset: RefCell<(oneshot::Sender<()>, Shared<oneshot::Receiver<()>>)>,
    /// Connections with a lower number carry no data.
    stalled: Cell<u64>,
    /// Number of connections accepted so far.
    opened: Cell<u64>,
    to: SocketAddr,
}

impl Proxy {
    /// Starts a proxy on the current runtime.
    pub fn start(listen: SocketAddr, to: SocketAddr) -> std::io::Result<Self> {
        let (sender, receiver) = oneshot::channel();
        let proxy = Self(Rc::new(State {
            cut: Cell::new(None),
            delay: Cell::new(Duration::ZERO),
            reset: RefCell::new((sender, receiver.shared())),
            stalled: Cell::new(0),
            opened: Cell::new(0),
            to,
        }));
        let listener = TcpListener::bind(listen)?;
        let acceptor = proxy.clone();
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(acceptor.clone().serve(stream));
            }
        });
        Ok(proxy)
    }

    pub fn cut(&self, cut: Option<Direction>) {
        self.0.cut.set(cut);
    }

    pub fn delay(&self, delay: Duration) {
        self.0.delay.set(delay);
    }

    pub fn reset(&self) {
        let (sender, receiver) = oneshot::channel();
        let old = self.0.reset.replace((sender, receiver.shared()));
        drop(old);
    }

    pub fn stall(&self) {
        self.0.stalled.set(self.0.opened.get());
    }

    async fn serve(self, client: TcpStream) {
        let number = self.0.opened.get();
        self.0.opened.set(number + 1);
        let mut reset = self.0.reset.borrow().1.clone();
        while self.0.cut.get() == Some(Direction::Both) {
            monoio::time::sleep(POLL).await;
        }
        let Ok(server) = TcpStream::connect_addr(self.0.to).await else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let forward = self
            .pump(number, Direction::To, client_read, server_write)
            .fuse();
        let backward = self
            .pump(number, Direction::From, server_read, client_write)
            .fuse();
        pin_mut!(forward, backward);
        select_biased! {
            _ = reset => {}
            () = forward => {}
            () = backward => {}
        }
    }

    /// Forwards data in one direction until either side closes its connection.
    async fn pump(
        &self,
        number: u64,
        direction: Direction,
        mut from: impl AsyncReadRent,
        mut to: impl AsyncWriteRentExt,
    ) {
        loop {
            let (read, bytes) = from.read(Vec::with_capacity(READ_SIZE)).await;
            if !matches!(read, Ok(count) if count > 0) {
                return;
            }
            monoio::time::sleep(self.0.delay.get()).await;
            while self.is_blocked(number, direction) {
                monoio::time::sleep(POLL).await;
            }
            if to.write_all(bytes).await.0.is_err() {
                return;
            }
        }
    }

    fn is_blocked(&self, number: u64, direction: Direction) -> bool {
        let cut = self.0.cut.get();
        cut == Some(Direction::Both) || cut == Some(direction) || number < self.0.stalled.get()
    }
}
