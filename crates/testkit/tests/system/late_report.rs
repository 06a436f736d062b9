//! A status report of a target that the store does late.

use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::thread;
use std::time::{Duration, Instant};

use futures::channel::mpsc;
use hawthornwall_testkit::launcher::Folder;
use hawthornwall_testkit::run;
use hawthornwall_testkit::store::{Entry, RouteDocument, configuration, serve};
use hawthornwall_testkit::worker::{WorkerOptions, serve as serve_worker};

use crate::daemon::{HOST, START_LIMIT, address, start_daemon, status};

/// Addresses of the test are those of this case.
const CASE: u8 = 62;
/// Number of requests that the target runs at once.
const SLOTS: u32 = 4;
/// Time within which a report is in force.
const FOLLOW_LIMIT: Duration = Duration::from_secs(3);
/// Time for which the target isn't used after the late report; a report is in force within much less.
const UNUSED_TIME: Duration = Duration::from_secs(2);
/// Interval of requests, and at which the store's thread checks for the next report.
const INTERVAL: Duration = Duration::from_millis(20);

/// A status report of the target.
#[derive(Clone, Copy, Debug)]
struct Report {
    draining: bool,
    sequence: u64,
}

/// Serves the store and the target, and writes the reports that arrive.
async fn serve_others(reports: Receiver<Report>) {
    let store = serve(&[address(CASE, 0, 8500)]).expect("the address is free");
    let route = RouteDocument {
        idempotent: true,
        prefix: "/leaving/".to_owned(),
        services: vec![("leaving".to_owned(), 1)],
    };
    store.put("op/config", &configuration(1, HOST, &[route]));
    let (run_sender, _runs) = mpsc::unbounded();
    let options = WorkerOptions {
        address: address(CASE, 1, 9000),
        name: "t".to_owned(),
        seed: 1,
        service: "leaving".to_owned(),
        slots: SLOTS,
    };
    let _worker = serve_worker(options, run_sender).expect("the address is free");
    loop {
        match reports.try_recv() {
            Ok(Report { draining, sequence }) => {
                let entry = Entry {
                    address: address(CASE, 1, 9000),
                    born: 1,
                    draining,
                    sequence,
                    service: "leaving",
                    slots: SLOTS,
                    zone: "a",
                };
                store.put("servers/t", &entry.json());
            }
            // A sender on another thread doesn't wake this one.
            Err(TryRecvError::Empty) => monoio::time::sleep(INTERVAL).await,
            Err(TryRecvError::Disconnected) => return,
        }
    }
}

fn report(reports: &Sender<Report>, draining: bool, sequence: u64) {
    let report = Report { draining, sequence };
    reports.send(report).expect("the store runs");
}

/// Guards against requests to a draining target that is put back in use by a report from before the drain, which the
/// store does after the report of the drain: they are cut when the target ends.
#[test]
fn report_from_before_a_drain() {
    let folder = Folder::create(false).expect("the folder is created");
    let (reports, receiver) = channel();
    thread::spawn(move || run(serve_others(receiver)));
    report(&reports, false, 3);
    let mut daemon = start_daemon(&folder, CASE, 0, "none");
    let _beside = start_daemon(&folder, CASE, 1, "leaving");
    let mut number = 0;
    let mut is_used = || {
        number += 1;
        thread::sleep(INTERVAL);
        status(CASE, "leaving", number) == Some(200)
    };
    let ready = daemon.wait_ready(START_LIMIT, || status(CASE, "leaving", 0) == Some(200));
    ready.expect("the target is used");
    report(&reports, true, 7);
    let drained = Instant::now();
    while is_used() {
        assert!(drained.elapsed() < FOLLOW_LIMIT, "the drain isn't in force");
    }
    report(&reports, false, 4);
    let late = Instant::now();
    while late.elapsed() < UNUSED_TIME {
        assert!(
            !is_used(),
            "used {:?} after the late report",
            late.elapsed()
        );
    }
}
