//! The task that owns one connection to a peer.

use std::net::SocketAddr;
use std::time::Duration;

use futures::channel::mpsc;
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::outcome::Loss;
use hawthornwall_wire::peer::{Reply, Request, decode_reply, encode_request};
use monoio::net::TcpStream;

use super::super::link::{Delivery, ExchangeReports, Exchanged};
use super::frame::{Frame, FrameStream};
use crate::messages::PeerFault;

/// Longest time that a request waits for a connection to open. A daemon that is being restarted
/// refuses at once and an instance without power doesn't answer at all; another target is faster.
const CONNECT_WAIT: Duration = Duration::from_millis(150);
/// An unused connection closes after this time. The other side waits for longer, so that it never
/// closes a connection on which a request is under way.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Checks for a sign of life within the silence bound.
const CHECKS: u32 = 3;

/// To the pool, from the task of one of its connections.
#[derive(Debug)]
pub(super) enum ConnReport {
    /// The connection has closed.
    Closed(ConnEnd),
    /// The connection can take another request.
    Idle {
        conn: mpsc::UnboundedSender<Delivery>,
        peer: SocketAddr,
    },
}

/// What a closed connection has carried.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnEnd {
    pub peer: SocketAddr,
    pub received: u64,
    pub sent: u64,
}

/// What the task needs.
#[derive(Clone, Debug)]
pub(super) struct ConnStart {
    pub exchanges: ExchangeReports,
    /// Longest message.
    pub limit: usize,
    pub peer: SocketAddr,
    pub reports: mpsc::UnboundedSender<ConnReport>,
    /// A connection that is silent for so long while something is expected is given up.
    pub silence: Duration,
}

/// Opens a connection and carries a request, then further ones until the connection closes.
pub(super) async fn run(start: ConnStart, first: Delivery) {
    let (peer, reports) = (start.peer, start.reports.clone());
    let mut end = ConnEnd {
        peer,
        received: 0,
        sent: 0,
    };
    if let Some((mut conn, first)) = open(start, first).await {
        conn.serve(first).await;
        end.received = conn.stream.received();
        end.sent = conn.stream.sent();
    }
    let _ = reports.unbounded_send(ConnReport::Closed(end));
}

async fn open(start: ConnStart, mut first: Delivery) -> Option<(Conn, Delivery)> {
    let connected = {
        let connect = TcpStream::connect_addr(start.peer);
        let connect = monoio::time::timeout(CONNECT_WAIT, connect).fuse();
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
    let stream = FrameStream::new(tcp, start.limit);
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
            if !self.carry(delivery).await {
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

    /// Waits for a request. A peer that closes an idle connection is noticed at once, so that no
    /// request is sent into a closed connection and counted as lost.
    async fn next_delivery(
        &mut self,
        deliveries: &mut mpsc::UnboundedReceiver<Delivery>,
    ) -> Option<Delivery> {
        let disturbed = self.stream.disturbed().fuse();
        let idle = monoio::time::sleep(IDLE_TIMEOUT).fuse();
        pin_mut!(disturbed, idle);
        select_biased! {
            delivery = deliveries.next() => delivery,
            () = disturbed => None,
            () = idle => None,
        }
    }

    /// Carries one request; tells whether the connection can carry another.
    async fn carry(&mut self, delivery: Delivery) -> bool {
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
        open
    }

    async fn exchange(&mut self, request: &Request) -> Result<Reply, PeerFault> {
        let lost = PeerFault::Lost(Loss::Closed);
        let message = encode_request(request);
        let written = self.stream.write(&message, self.start.silence).await;
        written.map_err(|_| lost)?;
        let bytes = self.await_reply().await.ok_or(lost)?;
        match request {
            Request::StoreUpdate(_) | Request::Exchange(_) => {
                let _ = self.start.exchanges.unbounded_send(Exchanged {
                    received: bytes.len(),
                    sent: message.len(),
                });
            }
            Request::IssueKey { .. } | Request::Run(..) => {}
        }
        decode_reply(&bytes).map_err(|_| PeerFault::Lost(Loss::Malformed))
    }

    /// The reply; `None` once the connection has failed, or was silent for the whole bound although
    /// the peer was asked for a sign of life.
    async fn await_reply(&mut self) -> Option<Vec<u8>> {
        let pause = self.start.silence / CHECKS;
        let (mut known, mut quiet) = (self.stream.received(), 0);
        loop {
            match monoio::time::timeout(pause, self.stream.read()).await {
                Ok(Ok(Frame::Message(bytes))) => return Some(bytes),
                Ok(Ok(Frame::SignOfLife)) => quiet = 0,
                Ok(Err(_)) => return None,
                Err(_) if self.stream.received() > known => quiet = 0,
                Err(_) => {
                    quiet += 1;
                    if quiet >= CHECKS {
                        return None;
                    }
                    self.stream.write_sign_of_life(pause).await.ok()?;
                }
            }
            known = self.stream.received();
        }
    }
}
