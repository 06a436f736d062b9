//! Pending queries of peers for store updates.

use futures::channel::oneshot;
use hawthornwall_core::catalog::{ChangeLog, StorePosition, StoreSync};
use hawthornwall_core::time::Time;
use hawthornwall_wire::peer::StoreUpdate;

/// A pending query of a peer.
#[derive(Debug)]
pub(super) struct ReceivedQuery {
    /// When the query arrived.
    pub received_at: Time,
    /// The revision and age held by the peer when it sent the query.
    pub position: StorePosition,
    /// Sends the update; closed once the reply is no longer needed.
    pub reply: oneshot::Sender<StoreUpdate>,
}

/// All pending queries of peers.
#[derive(Debug, Default)]
pub(super) struct ReceivedQueries(Vec<ReceivedQuery>);

impl ReceivedQueries {
    /// Adds a query, which the next [`ReceivedQueries::answer`] that has an update for it answers.
    pub fn push(&mut self, query: ReceivedQuery) {
        self.0.push(query);
    }

    /// Answers all queries for which there is an update, and drops those whose reply channel is closed.
    pub fn answer(&mut self, store_sync: &StoreSync, log: &ChangeLog, now: Time) {
        let queries = std::mem::take(&mut self.0);
        for query in queries {
            if query.reply.is_canceled() {
                continue;
            }
            // The age in the query is the one at its arrival.
            let age = query
                .position
                .age
                .map(|age| age + (now - query.received_at));
            let position = StorePosition {
                age,
                ..query.position
            };
            let Some(head) = store_sync.update_for(&position, now) else {
                self.0.push(query);
                continue;
            };
            let payload = log.since(position.revision);
            let _ = query.reply.send(StoreUpdate { head, payload });
        }
    }
}
