//! State and event loop of the catalog task.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::catalog::{
    Call, CallEnd, Catalog, CatalogEvent, Change, ChangeLog, EraOrder, Published, Revision,
    Snapshot, Sources, StoreSync, UpdateChange, UpdatePayload,
};
use hawthornwall_core::config::Rules;
use hawthornwall_core::ids::{TargetId, Version};
use hawthornwall_core::time::Time;
use hawthornwall_wire::peer::{Exchange, Reply, Request, StoreUpdate};

use super::decode::{decode_event, decode_snapshot};
use super::queries::{ReceivedQueries, ReceivedQuery};
use super::report::{self, EventSource, StoreHealthLog};
use super::unknown::UnknownValues;
use crate::clock::Clock;
use crate::messages::{
    ControlMessage, ControlStatus, GateMessage, GateSender, IngressMessage, IngressSender, Member,
    PeerAddress, PeerFault, PeersMessage, PeersSender, RouterMessage, RouterSender, RoutingState,
};
use crate::platform::ReadFault;
use crate::platform::store::{self, StoreCall, StoreEnd, StoreRead};
use crate::telemetry::{Event, Telemetry};

/// Rules of every service; the platform publishes none.
const SERVICE_RULES: Rules = Rules {
    deadline: Duration::from_secs(5),
    hedge: false,
    queue_wait: Duration::from_millis(250),
    retry_percent: 10,
};
/// Longest time that the task sleeps when nothing is due.
const MAX_SLEEP: Duration = Duration::from_mins(1);
/// Least time that the task sleeps. Timers have a resolution of one millisecond, so that shorter sleeps
/// would only repeat the loop without effect.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// Dependencies and settings of the task.
#[derive(Debug)]
pub struct CatalogStart {
    /// The process's clock.
    pub clock: Clock,
    /// Failure domain of this instance.
    pub domain: String,
    /// The `gate` task.
    pub gate: GateSender,
    /// The `ingress` task.
    pub ingress: IngressSender,
    /// Address of the target beside this daemon.
    pub own_target: SocketAddr,
    /// Port on which every daemon accepts requests of its peers.
    pub peer_port: u16,
    /// The `peers` task.
    pub peers: PeersSender,
    /// Messages from other tasks.
    pub receiver: mpsc::UnboundedReceiver<ControlMessage>,
    /// The `router` task.
    pub router: RouterSender,
    /// Seed of the random jitter of backoffs.
    pub seed: u64,
    /// Address of the store.
    pub store: SocketAddr,
    /// Counts events.
    pub telemetry: Telemetry,
}

/// The call in progress; there is at most one.
#[derive(Debug)]
enum Pending {
    /// A check of the store; the update is applied once it ends.
    Check(Box<ReceivedUpdate>),
    Nothing,
    Peer(SentQuery),
    /// A read of the store.
    Store,
}

/// A store update from a peer.
#[derive(Debug)]
struct ReceivedUpdate {
    /// When the update arrived; its age refers to this time.
    at: Time,
    update: StoreUpdate,
    peer: SocketAddr,
}

/// A query for a store update that was sent to a peer.
#[derive(Debug)]
struct SentQuery {
    peer: SocketAddr,
    reply: oneshot::Receiver<Result<Reply, PeerFault>>,
    /// When the query times out.
    until: Time,
}

impl Pending {
    /// Waits for the update of the queried peer; `None` if it replies otherwise, fails or times out. Never
    /// ends while no query is pending.
    async fn update(&mut self, clock: Clock) -> Option<StoreUpdate> {
        let Self::Peer(query) = self else {
            return std::future::pending().await;
        };
        let limit = clock.until(query.until).max(MIN_SLEEP);
        match monoio::time::timeout(limit, &mut query.reply).await {
            Ok(Ok(Ok(Reply::StoreUpdate(update)))) => Some(*update),
            Ok(
                Ok(Ok(Reply::BodyGranted(_) | Reply::Exchange(_) | Reply::Run(_)) | Err(_))
                | Err(_),
            )
            | Err(_) => None,
        }
    }
}

/// An event that the task handles.
enum Input {
    Message(Option<ControlMessage>),
    PeerUpdate(Option<StoreUpdate>),
    Read(Option<StoreEnd>),
    Timer,
}

struct CatalogTask {
    calls: mpsc::UnboundedSender<StoreCall>,
    catalog: Catalog,
    ends: mpsc::UnboundedReceiver<StoreEnd>,
    /// Time of the first failed read since the last successful one.
    failing_since: Option<Time>,
    store_sync: StoreSync,
    /// Whether this daemon takes no new work.
    leaving: bool,
    change_log: ChangeLog,
    pending: Pending,
    /// Calls to the store since the start.
    reads: u64,
    store_health: StoreHealthLog,
    sources: Sources,
    start: CatalogStart,
    /// Whether the catalog has changes that were not sent to the other tasks.
    unpublished: bool,
    queries: ReceivedQueries,
    /// The state last sent to the other tasks.
    routing: Rc<RoutingState>,
    unknown: UnknownValues,
}

/// Runs the task until all senders to it are dropped.
pub async fn run(start: CatalogStart) {
    let (calls, requests) = mpsc::unbounded();
    let (sender, ends) = mpsc::unbounded();
    monoio::spawn(store::run(start.store, requests, sender));
    let mut task = CatalogTask {
        calls,
        catalog: Catalog::default(),
        ends,
        failing_since: None,
        store_sync: StoreSync::new(start.seed),
        leaving: false,
        change_log: ChangeLog::default(),
        pending: Pending::Nothing,
        reads: 0,
        store_health: StoreHealthLog::new(start.store),
        sources: Sources::default(),
        unknown: UnknownValues::new(start.telemetry.clone()),
        start,
        unpublished: false,
        queries: ReceivedQueries::default(),
        routing: Rc::default(),
    };
    loop {
        let wait = task.step();
        match task.next_input(wait).await {
            Input::Message(Some(message)) => task.handle_message(message),
            Input::Message(None) | Input::Read(None) => return,
            Input::PeerUpdate(update) => task.query_ended(update),
            Input::Read(Some(end)) => task.read_ended(end),
            Input::Timer => {}
        }
    }
}

impl CatalogTask {
    async fn next_input(&mut self, wait: Duration) -> Input {
        let timer = monoio::time::sleep(wait).fuse();
        let update = self.pending.update(self.start.clock).fuse();
        pin_mut!(timer, update);
        select_biased! {
            end = self.ends.next() => Input::Read(end),
            update = update => Input::PeerUpdate(update),
            message = self.start.receiver.next() => Input::Message(message),
            () = timer => Input::Timer,
        }
    }

    /// Expires entries and starts the call that is due; returns the time until the next step.
    fn step(&mut self) -> Duration {
        let now = self.start.clock.now();
        let expired = self.catalog.expire(now, self.store_sync.confirmed_at());
        self.process_events(&expired, EventSource::Expiry, now);
        let (due, call) = self.store_sync.next(now);
        let free = matches!(self.pending, Pending::Nothing);
        if free && due <= now {
            self.pending = self.call(call, now);
        }
        let next_call = matches!(self.pending, Pending::Nothing).then_some(due);
        let next = [next_call, self.catalog.next_expiry()];
        let next = next.into_iter().flatten().min();
        next.map_or(MAX_SLEEP, |at| (at - now).max(MIN_SLEEP))
    }

    fn call(&mut self, call: Call, now: Time) -> Pending {
        let call = match call {
            Call::Ask { peer, until, .. } => {
                return Pending::Peer(self.query_peer(peer, until, now));
            }
            Call::Check => StoreCall::Check,
            Call::Load { stale } => StoreCall::Load { stale },
            Call::Watch { after, wait } => StoreCall::Watch { after, wait },
        };
        self.call_store(call);
        Pending::Store
    }

    fn call_store(&mut self, call: StoreCall) {
        self.reads += 1;
        let _ = self.calls.unbounded_send(call);
    }

    fn query_peer(&self, peer: SocketAddr, until: Time, now: Time) -> SentQuery {
        let (reply, receiver) = oneshot::channel();
        let message = PeersMessage::Send {
            reply,
            request: Request::StoreUpdate(self.store_sync.position(now)),
            to: PeerAddress::Socket(peer),
        };
        let _ = self.start.peers.unbounded_send(message);
        SentQuery {
            peer,
            reply: receiver,
            until,
        }
    }

    fn handle_message(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::StoreUpdate { position, reply } => {
                let received_at = self.start.clock.now();
                self.store_sync
                    .receive_hint(position.revision.era, received_at);
                self.queries.push(ReceivedQuery {
                    received_at,
                    position,
                    reply,
                });
                self.queries
                    .answer(&self.store_sync, &self.change_log, received_at);
            }
            ControlMessage::Config(reply) => {
                let _ = reply.send(Rc::clone(&self.routing));
            }
            ControlMessage::Exchange { reply, .. } => {
                let _ = reply.send(Exchange::default());
            }
            ControlMessage::Exchanged { .. } | ControlMessage::Platform(_) => {}
            ControlMessage::Leaving => self.leaving = true,
            ControlMessage::Ready(reply) => {
                let _ = reply.send(self.is_ready());
            }
            ControlMessage::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn is_ready(&self) -> bool {
        !self.leaving && self.routing.config.version > Version(0)
    }

    /// Ends the query of a peer. An update that removes an active target may require a check of the store
    /// before it is applied.
    fn query_ended(&mut self, update: Option<StoreUpdate>) {
        let Pending::Peer(SentQuery { peer, .. }) =
            std::mem::replace(&mut self.pending, Pending::Nothing)
        else {
            return;
        };
        let at = self.start.clock.now();
        let Some(update) = update else {
            report::peer_query_failed(peer, self.store_sync.position(at));
            self.store_sync.end(CallEnd::NoUpdate(peer), at);
            return;
        };
        let received = ReceivedUpdate { at, update, peer };
        if self.removes_active_target(&received.update.payload) && self.store_sync.must_check(at) {
            self.call_store(StoreCall::Check);
            self.pending = Pending::Check(Box::new(received));
        } else {
            self.apply_update(received, at);
        }
    }

    /// Whether the update removes a target that takes work here.
    fn removes_active_target(&self, payload: &UpdatePayload) -> bool {
        match payload {
            UpdatePayload::Changes(changes) => changes.iter().any(|(_, change)| match change {
                UpdateChange::TargetGone { name } => self.catalog.is_active(name),
                UpdateChange::Evacuated { .. }
                | UpdateChange::EvacuationEnded { .. }
                | UpdateChange::RouteDelta(_)
                | UpdateChange::Routes(_)
                | UpdateChange::Target { .. } => false,
            }),
            UpdatePayload::Contents(contents) => {
                let mut in_use = self.catalog.active();
                in_use.any(|name| !contents.targets.contains_key(name))
            }
            UpdatePayload::TooLarge => false,
        }
    }

    fn apply_update(&mut self, received: ReceivedUpdate, now: Time) {
        let ReceivedUpdate { at, update, peer } = received;
        let StoreUpdate { mut head, payload } = update;
        head.age += now - at;
        if !self.store_sync.is_newer(&head, now) {
            report::unused_update(peer, &head, self.store_sync.revision());
            self.store_sync.end(CallEnd::Update(peer, head), now);
            return;
        }
        let held = self.store_sync.revision();
        let source = EventSource::Peer(peer);
        // Unless the update has all contents, they must be read from the store.
        self.store_sync.receive_hint(head.revision.era, now);
        match payload {
            UpdatePayload::Changes(changes) => {
                let fresh = changes.into_iter().filter(|(at, _)| *at > held.number);
                // Changes of another era don't follow the contents held here.
                let resolved = (head.revision.era == held.era)
                    .then(|| self.change_log.resolve(fresh.collect()))
                    .flatten();
                let Some(changes) = resolved else {
                    report::unused_update(peer, &head, held);
                    self.store_sync.end(CallEnd::Unusable(peer), now);
                    return;
                };
                self.store_sync.end(CallEnd::Update(peer, head), now);
                self.apply(changes, source, now);
            }
            UpdatePayload::Contents(contents) => {
                self.store_sync.end(CallEnd::Update(peer, head), now);
                self.enter_era(held, source);
                self.replace(contents, source, now);
            }
            UpdatePayload::TooLarge => {
                report::unused_update(peer, &head, held);
                self.store_sync.end(CallEnd::Unusable(peer), now);
            }
        }
    }

    fn read_ended(&mut self, end: StoreEnd) {
        let pending = std::mem::replace(&mut self.pending, Pending::Nothing);
        let now = self.start.clock.now();
        let StoreEnd { era, result } = end;
        let order = era.map_or(EraOrder::Same, |era| self.store_sync.receive_era(era, now));
        match result {
            Ok(read) => self.apply_read(read, order, now),
            Err(fault) => self.record_failure(&fault, now),
        }
        match pending {
            Pending::Check(received) => self.apply_update(*received, now),
            Pending::Nothing | Pending::Peer(_) | Pending::Store => {}
        }
    }

    /// Applies what the store has returned, unless it is of an earlier era. Of a later one, only all contents are
    /// applied.
    fn apply_read(&mut self, read: StoreRead, order: EraOrder, now: Time) {
        match (read, order) {
            (
                StoreRead::Changes { .. } | StoreRead::Contents { .. } | StoreRead::HistoryGone,
                EraOrder::Earlier,
            ) => {
                let fault = ReadFault::Content("the answer is of an earlier era".to_owned());
                self.record_failure(&fault, now);
            }
            (
                StoreRead::Contents {
                    items,
                    revision,
                    stale,
                },
                EraOrder::Later | EraOrder::Same,
            ) => {
                let held = self.store_sync.revision();
                let end = if stale {
                    CallEnd::ReadStale { revision }
                } else {
                    CallEnd::Read { revision }
                };
                self.record_success(end, now);
                self.enter_era(held, EventSource::Store);
                let contents = decode_snapshot(&items, &mut self.unknown);
                self.replace(contents, EventSource::Store, now);
            }
            (StoreRead::Changes { events, revision }, EraOrder::Same) => {
                self.record_success(CallEnd::Read { revision }, now);
                let changes = events.into_iter().filter_map(|event| {
                    let at = event.revision();
                    Some((at, decode_event(event, &mut self.unknown)?))
                });
                let changes = changes.collect();
                self.apply(changes, EventSource::Store, now);
            }
            (StoreRead::HistoryGone, EraOrder::Same) => {
                self.store_sync.end(CallEnd::HistoryGone, now);
            }
            (StoreRead::Changes { .. } | StoreRead::HistoryGone, EraOrder::Later)
            | (StoreRead::Reached, EraOrder::Earlier | EraOrder::Later | EraOrder::Same) => {
                self.record_success(CallEnd::Reached, now);
            }
        }
    }

    /// Gives everybody time to write again what the store has lost, if it has returned from an older copy since
    /// the revision `before` was held.
    fn enter_era(&mut self, before: Revision, source: EventSource) {
        let revision = self.store_sync.revision();
        if let Some(at) = self.store_sync.restored_at()
            && revision.era > before.era
        {
            self.catalog.begin_era(at);
            self.start.telemetry.record(Event::StoreEra(source.name()));
            report::new_era(before, revision, source);
        }
    }

    fn record_failure(&mut self, fault: &ReadFault, now: Time) {
        self.failing_since.get_or_insert(now);
        self.store_health.record_failure(fault);
        let end = match fault {
            ReadFault::Late | ReadFault::TooLong => CallEnd::Incomplete,
            ReadFault::Status(_) => CallEnd::Refused,
            ReadFault::Broken(_) | ReadFault::Content(_) | ReadFault::Silent => CallEnd::Failed,
        };
        self.store_sync.end(end, now);
    }

    /// Records that the store has answered.
    fn record_success(&mut self, end: CallEnd, now: Time) {
        self.store_sync.end(end, now);
        if let Some(since) = self.failing_since.take() {
            self.catalog.reconnect(now);
            self.update_sources();
            self.store_health
                .record_success(self.store_sync.revision(), now - since);
        }
    }

    /// Replaces the catalog and the change log by the contents of the store.
    fn replace(&mut self, contents: Snapshot, source: EventSource, now: Time) {
        let revision = self.store_sync.revision();
        self.change_log.restart(revision, contents.clone());
        let absence = self.store_sync.absence();
        let catalog_events = self.catalog.replace(contents, absence, now);
        self.process_events(&catalog_events, source, now);
    }

    /// Applies changes in order, and adds them to the change log, from which peers are answered.
    fn apply(&mut self, changes: Vec<(u64, Change)>, source: EventSource, now: Time) {
        let absence = self.store_sync.absence();
        let mut catalog_events = Vec::new();
        for (at, change) in changes {
            self.change_log.push(at, &change);
            catalog_events.extend(self.catalog.apply(change, absence, now));
        }
        self.process_events(&catalog_events, source, now);
    }

    /// Logs catalog events. Other tasks and peers are informed only if the store has confirmed the revision.
    fn process_events(&mut self, catalog_events: &[CatalogEvent], source: EventSource, now: Time) {
        let revision = self.store_sync.revision();
        report::catalog_events(catalog_events, &self.catalog, revision, source);
        if !catalog_events.is_empty() {
            self.unpublished = true;
            self.update_sources();
        }
        if self.store_sync.is_confirmed() {
            self.publish();
            self.queries.answer(&self.store_sync, &self.change_log, now);
        }
    }

    /// Selects the peers to query from the targets that take work.
    fn update_sources(&mut self) {
        let port = self.start.peer_port;
        let targets = self.catalog.targets().filter(|(.., leaving)| !leaving);
        let daemons: Vec<_> = targets
            .map(|(_, _, t, _)| (SocketAddr::new(t.address.ip(), port), t.domain.as_str()))
            .collect();
        let own = SocketAddr::new(self.start.own_target.ip(), port);
        let sources = Sources::of(own, &self.start.domain, &daemons);
        let count = daemons.len();
        if self.sources != sources {
            report::update_sources(&sources);
            self.sources = sources.clone();
        }
        let published = Published {
            own: self.catalog.target_at(self.start.own_target).is_some(),
            routes: self.catalog.version() > Version(0),
            targets: count,
            unverified: self.catalog.has_unverified(),
        };
        self.store_sync.set_sources(published, sources);
    }

    fn publish(&mut self) {
        if !std::mem::take(&mut self.unpublished) {
            return;
        }
        debug_assert_eq!(self.catalog.verify(), Vec::<String>::new());
        self.routing = Rc::new(RoutingState {
            cold_until: self.catalog.cold_until(),
            config: self.catalog.configuration(&SERVICE_RULES),
            evacuated: self.catalog.evacuated().clone(),
            limits: self.catalog.limits(),
            members: self.members(),
            own: self.catalog.target_at(self.start.own_target),
            routes: Some(Rc::clone(self.catalog.routes())),
            service_limits: self.catalog.service_limits(),
        });
        let routing = || Rc::clone(&self.routing);
        let _ = self
            .start
            .router
            .unbounded_send(RouterMessage::RoutingState(routing()));
        self.start.gate.send(GateMessage::RoutingState(routing()));
        let _ = self
            .start
            .ingress
            .unbounded_send(IngressMessage::RoutingState(routing()));
        let _ = self
            .start
            .peers
            .unbounded_send(PeersMessage::RoutingState(routing()));
    }

    /// The members by target. Each daemon has the IP address of its target, and the peer port is the same for
    /// all.
    fn members(&self) -> BTreeMap<TargetId, Member> {
        let port = self.start.peer_port;
        let member = |name: &str, address: SocketAddr, leaving| Member {
            expect: Some(name.into()),
            instance: None,
            leaving,
            peer: SocketAddr::new(address.ip(), port),
        };
        let targets = self.catalog.targets();
        targets
            .map(|(id, name, entry, leaving)| {
                let unused = leaving || !self.catalog.is_supported(&entry.service);
                (id, member(name, entry.address, unused))
            })
            .collect()
    }

    fn status(&self) -> ControlStatus {
        let names = self.routing.config.targets.iter();
        let members = names
            .filter_map(|(id, t)| Some((t.name.clone(), self.routing.members.get(id)?.clone())));
        ControlStatus {
            evacuated: self.routing.evacuated.clone(),
            members: members.collect(),
            platform_reads: self.reads,
            ready: self.is_ready(),
            version: self.catalog.version(),
            watching: true,
            ..ControlStatus::default()
        }
    }
}
