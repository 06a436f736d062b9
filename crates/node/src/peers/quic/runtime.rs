//! Adapter that runs quinn on monoio.
//!
//! Invariant: the endpoint, its sockets and its timers stay on the thread that created them. quinn
//! requires `Send`, which monoio's types don't implement; `SendWrapper` implements it and panics when
//! used on another thread.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::Future;
use std::io::{self, IoSliceMut};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use futures::future::LocalBoxFuture;
use monoio::net::udp::UdpSocket;
use monoio::time::Sleep;
use quinn::udp::{RecvMeta, Transmit, UdpSockRef, UdpSocketState};
use quinn::{AsyncTimer, AsyncUdpSocket, Runtime, UdpPoller};
use send_wrapper::SendWrapper;

/// Size of the IPv4 and UDP headers of a datagram in bytes.
const DATAGRAM_OVERHEAD: usize = 28;

/// Bytes of datagrams since the start, including IP and UDP headers. Clones share the counters.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Bytes received.
    pub received: Rc<Cell<u64>>,
    /// Bytes sent.
    pub sent: Rc<Cell<u64>>,
}

/// Implements quinn's runtime interface with the monoio runtime of the current thread.
pub struct MonoioRuntime {
    traffic: SendWrapper<Traffic>,
}

impl MonoioRuntime {
    /// Creates a runtime whose sockets count their datagrams in `traffic`.
    pub fn new(traffic: &Traffic) -> Self {
        Self {
            traffic: SendWrapper::new(traffic.clone()),
        }
    }
}

impl fmt::Debug for MonoioRuntime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("MonoioRuntime")
    }
}

impl Runtime for MonoioRuntime {
    fn new_timer(&self, at: Instant) -> Pin<Box<dyn AsyncTimer>> {
        let sleep = Box::pin(monoio::time::sleep_until(at.into()));
        Box::pin(Timer(SendWrapper::new(sleep)))
    }

    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()> + Send>>) {
        monoio::spawn(future);
    }

    fn wrap_udp_socket(&self, socket: std::net::UdpSocket) -> io::Result<Arc<dyn AsyncUdpSocket>> {
        let state = UdpSocketState::new((&socket).into())?;
        let readiness = Rc::new(UdpSocket::from_std(socket.try_clone()?)?);
        let readable = RefCell::new(None);
        let traffic = (*self.traffic).clone();
        let inner = SendWrapper::new(SocketInner {
            readable,
            readiness,
            traffic,
        });
        Ok(Arc::new(Socket {
            inner,
            io: socket,
            state,
        }))
    }
}

struct Timer(SendWrapper<Pin<Box<Sleep>>>);

impl fmt::Debug for Timer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Timer")
    }
}

impl AsyncTimer for Timer {
    fn reset(mut self: Pin<&mut Self>, at: Instant) {
        self.0.as_mut().reset(at.into());
    }

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(cx)
    }
}

type Readiness = LocalBoxFuture<'static, io::Result<()>>;

struct SocketInner {
    readable: RefCell<Option<Readiness>>,
    readiness: Rc<UdpSocket>,
    traffic: Traffic,
}

struct Socket {
    inner: SendWrapper<SocketInner>,
    io: std::net::UdpSocket,
    state: UdpSocketState,
}

impl fmt::Debug for Socket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Socket")
            .field("io", &self.io)
            .finish_non_exhaustive()
    }
}

impl Socket {
    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut slot = self.inner.readable.borrow_mut();
        let future = slot.get_or_insert_with(|| {
            let socket = Rc::clone(&self.inner.readiness);
            Box::pin(async move { socket.readable(false).await })
        });
        let result = ready!(future.as_mut().poll(cx));
        *slot = None;
        Poll::Ready(result)
    }
}

impl AsyncUdpSocket for Socket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        let socket = Rc::clone(&self.inner.readiness);
        Box::pin(Writable(SendWrapper::new(WritableInner {
            future: None,
            socket,
        })))
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        self.state.try_send(UdpSockRef::from(&self.io), transmit)?;
        let size = transmit.contents.len();
        let datagrams = transmit
            .segment_size
            .map_or(1, |segment| size.div_ceil(segment.max(1)));
        add(&self.inner.traffic.sent, size, datagrams);
        Ok(())
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        loop {
            match self.state.recv(UdpSockRef::from(&self.io), bufs, meta) {
                Ok(count) => {
                    for recv_meta in &meta[..count] {
                        let datagrams = recv_meta.len.div_ceil(recv_meta.stride.max(1));
                        add(&self.inner.traffic.received, recv_meta.len, datagrams);
                    }
                    return Poll::Ready(Ok(count));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.poll_readable(cx))?;
                }
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    fn max_transmit_segments(&self) -> usize {
        self.state.max_gso_segments()
    }

    fn max_receive_segments(&self) -> usize {
        self.state.gro_segments()
    }

    fn may_fragment(&self) -> bool {
        self.state.may_fragment()
    }
}

fn add(counter: &Cell<u64>, bytes: usize, datagrams: usize) {
    counter.set(counter.get() + (bytes + datagrams * DATAGRAM_OVERHEAD) as u64);
}

struct WritableInner {
    future: Option<Readiness>,
    socket: Rc<UdpSocket>,
}

struct Writable(SendWrapper<WritableInner>);

impl fmt::Debug for Writable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Writable")
    }
}

impl UdpPoller for Writable {
    fn poll_writable(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let inner = &mut *self.0;
        let socket = &inner.socket;
        let future = inner.future.get_or_insert_with(|| {
            let socket = Rc::clone(socket);
            Box::pin(async move { socket.writable(false).await })
        });
        let result = ready!(future.as_mut().poll(cx));
        inner.future = None;
        Poll::Ready(result)
    }
}
