//! Targets that leave, and entries from before that which the store lists again.

use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::thread;
use std::time::{Duration, Instant};

use futures::channel::mpsc;
use hawthornwall_testkit::launcher::{Child, Folder};
use hawthornwall_testkit::run;
use hawthornwall_testkit::store::{Entry, RouteDocument, configuration, serve};
use hawthornwall_testkit::worker::{WorkerOptions, serve as serve_worker};
use rstest::rstest;

use crate::daemon::{HOST, START_LIMIT, address, start_daemon, status};

/// Number of the target's first status report.
const FIRST: u64 = 3;
/// Number of requests that the target runs at once.
const SLOTS: u32 = 4;
/// Time within which a report is in force.
const FOLLOW_LIMIT: Duration = Duration::from_secs(3);
/// Time for which the target isn't used after the late report; a report is in force within much less.
const UNUSED_TIME: Duration = Duration::from_secs(2);
/// Time after which an entry that nobody writes lapses: three missed heartbeats.
const LAPSE: Duration = Duration::from_millis(4_500);
/// Time after [`LAPSE`] within which a target that runs, and whose entry is still there, is used again.
const RELEASE_LIMIT: Duration = Duration::from_millis(3_500);
/// Interval of requests, and at which the store's thread checks for the next step.
const INTERVAL: Duration = Duration::from_millis(20);

/// A step of the store, on the order of the test.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The store does a status report of the target.
    Report { draining: bool, sequence: u64 },
    /// The target's entry is removed.
    Remove,
    /// The store returns from the copy of its contents after the first report.
    Return,
}

/// Serves the store and the target, and performs the steps that arrive.
async fn serve_others(case: u8, steps: Receiver<Step>) {
    let store = serve(&[address(case, 0, 8500)]).expect("the address is free");
    let route = RouteDocument {
        idempotent: true,
        prefix: "/leaving/".to_owned(),
        services: vec![("leaving".to_owned(), 1)],
    };
    store.put("op/config", &configuration(1, HOST, &[route]));
    let (run_sender, _runs) = mpsc::unbounded();
    let options = WorkerOptions {
        address: address(case, 1, 9000),
        name: "t".to_owned(),
        seed: 1,
        service: "leaving".to_owned(),
        slots: SLOTS,
    };
    let _worker = serve_worker(options, run_sender).expect("the address is free");
    loop {
        match steps.try_recv() {
            Ok(Step::Report { draining, sequence }) => {
                let entry = Entry {
                    address: address(case, 1, 9000),
                    born: 1,
                    draining,
                    sequence,
                    service: "leaving",
                    slots: SLOTS,
                    zone: "a",
                };
                store.put("servers/t", &entry.json());
                if sequence == FIRST {
                    store.keep_copy();
                }
            }
            Ok(Step::Remove) => store.delete("servers/t"),
            Ok(Step::Return) => store.return_to_copy(),
            // A sender on another thread doesn't wake this one.
            Err(TryRecvError::Empty) => monoio::time::sleep(INTERVAL).await,
            Err(TryRecvError::Disconnected) => return,
        }
    }
}

/// A daemon, and a target of another one that it uses.
struct Deployment {
    case: u8,
    _daemons: [Child; 2],
    /// Number of requests sent.
    number: u32,
    steps: Sender<Step>,
}

impl Deployment {
    /// Starts all, and returns once the target is used after its first report.
    fn start(folder: &Folder, case: u8) -> Self {
        let (steps, receiver) = channel();
        thread::spawn(move || run(serve_others(case, receiver)));
        let mut daemon = start_daemon(folder, case, 0, "none");
        let beside = start_daemon(folder, case, 1, "leaving");
        let first = Step::Report {
            draining: false,
            sequence: FIRST,
        };
        steps.send(first).expect("the store runs");
        let ready = daemon.wait_ready(START_LIMIT, || status(case, "leaving", 0) == Some(200));
        ready.expect("the target is used");
        Self {
            case,
            _daemons: [daemon, beside],
            number: 0,
            steps,
        }
    }

    fn perform(&self, step: Step) {
        self.steps.send(step).expect("the store runs");
    }

    fn report(&self, draining: bool, sequence: u64) {
        self.perform(Step::Report { draining, sequence });
    }

    /// Sends a request, and returns whether the target answered it.
    fn is_used(&mut self) -> bool {
        self.number += 1;
        thread::sleep(INTERVAL);
        status(self.case, "leaving", self.number) == Some(200)
    }

    fn wait_used(&mut self, used: bool, limit: Duration) {
        let start = Instant::now();
        while self.is_used() != used {
            assert!(
                start.elapsed() < limit,
                "used is not {used} after {limit:?}"
            );
        }
    }

    fn expect_unused(&mut self, time: Duration) {
        let start = Instant::now();
        while start.elapsed() < time {
            assert!(!self.is_used(), "used after {:?}", start.elapsed());
        }
    }

    /// Expects that the target isn't used before its entry would lapse, and is used afterwards if it `runs`. The entry
    /// of one that has left lapses.
    fn expect_use_after_lapse(&mut self, runs: bool) {
        self.expect_unused(LAPSE);
        if runs {
            self.wait_used(true, RELEASE_LIMIT);
        } else {
            self.perform(Step::Remove);
            self.expect_unused(UNUSED_TIME);
        }
    }
}

/// Guards against requests to a draining target that is put back in use by a report from before the drain, which the
/// store does after the report of the drain: they are cut when the target ends. A report after both is followed.
#[test]
fn report_from_before_a_drain() {
    let folder = Folder::create(false).expect("the folder is created");
    let mut deployment = Deployment::start(&folder, 62);
    deployment.report(true, 7);
    deployment.wait_used(false, FOLLOW_LIMIT);
    deployment.report(false, 4);
    deployment.expect_unused(UNUSED_TIME);
    deployment.report(false, 9);
    deployment.wait_used(true, FOLLOW_LIMIT);
}

/// Guards against requests to a target that has left and is put back in use because the store's older copy lists it,
/// although nobody writes its entry any more: they are cut when the target ends. Guards also against one that is left
/// out for good although it writes its entry, without a change.
#[rstest]
#[case::has_left(63, false)]
#[case::runs(64, true)]
fn older_copy_lists_a_departed_target(#[case] case: u8, #[case] runs: bool) {
    let folder = Folder::create(false).expect("the folder is created");
    let mut deployment = Deployment::start(&folder, case);
    deployment.perform(Step::Remove);
    deployment.wait_used(false, FOLLOW_LIMIT);
    deployment.perform(Step::Return);
    deployment.expect_use_after_lapse(runs);
}

/// Guards against requests to a target that has left and is put back in use by a report from before that, which the
/// store does after the removal of the entry. Guards also against one that is left out for good although it runs and
/// reports the same without a change of the entry, and against one whose later report isn't followed.
#[rstest]
#[case::has_left(65, false)]
#[case::runs(66, true)]
fn report_from_before_a_removal(#[case] case: u8, #[case] runs: bool) {
    let folder = Folder::create(false).expect("the folder is created");
    let mut deployment = Deployment::start(&folder, case);
    deployment.perform(Step::Remove);
    deployment.wait_used(false, FOLLOW_LIMIT);
    deployment.report(false, FIRST);
    deployment.expect_use_after_lapse(runs);
    deployment.perform(Step::Remove);
    deployment.wait_used(false, FOLLOW_LIMIT);
    deployment.report(false, FIRST + 1);
    deployment.wait_used(true, FOLLOW_LIMIT);
}
