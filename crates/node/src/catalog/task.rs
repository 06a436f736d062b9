//! The loop of the catalog task and its state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::catalog::{
    Call, CallEnd, Catalog, CatalogEvent, Change, ChangeLog, Snapshot, Sources, StoreSync,
    UpdatePayload,
};
use hawthornwall_core::config::Rules;
use hawthornwall_core::ids::{TargetId, Version};
use hawthornwall_core::time::Time;
use hawthornwall_wire::peer::{Exchange, Reply, Request, StoreUpdate};

use super::decode::{change, snapshot};
use super::report::{self, Source, StoreReports};
use super::waiting::{Asking, Waiting};
use crate::clock::Clock;
use crate::messages::{
    ControlMessage, ControlStatus, GateMessage, GateSender, Member, PeerAddress, PeerFault,
    PeersMessage, PeersSender, RouterMessage, RouterSender, World,
};
use crate::platform::ReadFault;
use crate::platform::store::{self, StoreCall, StoreEnd, StoreRead};

/// How the load of every service is shared; the platform publishes no such rules.
const SHARING: Rules = Rules {
    deadline: Duration::from_secs(5),
    hedge: false,
    queue_wait: Duration::from_millis(250),
    retry_percent: 10,
};
/// Wait for a message when nothing is due.
const IDLE: Duration = Duration::from_mins(1);
/// Least time that the task sleeps. Timers count whole milliseconds, so that the rest of one would be
/// spent in turns without effect.
const SLEEP: Duration = Duration::from_millis(1);

/// What the task needs at its start.
#[derive(Debug)]
pub struct CatalogStart {
    /// The process's clock.
    pub clock: Clock,
    /// Failure domain of this instance.
    pub domain: String,
    /// The `gate` task.
    pub gate: GateSender,
    /// Address of the target beside this daemon.
    pub own: SocketAddr,
    /// Port at which each daemon takes requests of its peers.
    pub peer_port: u16,
    /// The `peers` task.
    pub peers: PeersSender,
    /// Messages of other tasks.
    pub receiver: mpsc::UnboundedReceiver<ControlMessage>,
    /// The `router` task.
    pub router: RouterSender,
    /// Seed of random pauses.
    pub seed: u64,
    /// Address of the store.
    pub store: SocketAddr,
}

/// The call under way.
#[derive(Debug)]
enum Pending {
    /// The store is checked before these news are taken in.
    Check(Received),
    Nothing,
    Peer(Asked),
    Store,
}

/// News of a peer.
#[derive(Debug)]
struct Received {
    at: Time,
    news: StoreUpdate,
    peer: SocketAddr,
}

/// A peer that was asked for news.
#[derive(Debug)]
struct Asked {
    peer: SocketAddr,
    reply: oneshot::Receiver<Result<Reply, PeerFault>>,
    until: Time,
}

impl Pending {
    /// Waits for the reply of the peer that was asked.
    async fn news(&mut self, clock: Clock) -> Option<StoreUpdate> {
        let Self::Peer(asked) = self else {
            return std::future::pending().await;
        };
        let limit = clock.until(asked.until).max(SLEEP);
        match monoio::time::timeout(limit, &mut asked.reply).await {
            Ok(Ok(Ok(Reply::StoreUpdate(news)))) => Some(*news),
            Ok(Ok(Ok(Reply::Exchange(_) | Reply::Run(_)) | Err(_)) | Err(_)) | Err(_) => None,
        }
    }
}

/// What ends the task's wait.
enum Input {
    Message(Option<ControlMessage>),
    News(Option<StoreUpdate>),
    Read(Option<StoreEnd>),
    Timer,
}

struct CatalogTask {
    calls: mpsc::UnboundedSender<StoreCall>,
    catalog: Catalog,
    ends: mpsc::UnboundedReceiver<StoreEnd>,
    failing_since: Option<Time>,
    store_sync: StoreSync,
    leaving: bool,
    log: ChangeLog,
    pending: Pending,
    reads: u64,
    reports: StoreReports,
    sources: Sources,
    start: CatalogStart,
    /// Whether the other tasks don't know yet all that is believed here.
    unpublished: bool,
    waiting: Waiting,
    world: Rc<World>,
}

/// Runs the task until no other task can send to it.
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
        log: ChangeLog::default(),
        pending: Pending::Nothing,
        reads: 0,
        reports: StoreReports::new(start.store),
        sources: Sources::default(),
        start,
        unpublished: false,
        waiting: Waiting::default(),
        world: Rc::default(),
    };
    loop {
        let wait = task.step();
        match task.next_input(wait).await {
            Input::Message(Some(message)) => task.answer(message),
            Input::Message(None) | Input::Read(None) => return,
            Input::News(news) => task.asked(news),
            Input::Read(Some(end)) => task.read_ended(end),
            Input::Timer => {}
        }
    }
}

impl CatalogTask {
    async fn next_input(&mut self, wait: Duration) -> Input {
        let timer = monoio::time::sleep(wait).fuse();
        let news = self.pending.news(self.start.clock).fuse();
        pin_mut!(timer, news);
        select_biased! {
            end = self.ends.next() => Input::Read(end),
            news = news => Input::News(news),
            message = self.start.receiver.next() => Input::Message(message),
            () = timer => Input::Timer,
        }
    }

    /// Carries out what is due, and returns the time until something else is.
    fn step(&mut self) -> Duration {
        let now = self.start.clock.now();
        let expired = self.catalog.expire(now);
        self.take_in(&expired, Source::Expiry, now);
        let (due, call) = self.store_sync.next(now);
        let free = matches!(self.pending, Pending::Nothing);
        if free && due <= now {
            self.pending = self.call(call, now);
        }
        let next_call = matches!(self.pending, Pending::Nothing).then_some(due);
        let next = [next_call, self.catalog.next_expiry()];
        let next = next.into_iter().flatten().min();
        next.map_or(IDLE, |at| (at - now).max(SLEEP))
    }

    fn call(&mut self, call: Call, now: Time) -> Pending {
        let call = match call {
            Call::Ask { peer, until, .. } => {
                return Pending::Peer(self.ask(peer, until, now));
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

    fn ask(&self, peer: SocketAddr, until: Time, now: Time) -> Asked {
        let (reply, receiver) = oneshot::channel();
        let message = PeersMessage::Send {
            reply,
            request: Request::StoreUpdate(self.store_sync.position(now)),
            to: PeerAddress::Socket(peer),
        };
        let _ = self.start.peers.unbounded_send(message);
        Asked {
            peer,
            reply: receiver,
            until,
        }
    }

    fn answer(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Ask { position, reply } => {
                let asked = self.start.clock.now();
                self.waiting.push(Asking {
                    asked,
                    position,
                    reply,
                });
                self.waiting.answer(&self.store_sync, &self.log, asked);
            }
            ControlMessage::Config(reply) => {
                let _ = reply.send(Rc::clone(&self.world));
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
        !self.leaving && self.world.config.version > Version(0)
    }

    /// Takes in what a peer told, or that it told nothing.
    fn asked(&mut self, news: Option<StoreUpdate>) {
        let Pending::Peer(Asked { peer, .. }) =
            std::mem::replace(&mut self.pending, Pending::Nothing)
        else {
            return;
        };
        let at = self.start.clock.now();
        let Some(news) = news else {
            report::silent_peer(peer, self.store_sync.position(at));
            self.store_sync.end(CallEnd::NoUpdate(peer), at);
            return;
        };
        let received = Received { at, news, peer };
        if self.removes_target(&received.news.payload) && self.store_sync.must_check(at) {
            self.call_store(StoreCall::Check);
            self.pending = Pending::Check(received);
        } else {
            self.take_news(received, at);
        }
    }

    /// Whether the news say that a target is gone which takes work here.
    fn removes_target(&self, payload: &UpdatePayload) -> bool {
        match payload {
            UpdatePayload::Changes(changes) => changes.iter().any(|(_, change)| match change {
                Change::TargetGone { name } => self.catalog.is_active(name),
                Change::Routes(_) | Change::Target { .. } => false,
            }),
            UpdatePayload::Contents(contents) => {
                let mut used = self.catalog.active();
                used.any(|name| !contents.targets.contains_key(name))
            }
            UpdatePayload::TooLarge => false,
        }
    }

    fn take_news(&mut self, received: Received, now: Time) {
        let Received { at, news, peer } = received;
        let StoreUpdate { mut head, payload } = news;
        head.age += now - at;
        if !self.store_sync.is_newer(&head, now) {
            report::no_update(peer, &head, self.store_sync.revision());
            self.store_sync.end(CallEnd::Update(peer, head), now);
            return;
        }
        let known = self.store_sync.revision();
        let source = Source::Peer(peer);
        match payload {
            UpdatePayload::Changes(changes) => {
                self.store_sync.end(CallEnd::Update(peer, head), now);
                let fresh = changes.into_iter().filter(|(at, _)| *at > known);
                self.apply(fresh.collect(), source, now);
            }
            UpdatePayload::Contents(contents) => {
                self.store_sync.end(CallEnd::Update(peer, head), now);
                self.replace(contents, source, now);
            }
            UpdatePayload::TooLarge => {
                report::no_update(peer, &head, known);
                self.store_sync.end(CallEnd::TooLarge(peer), now);
            }
        }
    }

    fn read_ended(&mut self, end: StoreEnd) {
        let pending = std::mem::replace(&mut self.pending, Pending::Nothing);
        let now = self.start.clock.now();
        match end {
            Ok(read) => self.read(read, now),
            Err(fault) => self.failed(&fault, now),
        }
        match pending {
            Pending::Check(received) => self.take_news(received, now),
            Pending::Nothing | Pending::Peer(_) | Pending::Store => {}
        }
    }

    fn read(&mut self, read: StoreRead, now: Time) {
        match read {
            StoreRead::Contents {
                items,
                revision,
                stale,
            } => {
                let end = if stale {
                    CallEnd::ReadStale { revision }
                } else {
                    CallEnd::Read { revision }
                };
                self.passed(end, now);
                self.replace(snapshot(&items), Source::Store, now);
            }
            StoreRead::Changes { events, revision } => {
                self.passed(CallEnd::Read { revision }, now);
                let changes = events.into_iter().filter_map(|event| {
                    let at = event.revision();
                    Some((at, change(event)?))
                });
                self.apply(changes.collect(), Source::Store, now);
            }
            StoreRead::HistoryGone => self.store_sync.end(CallEnd::HistoryGone, now),
            StoreRead::Reached => self.passed(CallEnd::Reached, now),
        }
    }

    fn failed(&mut self, fault: &ReadFault, now: Time) {
        self.failing_since.get_or_insert(now);
        self.reports.failed(fault);
        let end = match fault {
            ReadFault::Status(_) => CallEnd::Refused,
            ReadFault::Broken(_) | ReadFault::Content(_) | ReadFault::Silent => CallEnd::Failed,
        };
        self.store_sync.end(end, now);
    }

    /// Notes that the store has answered.
    fn passed(&mut self, end: CallEnd, now: Time) {
        self.store_sync.end(end, now);
        if let Some(since) = self.failing_since.take() {
            self.catalog.reconnect(now);
            self.reports.passed(self.store_sync.revision(), now - since);
        }
    }

    /// Takes over everything that the store holds at the revision known.
    fn replace(&mut self, contents: Snapshot, source: Source, now: Time) {
        let revision = self.store_sync.revision();
        self.log.restart(revision, contents.clone());
        let absence = self.store_sync.absence();
        let catalog_events = self.catalog.replace(contents, absence, now);
        self.take_in(&catalog_events, source, now);
    }

    /// Applies changes in order, and keeps them for peers.
    fn apply(&mut self, changes: Vec<(u64, Change)>, source: Source, now: Time) {
        let absence = self.store_sync.absence();
        let mut catalog_events = Vec::new();
        for (at, change) in changes {
            self.log.push(at, &change);
            catalog_events.extend(self.catalog.apply(change, absence, now));
        }
        self.take_in(&catalog_events, source, now);
    }

    /// Logs what is newly believed. Other tasks and peers learn of it once the store has confirmed it.
    fn take_in(&mut self, catalog_events: &[CatalogEvent], source: Source, now: Time) {
        let revision = self.store_sync.revision();
        report::catalog_events(catalog_events, &self.catalog, revision, source);
        if !catalog_events.is_empty() {
            self.unpublished = true;
            self.choose_sources();
        }
        if self.store_sync.is_confirmed() {
            self.publish();
            self.waiting.answer(&self.store_sync, &self.log, now);
        }
    }

    /// Decides anew whom to ask for news, as targets come and go.
    fn choose_sources(&mut self) {
        let port = self.start.peer_port;
        let targets = self.catalog.targets().filter(|(.., leaving)| !leaving);
        let daemons: Vec<_> = targets
            .map(|(_, _, t, _)| (SocketAddr::new(t.address.ip(), port), t.domain.as_str()))
            .collect();
        let own = SocketAddr::new(self.start.own.ip(), port);
        let sources = Sources::of(own, &self.start.domain, &daemons);
        let count = daemons.len();
        if self.sources != sources {
            report::sources(&sources);
            self.sources = sources.clone();
        }
        self.store_sync.set_sources(count, sources);
    }

    fn publish(&mut self) {
        if !std::mem::take(&mut self.unpublished) {
            return;
        }
        debug_assert_eq!(self.catalog.verify(), Vec::<String>::new());
        self.world = Rc::new(World {
            config: self.catalog.configuration(&SHARING),
            members: self.members(),
            own: self.catalog.target_at(self.start.own),
            routes: Some(Rc::clone(self.catalog.routes())),
        });
        let world = || Rc::clone(&self.world);
        let _ = self
            .start
            .router
            .unbounded_send(RouterMessage::World(world()));
        self.start.gate.send(GateMessage::World(world()));
        let _ = self
            .start
            .peers
            .unbounded_send(PeersMessage::World(world()));
    }

    /// A daemon has the address of its target and the same port everywhere.
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
            .map(|(id, name, entry, leaving)| (id, member(name, entry.address, leaving)))
            .collect()
    }

    fn status(&self) -> ControlStatus {
        let names = self.world.config.targets.iter();
        let members =
            names.filter_map(|(id, t)| Some((t.name.clone(), self.world.members.get(id)?.clone())));
        ControlStatus {
            members: members.collect(),
            platform_reads: self.reads,
            ready: self.is_ready(),
            version: self.catalog.version(),
            watching: true,
            ..ControlStatus::default()
        }
    }
}
