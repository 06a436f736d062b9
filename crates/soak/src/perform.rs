//! Carries out a plan while callers send requests.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::channel::mpsc;
use hawthornwall_testkit::launcher::{LaunchError, Signal};
use hawthornwall_testkit::store::{Fault, RouteDocument, configuration};
use hawthornwall_testkit::worker::{Conduct, Quirk};

use crate::callers::{self, Front, HOST, Traffic};
use crate::fleet::{Fleet, service};
use crate::ledger::{Bounds, Ledger, Violation};
use crate::plan::{Plan, Step, StoreFault, TimedStep};

/// Longest wait for all daemons to be ready at the start.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time between two looks at whether the end has come.
const POLL: Duration = Duration::from_millis(50);
/// Time after the last request in which answers still come.
const TAIL: Duration = Duration::from_millis(2_600);
/// How long a leaving worker serves.
const DRAIN: Duration = Duration::from_secs(3);
/// Time until the entry of a worker that is gone lapses.
const LAPSE: Duration = Duration::from_millis(1_500);
/// Time until an address has another worker.
const REUSE: Duration = Duration::from_secs(2);
/// Time in which a store that forgets its history is deaf.
const DEAF: Duration = Duration::from_secs(1);
/// How much later a slow store answers, and bytes of a slow link arrive.
const SLOW_STORE: Duration = Duration::from_millis(200);
const SLOW_LINK: Duration = Duration::from_millis(60);
/// Percent of the usual time that a slow worker takes.
const SLOWDOWN: u32 = 800;
/// Percent of the requests that a quirk befalls.
const SPOILT_PERCENT: u32 = 25;
/// How many times as many requests come in a burst.
const BURST: u32 = 3;
/// Versions of the configuration whose routes are kept.
const KEPT_VERSIONS: usize = 6;

/// What is run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Callers.
    pub callers: usize,
    /// Daemons.
    pub daemons: usize,
    /// Whether settings and logs are kept.
    pub keep: bool,
    /// Time in which rounds begin.
    pub length: Duration,
    /// Second number of the loopback addresses, other than that of soaks beside this one.
    pub network: u8,
    /// Seed of the plan, the callers and the workers.
    pub seed: u64,
}

/// What a soak showed.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Settings and logs, if they are kept.
    pub folder: String,
    /// Whether it ended before its time.
    pub interrupted: bool,
    /// Requests, and how many of them were served.
    pub requests: (usize, usize),
    /// Steps done.
    pub steps: usize,
    /// Broken promises in order.
    pub violations: Vec<Violation>,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (requests, served) = self.requests;
        let (steps, broken) = (self.steps, self.violations.len());
        write!(
            f,
            "{requests} requests, {served} served, {steps} steps, {broken} violations"
        )
    }
}

struct Performer {
    fleet: Rc<Fleet>,
    traffic: Rc<Traffic>,
}

/// Runs a soak; no process is left behind. It ends early once `interrupted` is set.
///
/// # Errors
///
/// A process can't be started, or the fleet never becomes ready.
pub fn run(options: &Options, interrupted: &Arc<AtomicBool>) -> Result<Summary, LaunchError> {
    let ended = hawthornwall_testkit::run(soak(options, interrupted));
    ended.map_err(LaunchError::io("runtime"))?
}

async fn soak(options: &Options, interrupted: &AtomicBool) -> Result<Summary, LaunchError> {
    let plan = Plan::draw(options.seed, options.daemons, options.length);
    let performer = assemble(options)?;
    let (fleet, traffic) = (&performer.fleet, &performer.traffic);
    await_ready(fleet).await?;
    let start = Instant::now();
    let ledger = Ledger::new(start, Bounds::default(), &plan.calm);
    traffic.ledger.replace(ledger);
    for number in 0..options.callers {
        monoio::spawn(callers::run(number, options.seed, Rc::clone(traffic)));
    }
    let steps = performer.follow(&plan, start, interrupted).await;
    traffic.stop.set(true);
    monoio::time::sleep(TAIL).await;
    let ledger = Ledger::new(start, Bounds::default(), &[]);
    let ledger = traffic.ledger.replace(ledger);
    fleet.stop().await;
    Ok(Summary {
        folder: fleet.folder(),
        interrupted: interrupted.load(Ordering::Relaxed),
        requests: ledger.counts(),
        steps,
        violations: ledger.finish(),
    })
}

/// Starts the fleet, and the tasks that look after it.
fn assemble(options: &Options) -> Result<Rc<Performer>, LaunchError> {
    let Options {
        daemons,
        keep,
        network,
        seed,
        ..
    } = *options;
    let (witness, mut runs) = mpsc::unbounded();
    let fleet = Rc::new(Fleet::start(daemons, seed, network, keep, witness)?);
    let front = |number| Front {
        address: fleet.caller_address(number),
        origin: service(number).to_owned(),
    };
    let ledger = Ledger::new(Instant::now(), Bounds::default(), &[]);
    let traffic = Rc::new(Traffic {
        burst: Cell::new(1),
        daemons: (0..daemons).map(front).collect(),
        fleet: Rc::clone(&fleet),
        ledger: RefCell::new(ledger),
        stop: Cell::new(false),
        versions: RefCell::default(),
    });
    let watched = Rc::clone(&traffic);
    monoio::spawn(async move {
        while let Some(run) = runs.next().await {
            watched.ledger.borrow_mut().ran(&run);
        }
    });
    for number in 0..daemons {
        let told = Rc::clone(&traffic);
        let died = move |number, status: String| {
            let now = Instant::now();
            told.ledger.borrow_mut().died(number, &status, now);
        };
        monoio::spawn(Rc::clone(&fleet).supervise(number, died));
        monoio::spawn(Rc::clone(&fleet).watch_ready(number));
    }
    let performer = Rc::new(Performer { fleet, traffic });
    performer.configure();
    Ok(performer)
}

async fn await_ready(fleet: &Fleet) -> Result<(), LaunchError> {
    let limit = Instant::now() + READY_LIMIT;
    while !fleet.nodes.iter().all(|node| node.ready.get()) {
        if Instant::now() >= limit {
            fleet.stop().await;
            return Err(LaunchError::Late("the fleet".to_owned()));
        }
        monoio::time::sleep(POLL).await;
    }
    Ok(())
}

impl Performer {
    /// Does the steps at their times, and returns how many it has done.
    async fn follow(self: &Rc<Self>, plan: &Plan, start: Instant, stop: &AtomicBool) -> usize {
        let (mut next, mut told) = (0, 0);
        while start.elapsed() < plan.end && !stop.load(Ordering::Relaxed) {
            while let Some(timed) = plan.steps.get(next).filter(|s| s.at <= start.elapsed()) {
                println!("{:8.3} s {}", timed.at.as_secs_f64(), timed.step);
                monoio::spawn(Rc::clone(self).perform(*timed));
                next += 1;
            }
            for violation in &self.traffic.ledger.borrow().violations()[told..] {
                println!("{violation}");
            }
            told = self.traffic.ledger.borrow().violations().len();
            monoio::time::sleep(POLL).await;
        }
        next
    }

    async fn perform(self: Rc<Self>, timed: TimedStep) {
        let nodes = &self.fleet.nodes;
        match timed.step {
            Step::Burst(time) => {
                self.traffic.burst.set(BURST);
                monoio::time::sleep(time).await;
                self.traffic.burst.set(1);
            }
            Step::Configure => self.configure(),
            Step::CutPeer(one, cut, time) => {
                nodes[one].proxy.cut(Some(cut));
                monoio::time::sleep(time).await;
                nodes[one].proxy.cut(None);
            }
            Step::DrainWorker(one) => self.drain_worker(one).await,
            Step::Freeze(one, time) => {
                let from = Instant::now();
                self.fleet.signal(one, Signal::Stop);
                monoio::time::sleep(time).await;
                self.fleet.signal(one, Signal::Continue);
                let mut ledger = self.traffic.ledger.borrow_mut();
                ledger.stood_still(one, from, Instant::now());
            }
            Step::Kill(one) => self.fleet.kill(one),
            Step::KillWorker(one) => self.kill_worker(one).await,
            Step::SlowPeer(one, time) => {
                nodes[one].proxy.delay(SLOW_LINK);
                monoio::time::sleep(time).await;
                nodes[one].proxy.delay(Duration::ZERO);
            }
            Step::Spoil(one, quirk, time) => {
                let spoilt = Conduct {
                    percent: SPOILT_PERCENT,
                    quirk,
                    ..Conduct::default()
                };
                self.conduct_for(one, spoilt, time).await;
            }
            Step::ResetPeers(one) => nodes[one].proxy.reset(),
            Step::SilencePeers(one) => nodes[one].proxy.silence(),
            Step::SlowWorker(one, time) => {
                let slow = Conduct {
                    quirk: Quirk::None,
                    slowdown: SLOWDOWN,
                    ..Conduct::default()
                };
                self.conduct_for(one, slow, time).await;
            }
            Step::Store(fault, time) => self.fail_store(None, fault, time).await,
            Step::StorePart(fault, time) => {
                for reader in (0..nodes.len()).step_by(3) {
                    let one = Rc::clone(&self);
                    monoio::spawn(async move { one.fail_store(Some(reader), fault, time).await });
                }
            }
            Step::Terminate(one) => self.terminate(one, timed.planned),
        }
    }

    fn terminate(&self, one: usize, planned: bool) {
        if planned {
            let now = Instant::now();
            self.traffic.ledger.borrow_mut().stops(one, now);
        }
        self.fleet.signal(one, Signal::Terminate);
    }

    /// Writes a configuration with one more route, whose path names its version.
    fn configure(&self) {
        let mut versions = self.traffic.versions.borrow_mut();
        let version = versions.last().map_or(3, |last| last + 2);
        versions.push(version);
        let route = |prefix: String, idempotent, services: &[(&str, u32)]| RouteDocument {
            idempotent,
            prefix,
            services: services
                .iter()
                .map(|(s, w)| ((*s).to_owned(), *w))
                .collect(),
        };
        let mut routes = vec![
            route("/get/".to_owned(), true, &[("views", 1)]),
            route("/post/".to_owned(), false, &[("orders", 1)]),
            route("/mix/".to_owned(), true, &[("views", 3), ("orders", 1)]),
        ];
        let newest = versions.iter().rev().take(KEPT_VERSIONS);
        routes.extend(newest.map(|v| route(format!("/v{v}/"), true, &[("views", 1)])));
        let document = configuration(version, HOST, &routes);
        self.fleet.store.put("op/config", &document);
        let mut ledger = self.traffic.ledger.borrow_mut();
        ledger.configured(version, Instant::now());
    }

    /// Has a worker say that it leaves, serve a little longer, and be replaced.
    async fn drain_worker(&self, one: usize) {
        let name = self.fleet.worker_name(one);
        if let Some(worker) = &*self.fleet.nodes[one].worker.borrow() {
            worker.draining.set(true);
        }
        self.fleet.write_entry(one, true);
        self.traffic
            .ledger
            .borrow_mut()
            .leaves(&name, Instant::now());
        monoio::time::sleep(DRAIN).await;
        // It ends only once nothing runs, as a worker that leaves in order does.
        while self.runs(one, &name) {
            monoio::time::sleep(POLL).await;
        }
        self.replace(one, &name, Duration::ZERO).await;
    }

    async fn kill_worker(&self, one: usize) {
        let name = self.fleet.worker_name(one);
        self.replace(one, &name, LAPSE).await;
    }

    /// Ends a worker, deletes its entry a little later, and starts another one.
    async fn replace(&self, one: usize, name: &str, lapse: Duration) {
        if self.fleet.worker_name(one) != name {
            return;
        }
        drop(self.fleet.nodes[one].worker.borrow_mut().take());
        monoio::time::sleep(lapse).await;
        self.fleet.delete_entry(name);
        self.traffic
            .ledger
            .borrow_mut()
            .leaves(name, Instant::now());
        monoio::time::sleep(REUSE).await;
        if self.fleet.worker_name(one) == name
            && let Err(e) = self.fleet.start_worker(one)
        {
            println!("worker {one} can't be started: {e}");
        }
    }

    fn runs(&self, one: usize, name: &str) -> bool {
        let worker = self.fleet.nodes[one].worker.borrow();
        let running = worker.as_ref().map_or(0, |worker| worker.running.get());
        self.fleet.worker_name(one) == name && running > 0
    }

    async fn conduct_for(&self, one: usize, conduct: Conduct, time: Duration) {
        let set = |conduct: Conduct| {
            if let Some(worker) = &*self.fleet.nodes[one].worker.borrow() {
                worker.conduct.set(conduct);
            }
        };
        set(conduct);
        monoio::time::sleep(time).await;
        set(Conduct::default());
    }

    async fn fail_store(&self, reader: Option<usize>, fault: StoreFault, time: Duration) {
        let store = &self.fleet.store;
        match fault {
            StoreFault::Busy => store.fail(reader, Fault::Busy),
            StoreFault::Compact => {
                store.fail(reader, Fault::Deaf);
                monoio::time::sleep(DEAF).await;
                store.compact();
                store.fail(reader, Fault::None);
                return;
            }
            StoreFault::Reset => store.fail(reader, Fault::Reset),
            StoreFault::Silent => store.fail(reader, Fault::Silent),
            StoreFault::Slow => store.fail(reader, Fault::Slow(SLOW_STORE)),
        }
        monoio::time::sleep(time).await;
        store.fail(reader, Fault::None);
    }
}
