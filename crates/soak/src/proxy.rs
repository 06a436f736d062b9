//! A TCP proxy in front of each daemon's port for peers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use futures::future::{FutureExt, Shared};
use futures::{pin_mut, select_biased};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};

use crate::plan::Cut;

/// Bytes that are read at once.
const READ_SIZE: usize = 16 << 10;
/// Time between two looks at whether a fault is over.
const POLL: Duration = Duration::from_millis(5);

/// What befalls connections to one daemon.
#[derive(Clone, Debug)]
pub(crate) struct Proxy(Rc<State>);

#[derive(Debug)]
struct State {
    cut: Cell<Option<Cut>>,
    delay: Cell<Duration>,
    /// Ends all connections opened so far.
    reset: RefCell<(oneshot::Sender<()>, Shared<oneshot::Receiver<()>>)>,
    /// Connections opened before this one carry nothing.
    silenced: Cell<u64>,
    opened: Cell<u64>,
    to: SocketAddr,
}

impl Proxy {
    /// Starts a proxy inside the runtime.
    pub fn start(listen: SocketAddr, to: SocketAddr) -> std::io::Result<Self> {
        let (sender, receiver) = oneshot::channel();
        let proxy = Self(Rc::new(State {
            cut: Cell::new(None),
            delay: Cell::new(Duration::ZERO),
            reset: RefCell::new((sender, receiver.shared())),
            silenced: Cell::new(0),
            opened: Cell::new(0),
            to,
        }));
        let listener = TcpListener::bind(listen)?;
        let accepting = proxy.clone();
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(accepting.clone().carry(stream));
            }
        });
        Ok(proxy)
    }

    pub fn cut(&self, cut: Option<Cut>) {
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

    pub fn silence(&self) {
        self.0.silenced.set(self.0.opened.get());
    }

    async fn carry(self, near: TcpStream) {
        let number = self.0.opened.get();
        self.0.opened.set(number + 1);
        let mut reset = self.0.reset.borrow().1.clone();
        while self.0.cut.get() == Some(Cut::Both) {
            monoio::time::sleep(POLL).await;
        }
        let Ok(far) = TcpStream::connect_addr(self.0.to).await else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let there = self.pump(number, Cut::To, near_read, far_write).fuse();
        let back = self.pump(number, Cut::From, far_read, near_write).fuse();
        pin_mut!(there, back);
        select_biased! {
            _ = reset => {}
            () = there => {}
            () = back => {}
        }
    }

    /// Carries bytes in one direction until either side closes.
    async fn pump(
        &self,
        number: u64,
        direction: Cut,
        mut from: impl AsyncReadRent,
        mut to: impl AsyncWriteRentExt,
    ) {
        loop {
            let (read, bytes) = from.read(Vec::with_capacity(READ_SIZE)).await;
            if !matches!(read, Ok(count) if count > 0) {
                return;
            }
            monoio::time::sleep(self.0.delay.get()).await;
            while self.holds(number, direction) {
                monoio::time::sleep(POLL).await;
            }
            if to.write_all(bytes).await.0.is_err() {
                return;
            }
        }
    }

    fn holds(&self, number: u64, direction: Cut) -> bool {
        let cut = self.0.cut.get();
        cut == Some(Cut::Both) || cut == Some(direction) || number < self.0.silenced.get()
    }
}
