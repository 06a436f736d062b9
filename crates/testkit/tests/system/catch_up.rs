//! A daemon that has missed changes of the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::thread;
use std::time::{Duration, Instant};

use futures::channel::mpsc;
use hawthornwall_testkit::launcher::Folder;
use hawthornwall_testkit::run;
use hawthornwall_testkit::store::{Entry, Fault, RouteDocument, configuration, serve};
use hawthornwall_testkit::worker::{WorkerOptions, serve as serve_worker};
use rstest::rstest;

use crate::daemon::{HOST, START_LIMIT, address, start_daemon, status};
use crate::link::Link;

/// Time for which the store gives the daemon no answer.
const CUT: Duration = Duration::from_secs(4);
/// Time after a cut in which a daemon must follow the newest version: it counts as in touch after 3 s, and has
/// 2 s from then on.
const FOLLOW_LIMIT: Duration = Duration::from_secs(5);
/// Number of bytes that the daemon reads after a cut before its link to the store stalls.
const READ_BEFORE_STALL: u64 = 200_000;
/// Port of the store, behind the link at the port that the daemon's settings name.
const STORE_PORT: u16 = 8501;
/// Rate of a link that delays nothing, in bytes a second.
const FAST: u64 = 1 << 30;
/// 20 Mbit/s, the rate of a slow link, in bytes a second.
const SLOW: u64 = 20_000_000 / 8;
/// Interval at which the store's thread checks whether to begin the cut.
const POLL: Duration = Duration::from_millis(10);
/// Size of one route in a configuration, in bytes.
const ROUTE_SIZE: usize = 165;
/// Number of requests that the target runs at once.
const SLOTS: u32 = 4;
/// Names of the service that the route leads to before and after the cut.
const SERVICES: [&str; 2] = ["before", "after"];

/// A configuration of about `size` bytes, in which a route leads to `service`.
fn document(version: u64, service: &str, size: usize) -> serde_json::Value {
    let route = |prefix: String, service: &str| RouteDocument {
        idempotent: true,
        prefix,
        services: vec![(service.to_owned(), 1)],
    };
    let mut routes = vec![
        route("/moved/".to_owned(), service),
        route("/served/".to_owned(), SERVICES[1]),
    ];
    let others = (0..size / ROUTE_SIZE).map(|n| route(format!("/kept/{n:08}/"), SERVICES[0]));
    routes.extend(others);
    configuration(version, HOST, &routes)
}

/// What happens when the cut ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum After {
    /// The link of the daemon stalls while it reads what it has missed.
    CutAgain,
    /// The store has dropped its history.
    HistoryGone,
    Nothing,
}

/// What the store's thread and the test tell each other.
struct Cut {
    after: After,
    /// The store's thread sends the time at which the cut ends.
    ended: Sender<Instant>,
    link: Arc<Link>,
    /// The test sets this to begin the cut.
    started: Arc<AtomicBool>,
}

/// Serves the store and the target of the second service; cuts the daemon off when told, and writes `changes`
/// meanwhile.
async fn serve_others(case: u8, changes: u64, size: usize, cut: Cut) {
    let store = serve(&[address(case, 0, STORE_PORT)]).expect("the address is free");
    let entry = Entry {
        address: address(case, 0, 9000),
        born: 1,
        draining: false,
        sequence: 1,
        service: SERVICES[1],
        slots: SLOTS,
        zone: "a",
    };
    store.put("servers/t", &entry.json());
    store.put("op/config", &document(1, SERVICES[0], size));
    let (run_sender, _runs) = mpsc::unbounded();
    let options = WorkerOptions {
        address: address(case, 0, 9000),
        name: "t".to_owned(),
        seed: 1,
        service: SERVICES[1].to_owned(),
        slots: SLOTS,
    };
    let _worker = serve_worker(options, run_sender).expect("the address is free");
    while !cut.started.load(Ordering::Relaxed) {
        monoio::time::sleep(POLL).await;
    }
    store.fail(None, Fault::Silent);
    // A watch that waits already is answered with the first change, so that only the last one moves the route.
    for version in 2..=changes {
        store.put("op/config", &document(version, SERVICES[0], size));
    }
    store.put("op/config", &document(1 + changes, SERVICES[1], size));
    monoio::time::sleep(CUT).await;
    match cut.after {
        After::CutAgain => {
            cut.link.stall_after(READ_BEFORE_STALL);
            store.fail(None, Fault::None);
        }
        After::HistoryGone => {
            store.compact();
            store.fail(None, Fault::None);
        }
        After::Nothing => store.fail(None, Fault::None),
    }
    let _ = cut.ended.send(Instant::now());
    std::future::pending::<()>().await;
}

/// Guards against a daemon that keeps sending requests by an old version because it missed more than one response
/// may hold, or than it can read in time, or because what it asked for is gone or broke off.
#[rstest]
#[case::two_small(20, 2, 1_000, FAST, After::Nothing)]
#[case::two_large(21, 2, 1_000_000, FAST, After::Nothing)]
#[case::many_small(22, 100, 1_000, FAST, After::Nothing)]
#[case::many_medium(23, 100, 100_000, FAST, After::Nothing)]
#[case::some_large(24, 30, 350_000, FAST, After::Nothing)]
#[case::history_gone(25, 30, 350_000, FAST, After::HistoryGone)]
#[case::cut_again(26, 30, 350_000, FAST, After::CutAgain)]
#[case::slow_link_medium(27, 100, 100_000, SLOW, After::Nothing)]
#[case::slow_link_large(28, 30, 350_000, SLOW, After::Nothing)]
#[case::slow_link_largest(29, 2, 1_000_000, SLOW, After::Nothing)]
fn missed_changes(
    #[case] case: u8,
    #[case] changes: u64,
    #[case] size: usize,
    #[case] rate: u64,
    #[case] after: After,
) {
    let folder = Folder::create(false).expect("the folder is created");
    let (ended, cut_ended) = std::sync::mpsc::channel();
    let started = Arc::new(AtomicBool::new(false));
    let link = Link::open(address(case, 0, 8500), address(case, 0, STORE_PORT), rate);
    let cut = Cut {
        after,
        ended,
        link,
        started: Arc::clone(&started),
    };
    thread::spawn(move || run(serve_others(case, changes, size, cut)));
    let mut daemon = start_daemon(&folder, case, 0, SERVICES[1]);
    let first = daemon.wait_ready(START_LIMIT, || status(case, "served", 0) == Some(200));
    first.expect("the first version is in force");
    started.store(true, Ordering::Relaxed);
    let ended = cut_ended.recv().expect("the store runs");
    let follows = daemon.wait_ready(START_LIMIT, || status(case, "moved", 1) == Some(200));
    follows.expect("the newest version is in force");
    assert!(ended.elapsed() < FOLLOW_LIMIT, "{:?}", ended.elapsed());
}
