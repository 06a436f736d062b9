//! The task that tracks open and idle connections to peers.
//!
//! Invariant: a connection is listed as idle only while no request uses it.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use futures::{StreamExt, select_biased};
use hawthornwall_core::link::{Contact, LinkChange, OwnLink, Verdict};
use hawthornwall_core::time::Time;

use super::super::bodies::Bodies;
use super::super::link::{Delivery, ExchangeReports, LinkTraffic};
use super::conn::{self, ConnEnd, ConnReport, ConnStart, LateDecision};
use crate::clock::Clock;
use crate::memory::Memory;
use crate::messages::PeerFault;
use crate::telemetry::{Event, LinkEvent, Telemetry, log};

/// Maximum number of connections to one peer. A target runs and queues far fewer requests of one daemon.
const CONNECTION_LIMIT: usize = 256;

/// Time for which a peer that closed its connection on an offer gets large bodies without one. It is a build
/// that doesn't know offers, or has just been restarted.
const WITHOUT_OFFERS: Duration = Duration::from_secs(10);

/// A message of the link to the pool.
#[derive(Debug)]
pub(super) enum PoolMessage {
    /// Send a request to a peer.
    Send(Delivery),
    /// Report connections and traffic.
    Traffic(oneshot::Sender<LinkTraffic>),
}

/// The connections to one peer.
#[derive(Debug, Default)]
struct Peer {
    idle: Vec<mpsc::UnboundedSender<Delivery>>,
    /// Requests whose connections are late, in order.
    late: VecDeque<oneshot::Sender<LateDecision>>,
    open: usize,
}

impl Peer {
    /// Lists a connection as idle, unless a request waits for one.
    fn offer_idle(&mut self, conn: mpsc::UnboundedSender<Delivery>) {
        self.idle.push(conn);
        self.use_idle();
    }

    /// Passes idle connections to the requests whose own connections are late.
    fn use_idle(&mut self) {
        while !self.late.is_empty() {
            let Some(conn) = self.idle.pop() else { return };
            if conn.is_closed() {
                continue;
            }
            let mut unused = Some(conn);
            while let (Some(conn), Some(late)) = (unused.take(), self.late.pop_front()) {
                if let Err(LateDecision::Use(conn)) = late.send(LateDecision::Use(conn)) {
                    unused = Some(conn);
                }
            }
            self.idle.extend(unused);
        }
    }
}

/// Parameters of [`Pool::new`].
#[derive(Debug)]
pub(super) struct PoolStart {
    pub clock: Clock,
    pub exchange_reports: ExchangeReports,
    /// Maximum message size in bytes.
    pub limit: usize,
    /// Budget of buffered bytes and connections.
    pub memory: Memory,
    /// Orders large bodies on the own link; `None` if its rate isn't set.
    pub outgoing: Option<Bodies>,
    pub receiver: mpsc::UnboundedReceiver<PoolMessage>,
    /// Time without received bytes, while a reply is expected, after which a connection is closed.
    pub silence: Duration,
    pub telemetry: Telemetry,
}

/// The state of the pool task.
#[derive(Debug)]
pub(super) struct Pool {
    clock: Clock,
    exchange_reports: ExchangeReports,
    limit: usize,
    memory: Memory,
    /// `None` if the rate of the own link isn't set.
    own_link: Option<OwnLink<SocketAddr>>,
    outgoing: Option<Bodies>,
    peers: HashMap<SocketAddr, Peer>,
    receiver: mpsc::UnboundedReceiver<PoolMessage>,
    reports: mpsc::UnboundedReceiver<ConnReport>,
    sender: mpsc::UnboundedSender<ConnReport>,
    silence: Duration,
    telemetry: Telemetry,
    traffic: LinkTraffic,
    /// Peers that don't understand offers, and until when they aren't sent any.
    without_offers: HashMap<SocketAddr, Time>,
}

impl Pool {
    pub fn new(start: PoolStart) -> Self {
        let (sender, reports) = mpsc::unbounded();
        Self {
            clock: start.clock,
            exchange_reports: start.exchange_reports,
            limit: start.limit,
            memory: start.memory,
            own_link: start.outgoing.as_ref().map(|_| OwnLink::default()),
            outgoing: start.outgoing,
            peers: HashMap::new(),
            receiver: start.receiver,
            reports,
            sender,
            silence: start.silence,
            telemetry: start.telemetry,
            traffic: LinkTraffic::default(),
            without_offers: HashMap::new(),
        }
    }

    /// Handles messages until the link is dropped.
    pub async fn run(mut self) {
        loop {
            select_biased! {
                report = self.reports.next() => self.handle_report(report),
                message = self.receiver.next() => match message {
                    Some(PoolMessage::Send(delivery)) => self.send(delivery),
                    Some(PoolMessage::Traffic(reply)) => {
                        let _ = reply.send(self.traffic());
                    }
                    None => return,
                },
            }
        }
    }

    fn handle_report(&mut self, report: Option<ConnReport>) {
        match report {
            Some(ConnReport::Closed(end)) => self.remove_connection(&end),
            Some(ConnReport::Contact { contact, peer }) => self.observe(peer, contact),
            Some(ConnReport::Idle { conn, peer }) => {
                if let Some(existing) = self.peers.get_mut(&peer) {
                    existing.offer_idle(conn);
                }
            }
            Some(ConnReport::Late {
                decision,
                peer,
                since,
            }) => self.decide_late(peer, since, decision),
            Some(ConnReport::OfferRejected(delivery)) => {
                let now = self.clock.now();
                self.without_offers.retain(|_, until| *until > now);
                self.without_offers
                    .insert(delivery.to, now + WITHOUT_OFFERS);
                self.send(delivery);
            }
            // Unreachable: the pool itself owns a sender.
            None => {}
        }
    }

    fn observe(&mut self, peer: SocketAddr, contact: Contact) {
        let Some(link) = &mut self.own_link else {
            return;
        };
        match link.on(peer, contact, self.clock.now()) {
            Some(LinkChange::Saturated) => {
                self.telemetry.record(Event::Link(LinkEvent::Saturated));
                log::warn!("the own link is saturated: several peers are silent and none answers");
            }
            Some(LinkChange::Free) => {
                log::info!("the own link is free again");
                for decision in self.peers.values_mut().flat_map(|peer| peer.late.drain(..)) {
                    let _ = decision.send(LateDecision::Retry);
                }
            }
            None => {}
        }
    }

    /// Decides on a request whose connection has not opened in time.
    fn decide_late(
        &mut self,
        peer: SocketAddr,
        since: Time,
        decision: oneshot::Sender<LateDecision>,
    ) {
        self.observe(peer, Contact::Silent(since));
        let now = self.clock.now();
        let link = self.own_link.as_ref();
        let fail = match link.map_or(Verdict::GiveUp, |link| link.verdict(now)) {
            Verdict::GiveUp => PeerFault::Unreachable,
            Verdict::Refuse => PeerFault::Link,
            Verdict::Wait => {
                let peer = self.peers.entry(peer).or_default();
                peer.late.retain(|late| !late.is_canceled());
                peer.late.push_back(decision);
                return peer.use_idle();
            }
        };
        let _ = decision.send(LateDecision::Fail(fail));
    }

    fn remove_connection(&mut self, end: &ConnEnd) {
        self.traffic.received += end.received;
        self.traffic.sent += end.sent;
        let Some(peer) = self.peers.get_mut(&end.peer) else {
            return;
        };
        peer.open = peer.open.saturating_sub(1);
        peer.idle.retain(|conn| !conn.is_closed());
        if peer.open == 0 {
            self.peers.remove(&end.peer);
        }
    }

    /// Passes a request to the most recently used idle connection, or opens a new one. If an idle
    /// connection has closed in the meantime, the request is returned unsent and the next one is tried.
    fn send(&mut self, mut delivery: Delivery) {
        let address = delivery.to;
        let now = self.clock.now();
        let understood = self.without_offers.get(&address);
        let understood = understood.is_none_or(|until| *until <= now);
        delivery.offers = self.own_link.is_some() && understood;
        let peer = self.peers.entry(address).or_default();
        while let Some(conn) = peer.idle.pop() {
            match conn.unbounded_send(delivery) {
                Ok(()) => return,
                Err(unsent) => delivery = unsent.into_inner(),
            }
        }
        if peer.open >= CONNECTION_LIMIT {
            let _ = delivery.reply.send(Err(PeerFault::Busy));
            return;
        }
        peer.open += 1;
        let start = ConnStart {
            clock: self.clock,
            exchange_reports: self.exchange_reports.clone(),
            limit: self.limit,
            memory: self.memory.clone(),
            outgoing: self.outgoing.clone(),
            peer: address,
            reports: self.sender.clone(),
            silence: self.silence,
        };
        monoio::spawn(conn::run(start, delivery));
    }

    fn traffic(&self) -> LinkTraffic {
        LinkTraffic {
            connections: self.peers.values().map(|p| p.open).sum(),
            ..self.traffic
        }
    }
}
