//! The task that owns one connection to a peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::link::{CONNECT_TIMEOUT, Contact, LARGE_BODY, LATE_CONNECT_TIMEOUT};
use hawthornwall_core::memory::Owner;
use hawthornwall_core::outcome::Loss;
use hawthornwall_core::time::Time;
use hawthornwall_wire::peer::{BodyOffer, Reply, Request, RequestId, decode_reply, request_parts};
use monoio::net::TcpStream;

use super::super::bodies::Bodies;
use super::super::link::{Delivery, ExchangeReports, ExchangeSize};
use super::frame::{Frame, FrameStream};
use crate::clock::Clock;
use crate::memory::{Memory, Serving};
use crate::messages::PeerFault;

/// Time before the deadline of a request at which the wait for a late connection ends, so that the refusal
/// reaches the caller in time.
const REFUSAL_MARGIN: Duration = Duration::from_millis(50);
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
    /// A peer was reached, late or not at all.
    Contact { contact: Contact, peer: SocketAddr },
    /// The connection is idle and can be reused.
    Idle {
        conn: mpsc::UnboundedSender<Delivery>,
        peer: SocketAddr,
    },
    /// The peer has closed the connection instead of deciding on an offer. Nothing of the request was sent.
    OfferRejected(Delivery),
    /// The connection has not opened within [`CONNECT_TIMEOUT`].
    Late {
        decision: oneshot::Sender<LateDecision>,
        peer: SocketAddr,
        /// When the connection was begun.
        since: Time,
    },
}

/// What becomes of a request whose connection opens late.
#[derive(Debug)]
pub(super) enum LateDecision {
    /// The request fails for this reason.
    Fail(PeerFault),
    /// The own link is free again: the connection is begun anew.
    Retry,
    /// Another connection to the peer is idle and takes the request.
    Use(mpsc::UnboundedSender<Delivery>),
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
    pub clock: Clock,
    pub exchange_reports: ExchangeReports,
    /// Maximum message size in bytes.
    pub limit: usize,
    /// Budget of buffered bytes and connections.
    pub memory: Memory,
    /// Orders large bodies on the own link; `None` if its rate isn't set.
    pub outgoing: Option<Bodies>,
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

async fn open(start: ConnStart, mut delivery: Delivery) -> Option<(Conn, Delivery)> {
    let Some(lease) = start.memory.open(Owner::Peer).await else {
        let _ = delivery.reply.send(Err(PeerFault::Memory));
        return None;
    };
    let connected = {
        let connect = start.connect(wait_limit(&delivery.request)).fuse();
        let cancelled = delivery.reply.cancellation().fuse();
        pin_mut!(connect, cancelled);
        select_biased! {
            connected = connect => connected,
            () = cancelled => return None,
        }
    };
    match connected {
        Connected::Opened(tcp) => {
            let stream = FrameStream::new(tcp, start.limit, lease);
            Some((Conn { start, stream }, delivery))
        }
        Connected::Failed(fault) => {
            let _ = delivery.reply.send(Err(fault));
            None
        }
        Connected::Other(conn) => {
            if let Err(unsent) = conn.unbounded_send(delivery) {
                let _ = unsent.into_inner().reply.send(Err(PeerFault::Unreachable));
            }
            None
        }
    }
}

/// Maximum time for which a request waits for its connection. A request whose wait outlasts its deadline
/// would count as one that may have run.
fn wait_limit(request: &Request) -> Duration {
    match request {
        Request::Run(_, run) => {
            let useful = run.time_left.saturating_sub(REFUSAL_MARGIN);
            useful.clamp(CONNECT_TIMEOUT, LATE_CONNECT_TIMEOUT)
        }
        Request::StoreUpdate(_)
        | Request::Exchange(_)
        | Request::IssueKey { .. }
        | Request::OfferBody(..) => LATE_CONNECT_TIMEOUT,
    }
}

/// Result of opening a connection.
enum Connected {
    Failed(PeerFault),
    Opened(TcpStream),
    /// An idle connection takes the request.
    Other(mpsc::UnboundedSender<Delivery>),
}

impl ConnStart {
    /// Opens a connection within [`CONNECT_TIMEOUT`], or within `limit` while the own link is saturated.
    async fn connect(&self, limit: Duration) -> Connected {
        let since = self.clock.now();
        let connect = TcpStream::connect_addr(self.peer).fuse();
        let on_time = monoio::time::sleep(CONNECT_TIMEOUT).fuse();
        pin_mut!(connect, on_time);
        select_biased! {
            connected = connect => return self.reached(connected),
            () = on_time => {}
        }
        let (decision, decided) = oneshot::channel();
        let peer = self.peer;
        let _ = self.reports.unbounded_send(ConnReport::Late {
            decision,
            peer,
            since,
        });
        let limit = monoio::time::sleep(limit.saturating_sub(CONNECT_TIMEOUT)).fuse();
        let decided = decided.fuse();
        pin_mut!(decided, limit);
        let decision = select_biased! {
            connected = connect => {
                self.report(Contact::Late);
                return connected.map_or(Connected::Failed(PeerFault::Unreachable), Connected::Opened);
            }
            decision = decided => decision.unwrap_or(LateDecision::Fail(PeerFault::Unreachable)),
            () = limit => LateDecision::Fail(PeerFault::Link),
        };
        match decision {
            LateDecision::Fail(fault) => Connected::Failed(fault),
            LateDecision::Retry => {
                let again = TcpStream::connect_addr(self.peer);
                match monoio::time::timeout(CONNECT_TIMEOUT, again).await {
                    Ok(connected) => self.reached(connected),
                    Err(_) => Connected::Failed(PeerFault::Unreachable),
                }
            }
            LateDecision::Use(conn) => Connected::Other(conn),
        }
    }

    /// Handles a reply to a connection request. A peer that refuses connections was reached, too.
    fn reached(&self, connected: io::Result<TcpStream>) -> Connected {
        let contact = match &connected {
            Ok(_) => true,
            Err(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        };
        if contact {
            self.report(Contact::Reached);
        }
        connected.map_or(Connected::Failed(PeerFault::Unreachable), Connected::Opened)
    }

    /// Reports a reply on an open connection. A new connection would have opened in about the same time.
    fn report_reply(&self, elapsed: Duration) {
        self.report(if elapsed < CONNECT_TIMEOUT {
            Contact::Reached
        } else {
            Contact::Late
        });
    }

    fn report(&self, contact: Contact) {
        let peer = self.peer;
        let _ = self
            .reports
            .unbounded_send(ConnReport::Contact { contact, peer });
    }
}

/// Why a message got no reply.
#[derive(Clone, Copy, Debug)]
enum ExchangeFault {
    Closed,
    Malformed,
    Silent,
}

impl ExchangeFault {
    fn loss(self) -> Loss {
        match self {
            Self::Closed | Self::Silent => Loss::Closed,
            Self::Malformed => Loss::Malformed,
        }
    }
}

/// Why a request got no reply.
#[derive(Debug)]
enum SendFault {
    OfferRejected,
    Peer(PeerFault),
}

/// Nothing of the request itself was sent when its offer got no reply.
fn offer_fault(fault: ExchangeFault) -> SendFault {
    match fault {
        ExchangeFault::Closed => SendFault::OfferRejected,
        ExchangeFault::Malformed | ExchangeFault::Silent => SendFault::Peer(PeerFault::Unreachable),
    }
}

/// The offer of a request with a large body; `None` if its body is small.
fn large_body(request: &Request) -> Option<(RequestId, BodyOffer)> {
    let Request::Run(id, run) = request else {
        return None;
    };
    let size = run.http.body.len();
    let offer = BodyOffer {
        max_wait: run.max_wait,
        objective: run.objective,
        objective_left: run.objective_left,
        rank: run.rank,
        size: size as u64,
        time_left: run.time_left,
    };
    (size >= LARGE_BODY).then_some((*id, offer))
}

/// Whether the peer may refuse the offer of a request. The refusal of a repeat, or of a request with a key, would
/// speak for its first attempt, which only the records of the gate know; an offer doesn't reach them.
fn may_offer(request: &Request) -> bool {
    match request {
        Request::Run(_, run) => run.first_instance.is_none() && run.key.is_none(),
        Request::StoreUpdate(_)
        | Request::Exchange(_)
        | Request::IssueKey { .. }
        | Request::OfferBody(..) => false,
    }
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
    async fn process(&mut self, mut delivery: Delivery) -> bool {
        let result = {
            let Delivery {
                offers,
                reply,
                request,
                ..
            } = &mut delivery;
            let exchange = self.offer_and_exchange(*offers, request).fuse();
            let cancelled = reply.cancellation().fuse();
            pin_mut!(exchange, cancelled);
            select_biased! {
                result = exchange => result,
                // Closing the connection cancels the work.
                () = cancelled => return false,
            }
        };
        let result = match result {
            Ok(reply) => Ok(reply),
            Err(SendFault::OfferRejected) => {
                let rejected = ConnReport::OfferRejected(delivery);
                let _ = self.start.reports.unbounded_send(rejected);
                return false;
            }
            Err(SendFault::Peer(fault)) => Err(fault),
        };
        let open = result.is_ok();
        let _ = delivery.reply.send(result);
        // From now on the reply counts for the connection that it goes to.
        self.stream.lease().hand_over();
        open
    }

    /// Sends a request; if it has a large body, as soon as its offer is granted and the own link has room.
    /// Returns the reply to the request, or to the offer if it is refused.
    async fn offer_and_exchange(
        &mut self,
        offers: bool,
        request: &Request,
    ) -> Result<Reply, SendFault> {
        let body = large_body(request);
        let begun = self.start.clock.now();
        if let Some((id, offer)) = body.filter(|_| offers && may_offer(request)) {
            let reply = self.exchange(&Request::OfferBody(id, offer)).await;
            match reply.map_err(offer_fault)? {
                Reply::BodyGranted(granted) if granted == id => {}
                Reply::Run(refused) => return Ok(Reply::Run(refused)),
                Reply::BodyGranted(_) | Reply::Exchange(_) | Reply::StoreUpdate(_) => {
                    return Err(SendFault::Peer(PeerFault::Unreachable));
                }
            }
        }
        let _grant = match (body, &self.start.outgoing) {
            (Some((_, offer)), Some(outgoing)) => {
                // The link is the same to all targets.
                let max_wait = Duration::MAX;
                let admitted = outgoing.admit(BodyOffer { max_wait, ..offer }).await;
                Some(admitted.map_err(|_| SendFault::Peer(PeerFault::Link))?)
            }
            (Some(_) | None, _) => None,
        };
        let waited = self.start.clock.now() - begun;
        let reply = self.exchange(request).await;
        let mut reply = reply.map_err(|fault| SendFault::Peer(PeerFault::Lost(fault.loss())))?;
        if let Reply::Run(reply) = &mut reply {
            // A wait for a link is no network delay: it says nothing about requests without a body.
            reply.held += waited;
        }
        Ok(reply)
    }

    async fn exchange(&mut self, request: &Request) -> Result<Reply, ExchangeFault> {
        let _ = self.stream.hold(0, Serving::Running).await;
        let message = request_parts(request);
        let sent = self.start.clock.now();
        let written = self.stream.write(&message, self.start.silence).await;
        written.map_err(|_| ExchangeFault::Closed)?;
        let bytes = self.read_reply().await?;
        match request {
            Request::StoreUpdate(_) | Request::Exchange(_) => {
                let _ = self.start.exchange_reports.unbounded_send(ExchangeSize {
                    received: bytes.len(),
                    sent: message.len(),
                });
            }
            Request::IssueKey { .. } | Request::OfferBody(..) | Request::Run(..) => {}
        }
        let reply = decode_reply(&bytes).map_err(|_| ExchangeFault::Malformed)?;
        self.report_transit(&reply, self.start.clock.now() - sent);
        Ok(reply)
    }

    /// Reports how long a reply took, apart from the time at the peer.
    fn report_transit(&self, reply: &Reply, elapsed: Duration) {
        match reply {
            Reply::Run(reply) => self.start.report_reply(elapsed.saturating_sub(reply.held)),
            // How long these were held at the peer is unknown.
            Reply::BodyGranted(_) | Reply::Exchange(_) | Reply::StoreUpdate(_) => {}
        }
    }

    /// Reads the reply. Fails as silent if nothing arrived within the silence timeout in spite of the
    /// keep-alive frames sent.
    async fn read_reply(&mut self) -> Result<Bytes, ExchangeFault> {
        let check_interval = self.start.silence / SILENCE_CHECKS;
        let (mut last, mut silent_checks) = (self.stream.received(), 0);
        let (mut heard, mut asked) = (self.start.clock.now(), None);
        loop {
            let read = monoio::time::timeout(check_interval, self.stream.read()).await;
            let now = self.start.clock.now();
            match read {
                Ok(Ok(Frame::Message(bytes))) => return Ok(bytes),
                Ok(Ok(Frame::KeepAlive)) => {
                    silent_checks = 0;
                    if let Some(asked) = asked.take() {
                        self.start.report_reply(now - asked);
                    }
                }
                Ok(Err(_)) => return Err(ExchangeFault::Closed),
                Err(_) if self.stream.received() > last => silent_checks = 0,
                Err(_) => {
                    silent_checks += 1;
                    if silent_checks >= SILENCE_CHECKS {
                        self.start.report(Contact::Silent(heard));
                        return Err(ExchangeFault::Silent);
                    }
                    asked = asked.or(Some(now));
                    let written = self.stream.write_keep_alive(check_interval).await;
                    written.map_err(|_| ExchangeFault::Closed)?;
                }
            }
            if silent_checks == 0 {
                heard = now;
            }
            last = self.stream.received();
        }
    }
}
