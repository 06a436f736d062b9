//! Runs a soak test: injects the faults of its plan while callers send requests.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::channel::mpsc;
use hawthornwall_testkit::launcher::{LaunchError, Signal};
use hawthornwall_testkit::store::{Fault, RouteDocument, configuration};
use hawthornwall_testkit::worker::{AnswerFault, WorkerBehaviour};

use crate::callers::{self, Endpoint, HOST, Traffic};
use crate::fleet::{self, Fleet, service};
use crate::history::{Bounds, History, Violation};
use crate::plan::{Plan, Step, StoreFault, TimedStep};

/// Timeout for all daemons to become ready at the start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which conditions are polled and new violations are printed.
const POLL: Duration = Duration::from_millis(50);
/// Time after the end of the plan in which outstanding requests complete.
const COMPLETION_TIME: Duration = Duration::from_millis(2_600);
/// Minimum time for which a leaving worker continues to serve.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Time from the end of a killed worker until its entry expires.
const ENTRY_EXPIRY: Duration = Duration::from_millis(1_500);
/// Time until the address of a removed worker is reused by another one.
const ADDRESS_REUSE: Duration = Duration::from_secs(2);
/// Time for which watches receive no events before the store compacts its history.
const WATCH_OUTAGE: Duration = Duration::from_secs(1);
/// Time from the removal of an entry until the store returns from a copy that has it. All daemons read the removal in it.
const REMOVAL_TIME: Duration = Duration::from_secs(1);
/// Time after the store's return after which an entry of the copy that nobody writes lapses.
const ENTRY_LAPSE: Duration = Duration::from_millis(4_500);
/// Time for which the store gives no answer before it returns from an older copy.
const RETURN_OUTAGE: Duration = Duration::from_millis(300);
/// Time from the store's return until what it has lost is written again.
const REWRITE_TIME: Duration = Duration::from_millis(1_500);
/// Delay of each answer of a slow store.
const STORE_DELAY: Duration = Duration::from_millis(200);
/// Delay of data on a slow connection between daemons.
const LINK_DELAY: Duration = Duration::from_millis(60);
/// Service time of a slow worker as a percentage of the usual one.
const SLOWDOWN_PERCENT: u32 = 800;
/// Percentage of requests that a faulty worker handles incorrectly.
const FAULTY_PERCENT: u32 = 25;
/// Factor by which a burst raises the request rate.
const BURST_FACTOR: u32 = 3;
/// Cold time after a start that configurations state, in seconds. Workers are warm when they start.
const COLD_START_S: u32 = 1;
/// Number of newest versions whose routes a configuration contains.
const KEPT_VERSIONS: usize = 6;

/// Parameters of a soak test.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of simulated callers.
    pub callers: usize,
    /// Number of daemons, each with one worker.
    pub daemons: usize,
    /// Whether the folder with settings and logs is kept.
    pub keep: bool,
    /// Time after which no new round starts.
    pub length: Duration,
    /// Second octet of the loopback addresses. Soak tests that run at the same time need different
    /// values.
    pub network: u8,
    /// Seed of the plan and of the random behaviour of callers and workers.
    pub seed: u64,
}

/// Result of a soak test.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Path of the folder with settings and logs; it exists only if [`Options::keep`] is set.
    pub folder: String,
    /// Whether the test was stopped before the end of its plan.
    pub interrupted: bool,
    /// Number of requests, and how many of them were served.
    pub requests: (usize, usize),
    /// Number of steps that were started.
    pub steps: usize,
    /// All violations, ordered by time.
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

struct Injector {
    /// Number of evacuations in force of each zone that has any, by index.
    evacuations: RefCell<BTreeMap<usize, usize>>,
    fleet: Rc<Fleet>,
    traffic: Rc<Traffic>,
}

/// Runs a soak test and stops all processes that it started. The test ends early when `interrupted`
/// is set.
///
/// # Errors
///
/// Returns an error if a process can't be started or the daemons don't become ready in time.
pub fn run(options: &Options, interrupted: &Arc<AtomicBool>) -> Result<Summary, LaunchError> {
    let ended = hawthornwall_testkit::run(run_soak(options, interrupted));
    ended.map_err(LaunchError::io("runtime"))?
}

async fn run_soak(options: &Options, interrupted: &AtomicBool) -> Result<Summary, LaunchError> {
    let plan = Plan::generate(options.seed, options.daemons, options.length);
    let injector = set_up(options)?;
    let (fleet, traffic) = (&injector.fleet, &injector.traffic);
    wait_until_ready(fleet).await?;
    let start = Instant::now();
    let history = History::new(start, Bounds::default(), &plan.calm);
    traffic.history.replace(history);
    for number in 0..options.callers {
        monoio::spawn(callers::run(number, options.seed, Rc::clone(traffic)));
    }
    let steps = injector.run_plan(&plan, start, interrupted).await;
    traffic.stop.set(true);
    monoio::time::sleep(COMPLETION_TIME).await;
    let history = History::new(start, Bounds::default(), &[]);
    let history = traffic.history.replace(history);
    fleet.stop().await;
    Ok(Summary {
        folder: fleet.folder(),
        interrupted: interrupted.load(Ordering::Relaxed),
        requests: history.counts(),
        steps,
        violations: history.finish(),
    })
}

/// Starts the fleet, and the tasks that record runs, restart daemons and poll their readiness.
fn set_up(options: &Options) -> Result<Rc<Injector>, LaunchError> {
    let Options {
        daemons,
        keep,
        network,
        seed,
        ..
    } = *options;
    let (run_sender, mut runs) = mpsc::unbounded();
    let fleet = Rc::new(Fleet::start(daemons, seed, network, keep, run_sender)?);
    let endpoint = |number| Endpoint {
        address: fleet.caller_address(number),
        origin: service(number).to_owned(),
    };
    let history = History::new(Instant::now(), Bounds::default(), &[]);
    let traffic = Rc::new(Traffic {
        burst: Cell::new(1),
        daemons: (0..daemons).map(endpoint).collect(),
        fleet: Rc::clone(&fleet),
        history: RefCell::new(history),
        stop: Cell::new(false),
        versions: RefCell::default(),
    });
    let recorder = Rc::clone(&traffic);
    monoio::spawn(async move {
        while let Some(run) = runs.next().await {
            recorder.history.borrow_mut().record_run(&run);
        }
    });
    for number in 0..daemons {
        let reported = Rc::clone(&traffic);
        let record_exit = move |number, status: String| {
            let now = Instant::now();
            reported
                .history
                .borrow_mut()
                .record_exit(number, &status, now);
        };
        monoio::spawn(Rc::clone(&fleet).supervise(number, record_exit));
        monoio::spawn(Rc::clone(&fleet).poll_ready(number));
    }
    let injector = Rc::new(Injector {
        evacuations: RefCell::default(),
        fleet,
        traffic,
    });
    injector.configure();
    Ok(injector)
}

async fn wait_until_ready(fleet: &Fleet) -> Result<(), LaunchError> {
    let limit = Instant::now() + READY_TIMEOUT;
    while !fleet.nodes.iter().all(|node| node.ready.get()) {
        if Instant::now() >= limit {
            fleet.stop().await;
            return Err(LaunchError::TimedOut("the fleet".to_owned()));
        }
        monoio::time::sleep(POLL).await;
    }
    Ok(())
}

impl Injector {
    /// Starts each step at its time and prints it, with the violations recorded meanwhile. Returns the
    /// number of steps started.
    async fn run_plan(self: &Rc<Self>, plan: &Plan, start: Instant, stop: &AtomicBool) -> usize {
        let (mut next, mut reported) = (0, 0);
        while start.elapsed() < plan.end && !stop.load(Ordering::Relaxed) {
            while let Some(timed) = plan.steps.get(next).filter(|s| s.at <= start.elapsed()) {
                println!("{:8.3} s {}", timed.at.as_secs_f64(), timed.step);
                monoio::spawn(Rc::clone(self).inject(*timed));
                next += 1;
            }
            for violation in &self.traffic.history.borrow().violations()[reported..] {
                println!("{violation}");
            }
            reported = self.traffic.history.borrow().violations().len();
            monoio::time::sleep(POLL).await;
        }
        next
    }

    async fn inject(self: Rc<Self>, timed: TimedStep) {
        let nodes = &self.fleet.nodes;
        match timed.step {
            Step::Burst(time) => {
                self.traffic.burst.set(BURST_FACTOR);
                monoio::time::sleep(time).await;
                self.traffic.burst.set(1);
            }
            Step::Configure => self.configure(),
            Step::CutPeer(index, direction, time) => {
                nodes[index].proxy.cut(Some(direction));
                monoio::time::sleep(time).await;
                nodes[index].proxy.cut(None);
            }
            Step::DrainWorker(index) => self.drain_worker(index).await,
            Step::Evacuate(zone, time) => self.evacuate(zone, time).await,
            Step::Pause(index, time) => {
                let from = Instant::now();
                self.fleet.signal(index, Signal::Stop);
                monoio::time::sleep(time).await;
                self.fleet.signal(index, Signal::Continue);
                let mut history = self.traffic.history.borrow_mut();
                history.record_pause(index, from, Instant::now());
            }
            Step::Kill(index) => self.fleet.kill(index),
            Step::KillWorker(index) => self.kill_worker(index).await,
            Step::SlowPeer(index, time) => {
                nodes[index].proxy.delay(LINK_DELAY);
                monoio::time::sleep(time).await;
                nodes[index].proxy.delay(Duration::ZERO);
            }
            Step::FaultyWorker(index, answer_fault, time) => {
                let faulty = WorkerBehaviour {
                    percent: FAULTY_PERCENT,
                    answer_fault,
                    ..WorkerBehaviour::default()
                };
                self.set_behaviour_for(index, faulty, time).await;
            }
            Step::ReportLate(index) => self.report_late(index),
            Step::ResetPeers(index) => nodes[index].proxy.reset(),
            Step::RetireWorker(index) => self.retire_worker(index).await,
            Step::StallPeers(index) => nodes[index].proxy.stall(),
            Step::CoolWorker(index, time) => self.cool_worker(index, time),
            Step::SlowWorker(index, time) => {
                let slow = WorkerBehaviour {
                    answer_fault: AnswerFault::None,
                    slowdown: SLOWDOWN_PERCENT,
                    ..WorkerBehaviour::default()
                };
                self.set_behaviour_for(index, slow, time).await;
            }
            Step::ReturnStore(age) => self.return_store(age).await,
            Step::Store(fault, time) => self.fail_store(None, fault, time).await,
            Step::StorePart(fault, time) => self.fail_store_for_some(fault, time),
            Step::Terminate(index) => self.terminate(index, timed.planned),
            Step::TerminateAgain(index) => self.terminate_again(index),
        }
    }

    /// Makes the store fail for every third daemon.
    fn fail_store_for_some(self: &Rc<Self>, fault: StoreFault, time: Duration) {
        for reader in (0..self.fleet.nodes.len()).step_by(3) {
            let one = Rc::clone(self);
            monoio::spawn(async move { one.fail_store(Some(reader), fault, time).await });
        }
    }

    fn terminate(&self, index: usize, planned: bool) {
        if planned {
            let now = Instant::now();
            self.traffic
                .history
                .borrow_mut()
                .record_planned_stop(index, now);
        }
        self.fleet.signal(index, Signal::Terminate);
    }

    /// Signals a daemon that stops already. One that has been restarted meanwhile isn't signalled: that would be a
    /// stop of its own.
    fn terminate_again(&self, index: usize) {
        if self.fleet.is_stopping(index) {
            self.fleet.signal(index, Signal::Terminate);
        }
    }

    /// Writes a new configuration to the store. It contains a route whose path states the version.
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
        let mut document = configuration(version, HOST, &routes);
        for cluster in document["clusters"].as_array_mut().into_iter().flatten() {
            cluster["coldPerS"] = Bounds::default().cold_rate.into();
            cluster["coldStartS"] = COLD_START_S.into();
        }
        self.fleet.store.put("op/config", &document);
        let mut history = self.traffic.history.borrow_mut();
        history.record_configuration(version, Instant::now());
    }

    /// Evacuates a zone for a time. Its key is deleted when the last of several evacuations ends.
    async fn evacuate(&self, zone: usize, time: Duration) {
        let instances = || (0..self.fleet.nodes.len()).filter(|n| fleet::zone(*n) == zone);
        let count = |change: fn(usize) -> usize| {
            let mut all = self.evacuations.borrow_mut();
            let count = all.entry(zone).or_default();
            *count = change(*count);
            *count
        };
        if count(|n| n + 1) == 1 {
            self.fleet.set_evacuated(zone, true);
            let mut history = self.traffic.history.borrow_mut();
            history.record_evacuation(instances(), Instant::now());
        }
        monoio::time::sleep(time).await;
        if count(|n| n - 1) == 0 {
            let mut history = self.traffic.history.borrow_mut();
            history.record_evacuation_end(instances(), Instant::now());
            self.fleet.set_evacuated(zone, false);
        }
    }

    /// Marks a worker as leaving and replaces it after it has drained.
    async fn drain_worker(&self, index: usize) {
        let name = self.fleet.worker_name(index);
        if let Some(worker) = &*self.fleet.nodes[index].worker.borrow() {
            worker.draining.set(true);
        }
        self.fleet.write_entry(index, true);
        self.traffic
            .history
            .borrow_mut()
            .record_leaving(&name, Instant::now());
        monoio::time::sleep(DRAIN_TIME).await;
        // A worker that shuts down in order completes its running requests first.
        while self.is_running(index, &name) {
            monoio::time::sleep(POLL).await;
        }
        self.replace_worker(index, &name, Duration::ZERO).await;
    }

    /// Writes the entry of a worker that leaves as it was before, unless the worker has been replaced.
    fn report_late(&self, index: usize) {
        let worker = self.fleet.nodes[index].worker.borrow();
        if worker.as_ref().is_some_and(|w| w.draining.get()) {
            self.fleet.write_entry(index, false);
        }
    }

    /// Removes the entry of a worker, which serves on, lets the store return from a copy that lists it, and replaces the
    /// worker once the entry has lapsed.
    async fn retire_worker(&self, index: usize) {
        let name = self.fleet.worker_name(index);
        let store = &self.fleet.store;
        store.keep_copy();
        self.fleet.delete_entry(&name);
        let now = Instant::now();
        self.traffic.history.borrow_mut().record_leaving(&name, now);
        monoio::time::sleep(REMOVAL_TIME).await;
        store.fail(None, Fault::Reset);
        monoio::time::sleep(RETURN_OUTAGE).await;
        store.return_to_copy();
        // What is written since the return isn't lost, so that the removal isn't repeated.
        self.fleet.write_entry(index, false);
        store.fail(None, Fault::None);
        monoio::time::sleep(REWRITE_TIME).await;
        store.rewrite_lost();
        monoio::time::sleep(ENTRY_LAPSE.saturating_sub(REWRITE_TIME)).await;
        while self.is_running(index, &name) {
            monoio::time::sleep(POLL).await;
        }
        self.replace_worker(index, &name, Duration::ZERO).await;
    }

    fn cool_worker(&self, index: usize, time: Duration) {
        if let Some(worker) = &*self.fleet.nodes[index].worker.borrow() {
            worker.cold_until.set(Some(Instant::now() + time));
        }
    }

    async fn kill_worker(&self, index: usize) {
        let name = self.fleet.worker_name(index);
        self.replace_worker(index, &name, ENTRY_EXPIRY).await;
    }

    /// Stops a worker, deletes its entry after `expiry`, and starts another worker at its address. Does
    /// nothing if the worker `name` has been replaced already.
    async fn replace_worker(&self, index: usize, name: &str, expiry: Duration) {
        if self.fleet.worker_name(index) != name {
            return;
        }
        drop(self.fleet.nodes[index].worker.borrow_mut().take());
        monoio::time::sleep(expiry).await;
        self.fleet.delete_entry(name);
        self.traffic
            .history
            .borrow_mut()
            .record_leaving(name, Instant::now());
        monoio::time::sleep(ADDRESS_REUSE).await;
        if self.fleet.worker_name(index) == name
            && let Err(e) = self.fleet.start_worker(index)
        {
            println!("worker {index} can't be started: {e}");
        }
    }

    fn is_running(&self, index: usize, name: &str) -> bool {
        let worker = self.fleet.nodes[index].worker.borrow();
        let running = worker.as_ref().map_or(0, |worker| worker.running.get());
        self.fleet.worker_name(index) == name && running > 0
    }

    async fn set_behaviour_for(&self, index: usize, behaviour: WorkerBehaviour, time: Duration) {
        let set = |behaviour: WorkerBehaviour| {
            if let Some(worker) = &*self.fleet.nodes[index].worker.borrow() {
                worker.behaviour.set(behaviour);
            }
        };
        set(behaviour);
        monoio::time::sleep(time).await;
        set(WorkerBehaviour::default());
    }

    /// Lets the store return from a copy of this age after a moment without answers.
    async fn return_store(&self, age: Duration) {
        let store = &self.fleet.store;
        store.keep_copy();
        monoio::time::sleep(age).await;
        store.fail(None, Fault::Reset);
        monoio::time::sleep(RETURN_OUTAGE).await;
        store.return_to_copy();
        store.fail(None, Fault::None);
        monoio::time::sleep(REWRITE_TIME).await;
        store.rewrite_lost();
    }

    async fn fail_store(&self, reader: Option<usize>, fault: StoreFault, time: Duration) {
        let store = &self.fleet.store;
        match fault {
            StoreFault::Busy => store.fail(reader, Fault::Busy),
            StoreFault::Compact => {
                store.fail(reader, Fault::NoEvents);
                monoio::time::sleep(WATCH_OUTAGE).await;
                store.compact();
                store.fail(reader, Fault::None);
                return;
            }
            StoreFault::Reset => store.fail(reader, Fault::Reset),
            StoreFault::Silent => store.fail(reader, Fault::Silent),
            StoreFault::Slow => store.fail(reader, Fault::Slow(STORE_DELAY)),
        }
        monoio::time::sleep(time).await;
        store.fail(reader, Fault::None);
    }
}
