//! Peers whose queries for store updates are pending.

use futures::channel::oneshot;
use hawthornwall_core::catalog::{ChangeLog, StorePosition, StoreSync};
use hawthornwall_core::time::Time;
use hawthornwall_wire::peer::News;

/// A pending query of a peer.
#[derive(Debug)]
pub(super) struct WaitingPeer {
    /// When the query arrived.
    pub asked_at: Time,
    /// The revision that the peer held when it sent the query.
    pub position: StorePosition,
    /// Carries the update; closed once the peer no longer waits for it.
    pub reply: oneshot::Sender<News>,
}

/// All pending queries of peers.
#[derive(Debug, Default)]
pub(super) struct WaitingPeers(Vec<WaitingPeer>);

impl WaitingPeers {
    /// Adds a query, which the next [`WaitingPeers::answer`] that has an update for it answers.
    pub fn push(&mut self, peer: WaitingPeer) {
        self.0.push(peer);
    }

    /// Answers all queries for which there is an update, and drops those whose peer has given up.
    pub fn answer(&mut self, store_sync: &StoreSync, log: &ChangeLog, now: Time) {
        let peers = std::mem::take(&mut self.0);
        for peer in peers {
            if peer.reply.is_canceled() {
                continue;
            }
            // The confirmation that the peer holds has aged since the query arrived.
            let age = peer.position.age.map(|age| age + (now - peer.asked_at));
            let position = StorePosition {
                age,
                ..peer.position
            };
            let Some(head) = store_sync.update_for(&position, now) else {
                self.0.push(peer);
                continue;
            };
            let payload = log.since(position.revision);
            let _ = peer.reply.send(News { head, payload });
        }
    }
}
