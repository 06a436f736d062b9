//! The task that owns one connection to a peer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::channel::mpsc;
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::memory::Owner;
use hawthornwall_core::outcome::Loss;
use hawthornwall_wire::peer::{Reply, Request, decode_reply, request_parts};
use monoio::net::TcpStream;

use super::super::link::{Delivery, ExchangeReports, ExchangeSize};
use super::frame::{Frame, FrameStream};
use crate::memory::{Memory, Serving};
use crate::messages::PeerFault;

/// Maximum time to open a connection. A machine that is down doesn't reply at all, and another target
/// answers sooner; a daemon that is being restarted refuses the connection at once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which an idle connection is closed. The accepting side uses a longer timeout, so that it
/// never closes a connection on which a request is being sent.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Number of checks for received bytes within the silence timeout.
const SILENCE_CHECKS: u32 = 3;

/// A message from a connection task to the pool.
#[derive(Debug)]
pub(super) enum ConnReport {
    /// The connection has closed.
    Closed(ConnEnd),
    /// The connection is idle and can be reused.
    Idle {
        conn: mpsc::UnboundedSender<Delivery>,
        peer: SocketAddr,
    },
}

/// Traffic of a closed connection, in bytes.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnEnd {
    pub peer: SocketAddr,
    pub received: u64,
    pub sent: u64,
}

/// Parameters of a connection task.
#[derive(Clone, Debug)]
pub(super) struct ConnStart {
    pub exchange_reports: ExchangeReports,
    /// Maximum message size in bytes.
    pub limit: usize,
    /// Budget of buffered bytes and connections.
    pub memory: Memory,
    pub peer: SocketAddr,
    pub reports: mpsc::UnboundedSender<ConnReport>,
    /// Time without received bytes, while a reply is expected, after which the connection is closed.
    pub silence: Duration,
}

/// Opens a connection and handles requests on it, `first` before others, until it closes.
pub(super) async fn run(start: ConnStart, first: Delivery) {
    let (peer, reports) = (start.peer, start.reports.clone());
    let mut end = ConnEnd {
        peer,
        received: 0,
        sent: 0,
    };
    if let Some((mut conn, first)) = open(start, first).await {
        {
            let lease = conn.stream.lease();
            let (serve, evicted) = (conn.serve(first).fuse(), lease.evicted().fuse());
            pin_mut!(serve, evicted);
            select_biased! {
                () = serve => {}
                () = evicted => {}
            }
        }
        end.received = conn.stream.received();
        end.sent = conn.stream.sent();
    }
    let _ = reports.unbounded_send(ConnReport::Closed(end));
}

async fn open(start: ConnStart, mut first: Delivery) -> Option<(Conn, Delivery)> {
    let Some(lease) = start.memory.open(Owner::Peer).await else {
        let _ = first.reply.send(Err(PeerFault::Memory));
        return None;
    };
    let connected = {
        let connect = TcpStream::connect_addr(start.peer);
        let connect = monoio::time::timeout(CONNECT_TIMEOUT, connect).fuse();
        let cancelled = first.reply.cancellation().fuse();
        pin_mut!(connect, cancelled);
        select_biased! {
            connected = connect => connected.ok().and_then(Result::ok),
            () = cancelled => return None,
        }
    };
    let Some(tcp) = connected else {
        let _ = first.reply.send(Err(PeerFault::Unreachable));
        return None;
    };
    let stream = FrameStream::new(tcp, start.limit, lease);
    Some((Conn { start, stream }, first))
}

struct Conn {
    start: ConnStart,
    stream: FrameStream,
}

impl Conn {
    async fn serve(&mut self, first: Delivery) {
        let (sender, mut deliveries) = mpsc::unbounded();
        let mut next = Some(first);
        while let Some(delivery) = next {
            if !self.process(delivery).await {
                return;
            }
            let idle = ConnReport::Idle {
                conn: sender.clone(),
                peer: self.start.peer,
            };
            if self.start.reports.unbounded_send(idle).is_err() {
                return;
            }
            next = self.next_delivery(&mut deliveries).await;
        }
    }

    /// Returns the next request, or `None` if the connection must be closed: after [`IDLE_TIMEOUT`], or
    /// as soon as the peer closes it or sends data. A request sent on a closed connection would be
    /// counted as lost.
    async fn next_delivery(
        &mut self,
        deliveries: &mut mpsc::UnboundedReceiver<Delivery>,
    ) -> Option<Delivery> {
        let activity = self.stream.activity().fuse();
        let idle = monoio::time::sleep(IDLE_TIMEOUT).fuse();
        pin_mut!(activity, idle);
        select_biased! {
            delivery = deliveries.next() => delivery,
            () = activity => None,
            () = idle => None,
        }
    }

    /// Sends one request and delivers its reply; returns whether the connection can be reused.
    async fn process(&mut self, delivery: Delivery) -> bool {
        let Delivery {
            mut reply, request, ..
        } = delivery;
        let result = {
            let exchange = self.exchange(&request).fuse();
            let cancelled = reply.cancellation().fuse();
            pin_mut!(exchange, cancelled);
            select_biased! {
                result = exchange => result,
                // Closing the connection cancels the work.
                () = cancelled => return false,
            }
        };
        let open = result.is_ok();
        let _ = reply.send(result);
        // From now on the reply counts for the connection that it goes to.
        let _ = self.stream.hold(0, Serving::Nothing).await;
        open
    }

    async fn exchange(&mut self, request: &Request) -> Result<Reply, PeerFault> {
        let lost = PeerFault::Lost(Loss::Closed);
        let _ = self.stream.hold(0, Serving::Running).await;
        let message = request_parts(request);
        let written = self.stream.write(&message, self.start.silence).await;
        written.map_err(|_| lost)?;
        let bytes = self.read_reply().await.ok_or(lost)?;
        match request {
            Request::StoreUpdate(_) | Request::Exchange(_) => {
                let _ = self.start.exchange_reports.unbounded_send(ExchangeSize {
                    received: bytes.len(),
                    sent: message.len(),
                });
            }
            Request::IssueKey { .. } | Request::Run(..) => {}
        }
        decode_reply(&bytes).map_err(|_| PeerFault::Lost(Loss::Malformed))
    }

    /// Reads the reply; `None` if the connection failed or nothing arrived within the silence timeout
    /// in spite of the keep-alive frames sent.
    async fn read_reply(&mut self) -> Option<Bytes> {
        let check_interval = self.start.silence / SILENCE_CHECKS;
        let (mut last, mut silent_checks) = (self.stream.received(), 0);
        loop {
            match monoio::time::timeout(check_interval, self.stream.read()).await {
                Ok(Ok(Frame::Message(bytes))) => return Some(bytes),
                Ok(Ok(Frame::KeepAlive)) => silent_checks = 0,
                Ok(Err(_)) => return None,
                Err(_) if self.stream.received() > last => silent_checks = 0,
                Err(_) => {
                    silent_checks += 1;
                    if silent_checks >= SILENCE_CHECKS {
                        return None;
                    }
                    self.stream.write_keep_alive(check_interval).await.ok()?;
                }
            }
            last = self.stream.received();
        }
    }
}
