//! The event loop of the control task and its state.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use hawthornwall_core::config::{ActiveConfig, Document, OfferOutcome};
use hawthornwall_core::gossip::{Effect, Endpoint, Gossip, GossipSettings, GossipStart, Update};
use hawthornwall_core::members::Members;
use hawthornwall_core::time::Time;
use hawthornwall_wire::instances::InstanceList;
use spdlog::info;

use super::ControlStart;
use super::report::{self, Reports};
use crate::clock::Clock;
use crate::messages::{
    ControlMessage, ControlSender, GateMessage, GateSender, PeersSender, RouterSender, RoutingState,
};
use crate::platform::{self, Published, ReadEnd, ReadFault, ReadRequest, ReaderStart};

/// Minimum sleep of the event loop, which prevents a busy loop if a due time is wrong.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// The state of the control task.
pub(super) struct Control {
    pub(super) active: ActiveConfig,
    /// Whether the configuration or the members changed since the last [`Control::publish`].
    pub(super) changed: bool,
    pub(super) clock: Clock,
    /// Peers to which a request is in flight.
    pub(super) exchanging: BTreeSet<SocketAddr>,
    pub(super) gate: GateSender,
    pub(super) in_force_since: Time,
    pub(super) members: Members,
    pub(super) peers: PeersSender,
    /// Number of platform reads since the start.
    pub(super) reads: u64,
    readers: BTreeMap<Endpoint, mpsc::UnboundedSender<ReadRequest>>,
    reports: Reports,
    pub(super) router: RouterSender,
    /// Sender to this task, for replies of peers.
    pub(super) own_sender: ControlSender,
    /// Descriptions of the skipped patches of the last document read.
    pub(super) skipped_patches: Vec<String>,
    pub(super) gossip: Gossip,
    /// The routing state last sent to the other tasks.
    pub(super) routing: Rc<RoutingState>,
}

/// Runs the control task until all senders to it are dropped.
pub async fn run(start: ControlStart) {
    let (mut control, mut receiver) = Control::new(start);
    loop {
        control.run_due();
        let wait = control.clock.until(control.gossip.next()).max(MIN_SLEEP);
        // No message is lost at a timeout: the channel is polled before the timer.
        let message = match monoio::time::timeout(wait, receiver.next()).await {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(_) => continue,
        };
        control.handle(message);
        while let Ok(message) = receiver.try_recv() {
            control.handle(message);
        }
    }
}

impl Control {
    fn new(start: ControlStart) -> (Self, mpsc::UnboundedReceiver<ControlMessage>) {
        let now = start.clock.now();
        let readers = [
            (Endpoint::Config, start.config),
            (Endpoint::Instances, start.instances),
        ];
        let readers = readers.map(|(endpoint, address)| {
            let (sender, requests) = mpsc::unbounded();
            let control = start.sender.clone();
            monoio::spawn(platform::run(ReaderStart {
                address,
                control,
                endpoint,
                requests,
            }));
            (endpoint, sender)
        });
        let gossip = GossipStart {
            domain: start.identity.domain.clone(),
            own: start.identity.peer,
            seed: start.seed,
            seeds: start.seeds,
            settings: GossipSettings {
                exchange: start.settings.exchange,
                start_wait: start.settings.start_wait,
                watchers: start.settings.watchers,
            },
        };
        let control = Self {
            active: ActiveConfig::default(),
            changed: false,
            clock: start.clock,
            exchanging: BTreeSet::new(),
            gate: start.gate,
            in_force_since: now,
            members: Members::new(start.identity, start.started, now),
            peers: start.peers,
            reads: 0,
            readers: BTreeMap::from(readers),
            reports: Reports::default(),
            router: start.router,
            own_sender: start.sender,
            skipped_patches: Vec::new(),
            gossip: Gossip::new(gossip, now),
            routing: Rc::default(),
        };
        (control, start.receiver)
    }

    fn handle(&mut self, message: ControlMessage) {
        match message {
            // Sent only by daemons with a store; dropping the reply sender closes the stream.
            ControlMessage::StoreUpdate { .. } => {}
            ControlMessage::Config(reply) => {
                let _ = reply.send(Rc::clone(&self.routing));
            }
            ControlMessage::Exchange { exchange, reply } => {
                let _ = reply.send(self.exchange(&exchange));
            }
            ControlMessage::Exchanged {
                peer,
                result,
                round,
            } => self.exchanged(peer, result, round),
            ControlMessage::Leaving => self.leave(),
            ControlMessage::Platform(end) => self.read_ended(end),
            ControlMessage::Ready(reply) => {
                let _ = reply.send(self.is_ready());
            }
            ControlMessage::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
        self.publish();
        debug_assert_eq!(self.verify(), Vec::<String>::new());
    }

    /// Describes each violated invariant of the aggregates; empty if there is none.
    fn verify(&self) -> Vec<String> {
        let (active, members) = (self.active.verify(), self.members.verify());
        let all = [active, members, self.gossip.verify()];
        all.concat()
    }

    /// Expires members and performs all effects that are due.
    fn run_due(&mut self) {
        let now = self.clock.now();
        if self.members.expire(now) {
            self.changed = true;
        }
        for effect in self.gossip.tick(now) {
            match effect {
                Effect::Announce => {
                    self.members.announce(now);
                    let own = self.members.own();
                    let first = own.seq == 1;
                    let update = if first {
                        Update::Member
                    } else {
                        Update::Repeat
                    };
                    self.gossip.queue(update(own.identity.instance), None, now);
                    self.changed |= first;
                }
                Effect::Compare(peer) => self.compare(peer),
                Effect::Push { members, since, to } => self.push(to, since, &members),
                Effect::Read(endpoint, wait) => self.read(endpoint, wait),
                Effect::Serve => {
                    info!("ready to serve", kv: { version: = self.active.config().version });
                    self.changed = true;
                }
            }
        }
        self.publish();
    }

    fn read(&mut self, endpoint: Endpoint, wait: Duration) {
        self.reads += 1;
        if let Some(reader) = self.readers.get(&endpoint) {
            let _ = reader.unbounded_send(ReadRequest { wait });
        }
    }

    fn read_ended(&mut self, end: ReadEnd) {
        let ReadEnd { endpoint, result } = end;
        // Malformed content counts as a response, so that the next read waits for a newer revision.
        let responded = matches!(result, Ok(_) | Err(ReadFault::Content(_)));
        match result {
            Ok(published) => {
                self.reports.read_succeeded(endpoint);
                match published {
                    Published::Config(document) => self.read_document(&document),
                    Published::Instances(list) => self.read_list(list),
                    Published::Unchanged => {}
                }
            }
            Err(fault) => self.reports.read_failed(endpoint, &fault),
        }
        self.gossip
            .read_ended(endpoint, responded, self.clock.now());
    }

    fn read_document(&mut self, document: &Document) {
        let (offer, skipped) = self.active.offer_document(document);
        self.skipped_patches = self.reports.skipped(document, &skipped);
        let usable = !matches!(
            offer,
            OfferOutcome::Invalid(_) | OfferOutcome::Divergent { .. }
        );
        if usable {
            self.gossip.platform_configured();
        }
        self.apply_offer(offer, "platform", None);
    }

    fn read_list(&mut self, list: InstanceList) {
        let now = self.clock.now();
        let was_leaving = self.members.own().leaving;
        for instance in self.members.read_list(list.into_listed(), now) {
            self.gossip.queue(Update::Member(instance), None, now);
        }
        self.changed = true;
        self.drain_if_leaving(was_leaving);
    }

    /// Handles the outcome of an offered configuration; `from` is the peer that sent it, if any.
    pub(super) fn apply_offer(
        &mut self,
        offer: OfferOutcome,
        source: &'static str,
        from: Option<SocketAddr>,
    ) {
        match offer {
            OfferOutcome::Adopted { from: before } => {
                let now = self.clock.now();
                self.reports.adopted(before, self.active.config(), source);
                self.in_force_since = now;
                self.changed = true;
                self.gossip.queue(Update::Version(before), from, now);
            }
            OfferOutcome::Invalid(faults) => self.reports.invalid(faults, source),
            OfferOutcome::Divergent { divergence, first } => {
                if first {
                    report::divergent(divergence, source);
                }
            }
            OfferOutcome::Gap | OfferOutcome::Older | OfferOutcome::Same => {}
        }
    }

    fn leave(&mut self) {
        let now = self.clock.now();
        if self.members.leave(now) {
            let own = self.members.own().identity.instance;
            self.gossip.queue(Update::Member(own), None, now);
            self.changed = true;
        }
    }

    /// Drains the gate if the instance list or a peer has just marked this daemon as leaving;
    /// `was_leaving` states whether this daemon was already leaving.
    pub(super) fn drain_if_leaving(&mut self, was_leaving: bool) {
        if self.members.own().leaving && !was_leaving {
            info!("the platform marked this instance as leaving");
            let (drained, _) = oneshot::channel();
            self.gate.send(GateMessage::Drain(drained));
        }
    }
}
