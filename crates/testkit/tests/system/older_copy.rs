//! Daemons whose store returns from an older copy of its contents.

use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::thread;
use std::time::{Duration, Instant};

use futures::channel::mpsc;
use hawthornwall_testkit::launcher::Folder;
use hawthornwall_testkit::run;
use hawthornwall_testkit::store::{Entry, Fault, RouteDocument, configuration, serve};
use hawthornwall_testkit::worker::{WorkerOptions, serve as serve_worker};
use rstest::rstest;

use crate::daemon::{HOST, START_LIMIT, address, start_daemon, status};

/// Number of requests that a target runs at once.
const SLOTS: u32 = 4;
/// Time for which the store gives no answer before it returns.
const OUTAGE: Duration = Duration::from_millis(300);
/// Time from the store's return until what it has lost is written again.
const REWRITE: Duration = Duration::from_millis(1_500);
/// Time from the store's return in which a target that hasn't written its entry again goes out of use: the daemons
/// read the store within a second, and wait for 2 s.
const LEFT_LIMIT: Duration = Duration::from_secs(6);
/// Interval of requests while the store's contents are incomplete.
const INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the store's thread checks for the next step.
const POLL: Duration = Duration::from_millis(10);
/// Services of the targets beside the two daemons.
const SERVICES: [&str; 2] = ["kept", "lost"];

/// A step of the store, on the order of the test.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// The store stops for [`OUTAGE`] and returns from the copy with version 1 and without the second target.
    Return,
    /// Version 2 of the configuration is written again, and the second target's entry if that is set.
    Rewrite { target: bool },
    /// Version 3 of the configuration is written.
    Update,
}

/// A configuration in which `/moved/` leads to a service without targets in version 1 and to the first target
/// later, and which has a route `/late/` from version 3 on.
fn document(version: u64) -> serde_json::Value {
    let route = |prefix: &str, service: &str| RouteDocument {
        idempotent: true,
        prefix: prefix.to_owned(),
        services: vec![(service.to_owned(), 1)],
    };
    let moved = if version == 1 { "empty" } else { SERVICES[0] };
    let mut routes = vec![
        route("/moved/", moved),
        route("/kept/", SERVICES[0]),
        route("/lost/", SERVICES[1]),
    ];
    routes.extend((version >= 3).then(|| route("/late/", SERVICES[0])));
    configuration(version, HOST, &routes)
}

fn entry(case: u8, instance: u8) -> serde_json::Value {
    let entry = Entry {
        address: address(case, instance, 9000),
        born: 1,
        draining: false,
        sequence: 1,
        service: SERVICES[usize::from(instance)],
        slots: SLOTS,
        zone: "a",
    };
    entry.json()
}

/// Serves the store and both targets, and performs the steps that arrive.
async fn serve_others(case: u8, steps: Receiver<Step>, done: Sender<Instant>) {
    let store = serve(&[address(case, 0, 8500)]).expect("the address is free");
    store.put("servers/t0", &entry(case, 0));
    store.put("op/config", &document(1));
    store.keep_copy();
    store.put("servers/t1", &entry(case, 1));
    store.put("op/config", &document(2));
    let (run_sender, _runs) = mpsc::unbounded();
    for instance in [0, 1] {
        let options = WorkerOptions {
            address: address(case, instance, 9000),
            name: format!("t{instance}"),
            seed: 1,
            service: SERVICES[usize::from(instance)].to_owned(),
            slots: SLOTS,
        };
        let worker = serve_worker(options, run_sender.clone()).expect("the address is free");
        std::mem::forget(worker);
    }
    loop {
        let step = match steps.try_recv() {
            Ok(step) => step,
            // A sender on another thread doesn't wake this one.
            Err(TryRecvError::Empty) => {
                monoio::time::sleep(POLL).await;
                continue;
            }
            Err(TryRecvError::Disconnected) => return,
        };
        match step {
            Step::Return => {
                store.fail(None, Fault::Reset);
                monoio::time::sleep(OUTAGE).await;
                store.return_to_copy();
                store.fail(None, Fault::None);
            }
            Step::Rewrite { target } => {
                store.put("op/config", &document(2));
                if target {
                    store.put("servers/t1", &entry(case, 1));
                }
            }
            Step::Update => store.put("op/config", &document(3)),
        }
        let _ = done.send(Instant::now());
    }
}

fn perform(steps: &Sender<Step>, done: &Receiver<Instant>, step: Step) -> Instant {
    steps.send(step).expect("the store runs");
    done.recv().expect("the store runs")
}

/// Guards against routes that go back to an older version after the store's return, against a target that goes out of
/// use because the copy lacks it, against one that stays in use although it doesn't return, and against daemons that
/// don't follow the store any more.
#[rstest]
#[case::target_returns(60, true)]
#[case::target_has_left(61, false)]
fn older_copy(#[case] case: u8, #[case] returns: bool) {
    let folder = Folder::create(false).expect("the folder is created");
    let (steps, receiver) = channel();
    let (done, ends) = channel();
    thread::spawn(move || run(serve_others(case, receiver, done)));
    let mut first = start_daemon(&folder, case, 0, SERVICES[0]);
    let mut second = start_daemon(&folder, case, 1, SERVICES[1]);
    let served = |path| status(case, path, 0) == Some(200);
    let ready = first.wait_ready(START_LIMIT, || served("moved") && served("lost"));
    ready.expect("version 2 is in force and both targets are in use");
    let ready = second.wait_ready(START_LIMIT, || true);
    ready.expect("the second daemon is ready");
    let returned = perform(&steps, &ends, Step::Return);
    for number in 1.. {
        if returned.elapsed() >= REWRITE {
            break;
        }
        for path in ["moved", "lost"] {
            let answer = status(case, path, number);
            assert_eq!(answer, Some(200), "{path} after {:?}", returned.elapsed());
        }
        thread::sleep(INTERVAL);
    }
    perform(&steps, &ends, Step::Rewrite { target: returns });
    let mut number = 10_000;
    let mut lost_at = None;
    while returned.elapsed() < LEFT_LIMIT && lost_at.is_none() {
        number += 1;
        assert_eq!(status(case, "moved", number), Some(200));
        let in_use = status(case, "lost", number) == Some(200);
        lost_at = (!in_use).then(|| returned.elapsed());
        thread::sleep(INTERVAL);
    }
    assert_eq!(lost_at.is_none(), returns, "{lost_at:?}");
    perform(&steps, &ends, Step::Update);
    let follows = first.wait_ready(START_LIMIT, || served("late"));
    follows.expect("version 3 is in force");
}
