//! Peers that wait for news.

use futures::channel::oneshot;
use hawthornwall_core::catalog::{ChangeLog, StorePosition, StoreSync};
use hawthornwall_core::time::Time;
use hawthornwall_wire::peer::StoreUpdate;

/// A peer that asks, and what it knows.
#[derive(Debug)]
pub(super) struct Asking {
    pub asked: Time,
    pub position: StorePosition,
    pub reply: oneshot::Sender<StoreUpdate>,
}

/// All peers that wait.
#[derive(Debug, Default)]
pub(super) struct Waiting(Vec<Asking>);

impl Waiting {
    /// Adds a peer, which is answered at the next [`Waiting::answer`] that has news for it.
    pub fn push(&mut self, asking: Asking) {
        self.0.push(asking);
    }

    /// Answers all peers for which there is something newer than they know.
    pub fn answer(&mut self, store_sync: &StoreSync, log: &ChangeLog, now: Time) {
        let waiting = std::mem::take(&mut self.0);
        for asking in waiting {
            if asking.reply.is_canceled() {
                continue;
            }
            // What the peer knew has grown older while it waited.
            let age = asking.position.age.map(|age| age + (now - asking.asked));
            let position = StorePosition {
                age,
                ..asking.position
            };
            let Some(head) = store_sync.update_for(&position, now) else {
                self.0.push(asking);
                continue;
            };
            let payload = log.since(position.revision);
            let _ = asking.reply.send(StoreUpdate { head, payload });
        }
    }
}
