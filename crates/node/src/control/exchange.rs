//! Exchanges with peers: comparison of configurations and members, and transfer of differences.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use futures::channel::oneshot;
use hawthornwall_core::config::{Delta, Patch};
use hawthornwall_core::gossip::Update;
use hawthornwall_core::ids::{InstanceId, Version};
use hawthornwall_core::members::MergeResult;
use hawthornwall_wire::peer::{Exchange, Reply, Request};

use super::report;
use super::task::Control;
use crate::messages::{ControlMessage, PeerAddress, PeerFault, PeersMessage};

/// Maximum number of requests of one comparison: digests, parts, entries, announcements, and one
/// more for updates that arrive in the meantime.
const ROUND_LIMIT: u32 = 5;
/// Maximum number of patches sent. Beyond it, the whole configuration is sent, which is then of about
/// the same size.
const PATCH_LIMIT: usize = 64;

impl Control {
    /// Starts a comparison with a peer, unless a request to it is in flight.
    pub(super) fn compare(&mut self, peer: SocketAddr) {
        if self.exchanging.contains(&peer) {
            return;
        }
        let exchange = self.own_exchange();
        self.send(peer, exchange, 0);
    }

    /// Sends updates to a peer: the announcements of `members`, and the patches after version `since`.
    pub(super) fn push(
        &mut self,
        peer: SocketAddr,
        since: Option<Version>,
        members: &BTreeSet<InstanceId>,
    ) {
        let mut exchange = self.own_exchange();
        if let Some(since) = since {
            exchange.patches = clone_patches(&self.active.patches_since(since));
        }
        exchange.members.announcements = self.members.relay(members, self.clock.now());
        self.send(peer, exchange, 0);
    }

    /// Merges a peer's request and returns the changes that the peer lacks.
    pub(super) fn exchange(&mut self, theirs: &Exchange) -> Exchange {
        self.receive(theirs, theirs.from);
        self.answer(theirs)
    }

    /// Merges a peer's reply, and continues the comparison if there are differences.
    pub(super) fn exchanged(
        &mut self,
        peer: SocketAddr,
        result: Result<Box<Exchange>, PeerFault>,
        round: u32,
    ) {
        self.exchanging.remove(&peer);
        let now = self.clock.now();
        let Ok(theirs) = result else {
            self.gossip.peer_failed(peer, now);
            return;
        };
        self.receive(&theirs, Some(peer));
        self.gossip
            .peer_answered(peer, theirs.version > Version(0), now);
        let next = self.answer(&theirs);
        let unfinished =
            !next.patches.is_empty() || next.checkpoint.is_some() || next.members.has_details();
        if unfinished && round + 1 < ROUND_LIMIT {
            self.send(peer, next, round + 1);
        }
    }

    fn receive(&mut self, theirs: &Exchange, from: Option<SocketAddr>) {
        let now = self.clock.now();
        if let Some(checkpoint) = &theirs.checkpoint {
            let offer = self.active.offer_configuration(checkpoint);
            self.apply_offer(offer, "peer", from);
        } else if theirs.version > self.active.config().version && !theirs.patches.is_empty() {
            let (version, digest) = (theirs.version, theirs.digest);
            let offer = self.active.offer_patches(&theirs.patches, version, digest);
            self.apply_offer(offer, "peer", from);
        }
        let was_leaving = self.members.own().leaving;
        for (instance, merged) in self.members.receive_all(&theirs.members, now) {
            let (update, from) = match merged {
                MergeResult::Known => continue,
                MergeResult::New => (Update::Member(instance), from),
                MergeResult::Own => (Update::Member(instance), None),
                MergeResult::Repeated => (Update::Repeat(instance), from),
            };
            self.changed |= merged != MergeResult::Repeated;
            self.gossip.queue(update, from, now);
        }
        self.drain_if_leaving(was_leaving);
    }

    fn answer(&mut self, theirs: &Exchange) -> Exchange {
        let mut ours = self.own_exchange();
        ours.members = self.members.answer(&theirs.members, self.clock.now());
        let diverged = match self.active.delta(theirs.version, theirs.digest) {
            Delta::Checkpoint(config) => {
                ours.checkpoint = Some(config.clone());
                None
            }
            Delta::Diverged(divergence) => Some(divergence),
            Delta::UpToDate => None,
            Delta::Patches(patches) if patches.len() > PATCH_LIMIT => {
                ours.checkpoint = Some(self.active.config().clone());
                None
            }
            Delta::Patches(patches) => {
                ours.patches = clone_patches(&patches);
                None
            }
        };
        if let Some(divergence) = diverged
            && self.active.record_divergence(divergence)
        {
            report::divergent(divergence, "peer");
        }
        ours
    }

    fn own_exchange(&self) -> Exchange {
        let config = self.active.config();
        Exchange {
            checkpoint: None,
            digest: config.digest,
            from: Some(self.members.own().identity.peer),
            members: self.members.open(),
            patches: Vec::new(),
            version: config.version,
        }
    }

    fn send(&mut self, peer: SocketAddr, exchange: Exchange, round: u32) {
        self.exchanging.insert(peer);
        let (reply, receiver) = oneshot::channel();
        let message = PeersMessage::Send {
            reply,
            request: Request::Exchange(Box::new(exchange)),
            to: PeerAddress::Socket(peer),
        };
        let _ = self.peers.unbounded_send(message);
        let sender = self.own_sender.clone();
        monoio::spawn(async move {
            let result = match receiver.await {
                Ok(Ok(Reply::Exchange(exchange))) => Ok(exchange),
                Ok(Err(fault)) => Err(fault),
                // The peers task has ended, or the peer gave another kind of reply.
                Ok(Ok(Reply::BodyGranted(_) | Reply::StoreUpdate(_) | Reply::Run(_))) | Err(_) => {
                    Err(PeerFault::Unreachable)
                }
            };
            let _ = sender.unbounded_send(ControlMessage::Exchanged {
                peer,
                result,
                round,
            });
        });
    }
}

fn clone_patches(patches: &[&Patch]) -> Vec<Patch> {
    patches.iter().map(|p| (*p).clone()).collect()
}
