//! Random returns of the store from older copies, with targets that come and go and an operator who changes the routes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hawthornwall_core::catalog::{
    CallEnd, Catalog, Change, ChangeLog, EraOrder, PublishedRoutes, PublishedState,
    PublishedTarget, Revision, Snapshot, StoreSync, UpdatePayload,
};
use hawthornwall_core::prelude::*;
use proptest::prelude::*;

const DAEMONS: usize = 2;
const TARGETS: usize = 3;
/// Longest time from the store's return until a target or the operator has written again what was lost.
const REWRITE: Duration = Duration::from_millis(1_500);
/// Greatest age of a copy that the store returns to.
const COPY_AGE: Duration = Duration::from_secs(5);
/// Longest time between two reads of a daemon. Targets and daemons together need less than the grace of 2 s.
const READ_INTERVAL_MS: u64 = 200;

/// What a target really does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Life {
    Draining,
    Gone,
    Ready,
}

#[derive(Clone, Debug)]
enum Step {
    /// Time passes; then the first daemon reads the store, and the second one reads it or asks the first.
    Advance {
        ms: u64,
        ask: bool,
    },
    /// The store keeps a copy.
    Copy,
    Drain(usize),
    Leave(usize),
    /// A target starts, or starts again under its name.
    Start(usize),
    Return,
    /// The operator writes the next version.
    Update,
}

#[derive(Clone, Debug, Default)]
struct Store {
    contents: Snapshot,
    era: u64,
    history: Vec<(u64, Change)>,
}

impl Store {
    fn revision(&self) -> Revision {
        Revision::new(self.era, self.history.len() as u64)
    }

    fn write(&mut self, change: Change) {
        match &change {
            Change::Routes(routes) => self.contents.routes = Some(routes.clone()),
            Change::Target { name, target } => {
                self.contents.targets.insert(name.clone(), target.clone());
            }
            Change::TargetGone { name } => {
                self.contents.targets.remove(name);
            }
            Change::Evacuated { .. } | Change::EvacuationEnded { .. } => {}
        }
        let number = self.history.len() as u64 + 1;
        self.history.push((number, change));
    }
}

/// Targets, operator and store.
struct World {
    copy: Option<(Store, Time)>,
    /// When each target writes its entry again after a return of the store, and the operator the routes.
    due: Vec<(Time, Option<usize>)>,
    lives: [(Life, u64); TARGETS],
    now: Time,
    store: Store,
    version: u64,
}

fn name(target: usize) -> String {
    format!("i-{target}")
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            copy: None,
            due: Vec::new(),
            lives: [(Life::Ready, 1); TARGETS],
            now: Time::ZERO,
            store: Store::default(),
            version: 1,
        };
        world.write_routes();
        (0..TARGETS).for_each(|n| world.write_entry(n));
        world
    }

    fn write_routes(&mut self) {
        let routes = PublishedRoutes {
            version: Version(self.version),
            ..PublishedRoutes::default()
        };
        self.store.write(Change::Routes(routes));
    }

    fn write_entry(&mut self, target: usize) {
        let (life, run) = self.lives[target];
        let state = match life {
            Life::Draining => PublishedState::Draining,
            Life::Gone => {
                let name = name(target);
                if self.store.contents.targets.contains_key(&name) {
                    self.store.write(Change::TargetGone { name });
                }
                return;
            }
            Life::Ready => PublishedState::Ready,
        };
        let entry = PublishedTarget {
            address: ([10, 0, 0, target as u8], 80).into(),
            started_ms: Some(run),
            cold: Duration::ZERO,
            domain: "dk-1".to_owned(),
            sequence: 0,
            service: "calendar".to_owned(),
            slots: 2,
            state,
        };
        self.store.write(Change::Target {
            name: name(target),
            target: entry,
        });
    }

    fn perform(&mut self, step: &Step) {
        match *step {
            Step::Advance { ms, .. } => self.advance(Duration::from_millis(ms)),
            Step::Copy => self.copy = Some((self.store.clone(), self.now)),
            Step::Drain(target) if self.lives[target].0 == Life::Ready => {
                self.lives[target].0 = Life::Draining;
                self.write_entry(target);
            }
            Step::Drain(_) => {}
            Step::Leave(target) => {
                self.lives[target].0 = Life::Gone;
                self.write_entry(target);
            }
            Step::Start(target) => {
                self.lives[target] = (Life::Ready, self.lives[target].1 + 1);
                self.write_entry(target);
            }
            Step::Return => self.return_to_copy(),
            Step::Update => {
                self.version += 1;
                self.write_routes();
            }
        }
    }

    fn return_to_copy(&mut self) {
        let Some((copy, at)) = &self.copy else { return };
        if self.now - *at > COPY_AGE {
            return;
        }
        self.store = Store {
            era: self.store.era + 1,
            ..copy.clone()
        };
        let last = TARGETS as u32 + 1;
        self.due = (0..TARGETS)
            .map(|n| (self.now + REWRITE * (n as u32 + 1) / last, Some(n)))
            .chain([(self.now + REWRITE, None)])
            .collect();
    }

    fn advance(&mut self, passed: Duration) {
        self.now = self.now + passed;
        let (due, later) = self.due.iter().partition(|(at, _)| *at <= self.now);
        self.due = later;
        let due: Vec<(Time, Option<usize>)> = due;
        for (_, writer) in due {
            match writer {
                Some(target) => self.write_entry(target),
                None => self.write_routes(),
            }
        }
    }
}

struct Daemon {
    catalog: Catalog,
    log: ChangeLog,
    /// Runs of targets that were in use here.
    used: BTreeSet<(usize, u64)>,
    /// Runs of targets of which it is known here that they take no work.
    out: BTreeSet<(usize, u64)>,
    sync: StoreSync,
    version: Version,
}

impl Daemon {
    fn new() -> Self {
        Self {
            catalog: Catalog::default(),
            log: ChangeLog::default(),
            used: BTreeSet::new(),
            out: BTreeSet::new(),
            sync: StoreSync::new(1),
            version: Version(0),
        }
    }

    fn read(&mut self, store: &Store, now: Time) {
        let (held, revision) = (self.sync.revision(), store.revision());
        let order = self.sync.receive_era(store.era, now);
        self.sync.end(CallEnd::Read { revision }, now);
        if held.number == 0 || order == EraOrder::Later {
            return self.replace(store.contents.clone(), held, now);
        }
        let changes = store.history.iter().skip(held.number as usize).cloned();
        self.apply(changes.collect(), now);
    }

    /// Asks another daemon; returns whether it has anything newer.
    fn ask(&mut self, peer: &Self, now: Time) -> bool {
        let (held, position) = (self.sync.revision(), self.sync.position(now));
        let Some(update) = peer.sync.update_for(&position, now) else {
            return false;
        };
        let payload = peer.log.since(position.revision);
        let address = ([10, 0, 0, 9], 7).into();
        self.sync.end(CallEnd::Update(address, update), now);
        match payload {
            UpdatePayload::Changes(changes) => {
                assert_eq!(update.revision.era, held.era, "changes follow what is held");
                let changes = self.log.resolve(changes);
                let changes = changes.expect("the routes are those that the changes follow");
                self.apply(changes, now);
            }
            UpdatePayload::Contents(contents) => self.replace(contents, held, now),
            UpdatePayload::TooLarge => panic!("the contents fit into an update"),
        }
        true
    }

    fn replace(&mut self, contents: Snapshot, held: Revision, now: Time) {
        let revision = self.sync.revision();
        if let Some(at) = self.sync.restored_at().filter(|_| revision.era > held.era) {
            self.catalog.begin_era(at);
        }
        self.log.restart(revision, contents.clone());
        self.catalog.replace(contents, self.sync.absence(), now);
    }

    fn apply(&mut self, changes: Vec<(u64, Change)>, now: Time) {
        for (at, change) in changes {
            self.log.push(at, &change);
            self.catalog.apply(change, self.sync.absence(), now);
        }
    }

    /// The run of each target that is in use, or of each that isn't.
    fn runs(&self, used: bool) -> BTreeMap<usize, u64> {
        let targets = self.catalog.targets();
        let targets = targets.filter(|(.., leaving)| *leaving != used);
        let run = |name: &str, entry: &PublishedTarget| {
            Some((name.strip_prefix("i-")?.parse().ok()?, entry.started_ms?))
        };
        targets
            .filter_map(|(_, name, entry, _)| run(name, entry))
            .collect()
    }

    fn check(&mut self, world: &World) -> Result<(), TestCaseError> {
        self.catalog.expire(world.now, Some(world.now));
        prop_assert_eq!(self.catalog.verify(), Vec::<String>::new());
        prop_assert!(self.catalog.version() >= self.version, "the routes go back");
        self.version = self.catalog.version();
        let (runs, unused) = (self.runs(true), self.runs(false));
        for (target, (life, run)) in world.lives.into_iter().enumerate() {
            let in_use = runs.get(&target).copied();
            let is_known_out = in_use.is_some_and(|run| self.out.contains(&(target, run)));
            prop_assert!(!is_known_out, "{} is put back in use", name(target));
            if life == Life::Ready && self.used.contains(&(target, run)) {
                prop_assert_eq!(in_use, Some(run), "{} went out of use", name(target));
            }
            match in_use {
                Some(run) => {
                    self.used.insert((target, run));
                }
                // A daemon knows nothing of a run that was over before it read of it.
                None if life != Life::Ready && unused.get(&target) == Some(&run) => {
                    self.out.insert((target, run));
                }
                None => {}
            }
        }
        Ok(())
    }
}

fn step() -> impl Strategy<Value = Step> {
    let target = || 0..TARGETS;
    prop_oneof![
        8 => (1..=READ_INTERVAL_MS, any::<bool>())
            .prop_map(|(ms, ask)| Step::Advance { ms, ask }),
        2 => Just(Step::Copy),
        1 => target().prop_map(Step::Drain),
        1 => target().prop_map(Step::Leave),
        2 => target().prop_map(Step::Start),
        2 => Just(Step::Return),
        1 => Just(Step::Update),
    ]
}

/// Lets time pass, and lets both daemons read.
fn advance(
    world: &mut World,
    [first, second]: &mut [Daemon; DAEMONS],
    step: &Step,
    ask: bool,
) -> Result<(), TestCaseError> {
    world.perform(step);
    first.read(&world.store, world.now);
    if !(ask && second.ask(first, world.now)) {
        second.read(&world.store, world.now);
    }
    first.check(world)?;
    second.check(world)
}

proptest! {
    /// Guards against routes that go back, targets that have left or drain and are put back in use by an older copy of
    /// the store, targets that take work and go out of use because the copy lacks them, and daemons that don't reach
    /// the newest contents of the store at last.
    #[test]
    fn older_copies_of_the_store(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        let mut daemons = [Daemon::new(), Daemon::new()];
        for step in steps {
            match step {
                Step::Advance { ask, .. } => advance(&mut world, &mut daemons, &step, ask)?,
                Step::Copy
                | Step::Drain(_)
                | Step::Leave(_)
                | Step::Start(_)
                | Step::Return
                | Step::Update => world.perform(&step),
            }
        }
        for turn in 0..25 {
            let step = Step::Advance { ms: READ_INTERVAL_MS, ask: turn % 2 == 0 };
            advance(&mut world, &mut daemons, &step, turn % 2 == 0)?;
        }
        let ready = world.lives.into_iter().enumerate();
        let ready = ready.filter(|(_, (life, _))| *life == Life::Ready);
        let ready: BTreeMap<_, _> = ready.map(|(target, (_, run))| (target, run)).collect();
        for daemon in &daemons {
            prop_assert_eq!(daemon.runs(true), ready.clone());
            prop_assert_eq!(daemon.version, Version(world.version));
            prop_assert_eq!(daemon.sync.revision(), world.store.revision());
        }
    }
}
