//! The task that tracks open and idle connections to peers.
//!
//! Invariant: a connection is listed as idle only while no request uses it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use futures::{StreamExt, select_biased};

use super::super::link::{Delivery, ExchangeReports, LinkTraffic};
use super::conn::{self, ConnEnd, ConnReport, ConnStart};
use crate::memory::Memory;
use crate::messages::PeerFault;

/// Maximum number of connections to one peer. A target runs and queues far fewer requests of one daemon.
const CONNECTION_LIMIT: usize = 256;

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
    open: usize,
}

/// The state of the pool task.
#[derive(Debug)]
pub(super) struct Pool {
    exchange_reports: ExchangeReports,
    limit: usize,
    memory: Memory,
    peers: HashMap<SocketAddr, Peer>,
    receiver: mpsc::UnboundedReceiver<PoolMessage>,
    reports: mpsc::UnboundedReceiver<ConnReport>,
    sender: mpsc::UnboundedSender<ConnReport>,
    silence: Duration,
    traffic: LinkTraffic,
}

impl Pool {
    pub fn new(
        receiver: mpsc::UnboundedReceiver<PoolMessage>,
        exchange_reports: ExchangeReports,
        memory: Memory,
        limit: usize,
        silence: Duration,
    ) -> Self {
        let (sender, reports) = mpsc::unbounded();
        Self {
            exchange_reports,
            limit,
            memory,
            peers: HashMap::new(),
            receiver,
            reports,
            sender,
            silence,
            traffic: LinkTraffic::default(),
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
            Some(ConnReport::Idle { conn, peer }) => {
                if let Some(existing) = self.peers.get_mut(&peer) {
                    existing.idle.push(conn);
                }
            }
            // Unreachable: the pool itself owns a sender.
            None => {}
        }
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
            exchange_reports: self.exchange_reports.clone(),
            limit: self.limit,
            memory: self.memory.clone(),
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
