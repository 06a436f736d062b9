//! The loop of the catalog task and its state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::mpsc;
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::catalog::{
    Belief, Call, CallEnd, Catalog, Change, Follower, Outage, Snapshot,
};
use hawthornwall_core::config::Rules;
use hawthornwall_core::ids::{TargetId, Version};
use hawthornwall_core::time::Time;
use hawthornwall_platform::{Event, Item, Key, decode_change};

use super::report::{self, StoreReports};
use crate::clock::Clock;
use crate::messages::{
    ControlMessage, ControlStatus, GateMessage, GateSender, Member, PeersMessage, PeersSender,
    RouterMessage, RouterSender, World,
};
use crate::platform::ReadFault;
use crate::platform::store::{self, StoreEnd, StoreRead};
use hawthornwall_wire::peer::Exchange;

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

/// What ends the task's wait.
enum Input {
    Message(Option<ControlMessage>),
    Read(Option<StoreEnd>),
    Timer,
}

struct CatalogTask {
    calls: mpsc::UnboundedSender<Call>,
    catalog: Catalog,
    ends: mpsc::UnboundedReceiver<StoreEnd>,
    failing_since: Option<Time>,
    follower: Follower,
    leaving: bool,
    reading: bool,
    reads: u64,
    reports: StoreReports,
    start: CatalogStart,
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
        follower: Follower::new(start.seed),
        leaving: false,
        reading: false,
        reads: 0,
        reports: StoreReports::default(),
        start,
        world: Rc::default(),
    };
    loop {
        let wait = task.step();
        let timer = monoio::time::sleep(wait).fuse();
        pin_mut!(timer);
        let input = select_biased! {
            end = task.ends.next() => Input::Read(end),
            message = task.start.receiver.next() => Input::Message(message),
            () = timer => Input::Timer,
        };
        match input {
            Input::Message(Some(message)) => task.answer(message),
            Input::Message(None) | Input::Read(None) => return,
            Input::Read(Some(end)) => task.read_ended(end),
            Input::Timer => {}
        }
    }
}

impl CatalogTask {
    /// Carries out what is due, and returns the time until something else is.
    fn step(&mut self) -> Duration {
        let now = self.start.clock.now();
        let expired = self.catalog.expire(now);
        self.publish(&expired, 0);
        let (due, call) = self.follower.next();
        if !self.reading && due <= now {
            self.reading = true;
            self.reads += 1;
            let _ = self.calls.unbounded_send(call);
        }
        let next_read = (!self.reading).then_some(due);
        let next = [next_read, self.catalog.next_expiry()];
        let next = next.into_iter().flatten().min();
        next.map_or(IDLE, |at| (at - now).max(SLEEP))
    }

    fn answer(&mut self, message: ControlMessage) {
        match message {
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
        !self.leaving && self.catalog.version() > Version(0)
    }

    fn read_ended(&mut self, end: StoreEnd) {
        self.reading = false;
        let now = self.start.clock.now();
        match end {
            Ok(StoreRead::Contents { items, revision }) => {
                let outage = self.passed(revision, now);
                let snapshot = snapshot(&items);
                let beliefs = self.catalog.replace(snapshot, outage.ended, now);
                self.publish(&beliefs, revision);
            }
            Ok(StoreRead::Changes { events, revision }) => {
                let outage = self.passed(revision, now);
                let changes = events.into_iter().filter_map(change);
                let beliefs: Vec<_> = changes
                    .filter_map(|c| self.catalog.apply(c, outage.ended, now))
                    .collect();
                self.publish(&beliefs, revision);
            }
            Ok(StoreRead::HistoryGone) => {
                self.follower.end(CallEnd::HistoryGone, now);
            }
            Err(fault) => {
                self.failing_since.get_or_insert(now);
                self.reports.failed(self.start.store, &fault);
                let end = match fault {
                    ReadFault::Status(_) => CallEnd::Refused,
                    ReadFault::Broken(_) | ReadFault::Content(_) | ReadFault::Silent => {
                        CallEnd::Failed
                    }
                };
                self.follower.end(end, now);
            }
        }
    }

    fn passed(&mut self, revision: u64, now: Time) -> Outage {
        let waited = self
            .failing_since
            .take()
            .map_or(Duration::ZERO, |at| now - at);
        self.reports.passed(self.start.store, revision, waited);
        self.follower.end(CallEnd::Read { revision }, now)
    }

    fn publish(&mut self, beliefs: &[Belief], revision: u64) {
        if beliefs.is_empty() {
            return;
        }
        for belief in beliefs {
            report::belief(belief, &self.catalog, revision);
        }
        self.follower.set_targets(self.catalog.targets().count());
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

/// What an event changes. An entry of a target that can't be read names no target any more; routes
/// that can't be read change nothing.
fn change(event: Event) -> Option<Change> {
    match event {
        Event::Deleted { key } => gone(&key),
        Event::Written(item) => match decode_change(&item) {
            Ok(change) => change,
            Err(fault) => {
                report::unreadable(&item.key, &fault.0, item.revision);
                gone(&item.key)
            }
        },
    }
}

fn gone(key: &str) -> Option<Change> {
    match Key::of(key) {
        Key::Target(name) => Some(Change::TargetGone {
            name: name.to_owned(),
        }),
        Key::Other | Key::Routes => None,
    }
}

fn read_item(item: &Item) -> Option<Change> {
    decode_change(item).unwrap_or_else(|fault| {
        report::unreadable(&item.key, &fault.0, item.revision);
        None
    })
}

fn snapshot(items: &[Item]) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for change in items.iter().filter_map(read_item) {
        match change {
            Change::Routes(routes) => snapshot.routes = Some(routes),
            Change::Target { name, target } => {
                snapshot.targets.insert(name, target);
            }
            Change::TargetGone { .. } => {}
        }
    }
    snapshot
}
