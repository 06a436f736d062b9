//! A daemon on a small machine whose callers, peer or target misbehave.
//!
//! Each test checks that the process stays alive, that its memory and its open descriptors stay under the figures
//! of the machine in its settings, and that an ordinary request is answered while the misbehaving connections are
//! still open. No time and no share of served requests is checked.
//!
//! The tests are a program of their own, since they must run apart from the load of others.

mod callers;
mod connections;
#[allow(dead_code, reason = "the other tests of whole daemons use all of it")]
#[path = "../system/daemon.rs"]
mod daemon;
mod largest;
mod peer;
mod requests;
mod target;
mod usage;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use futures::channel::mpsc;
use hawthornwall_testkit::launcher::{Child, Folder};
use hawthornwall_testkit::run;
use hawthornwall_testkit::store::{Entry, RouteDocument, configuration, serve as serve_store};
use hawthornwall_testkit::worker::{WorkerOptions, serve as serve_worker};

use crate::daemon::{HOST, START_LIMIT, address, start_daemon_with, status};
use usage::Watch;

/// Memory of the machine. A daemon without callers takes about 12 MiB of it.
const MEMORY_MIB: u64 = 48;
/// Descriptors of the machine.
const FILES: usize = 160;
/// Number of misbehaving callers, peers or requests. Each holds about 1 MB at most, so that together they exceed
/// the memory of the machine.
const CALLERS: usize = 64;
/// Number of misbehaving connections in the tests of descriptors, more than the machine has.
const CONNECTIONS: usize = 200;
/// Time for which misbehaving connections are kept open before an ordinary request is sent.
const HOLD: Duration = Duration::from_secs(2);
/// Time allowed until an ordinary request is answered.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);
/// Requests that the target runs at once.
const SLOTS: u32 = 128;

/// Held by the test that runs, so that no two of them load the machine at the same time.
static ALONE: Mutex<()> = Mutex::new(());

/// The target beside the daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Target {
    /// A server of the test's own.
    Own,
    /// A target that follows the conventions.
    Sound,
}

/// The machine and what the operators' configuration allows on it.
#[derive(Clone, Copy, Debug)]
struct Machine {
    /// Longest body of a request, in bytes.
    body: usize,
    memory_mib: u64,
}

/// The machine of all tests but that of the largest body.
const SMALL: Machine = Machine {
    body: 1 << 20,
    memory_mib: MEMORY_MIB,
};

/// A daemon on a small machine, with a store and a target.
struct Site {
    case: u8,
    daemon: Child,
    machine: Machine,
    _alone: MutexGuard<'static, ()>,
    _folder: Folder,
}

impl Site {
    /// Starts the daemon and waits until it serves. A server of the test's own listens already.
    fn start(case: u8, target: Target) -> Self {
        Self::start_on(case, target, SMALL)
    }

    fn start_on(case: u8, target: Target, machine: Machine) -> Self {
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let folder = Folder::create(false).expect("the folder is created");
        thread::spawn(move || run(serve_others(case, target, machine.body)));
        let memory_mib = machine.memory_mib;
        let section = format!(r#""machine": {{ "memory_mib": {memory_mib}, "files": {FILES} }}, "#);
        let mut daemon = start_daemon_with(&folder, case, 0, "sound", &section);
        let started = daemon.wait_ready(START_LIMIT, || status(case, "sound", 0) == Some(200));
        started.expect("the daemon serves");
        Self {
            case,
            daemon,
            machine,
            _alone: alone,
            _folder: folder,
        }
    }

    /// Lets `misbehave` open its connections and send on them, and checks the daemon until an ordinary request has
    /// been answered. What `misbehave` returns is kept until then.
    fn check<T>(mut self, misbehave: impl FnOnce(u8) -> T) {
        let case = self.case;
        let watch = Watch::start(self.daemon.pid());
        let connections = misbehave(case);
        thread::sleep(HOLD);
        let ordinary = || status(case, "sound", 1) == Some(200);
        let answered = self.daemon.wait_ready(ANSWER_LIMIT, ordinary);
        drop(connections);
        let peak = watch.end();
        let alive = self.daemon.wait(Duration::ZERO).is_ok_and(|e| e.is_none());
        println!("case {case}: {peak}, answered {}", answered.is_ok());
        assert!(peak.memory_kib > 0 && peak.files > 0, "nothing was sampled");
        assert!(alive, "the daemon has ended; {peak}");
        assert!(peak.memory_kib <= self.machine.memory_mib << 10, "{peak}");
        assert!(peak.files <= FILES, "{peak}");
        assert!(answered.is_ok(), "no ordinary request is answered; {peak}");
    }
}

/// Serves the store, and the target if it is a sound one, until the test ends.
async fn serve_others(case: u8, target: Target, body: usize) {
    let store = serve_store(&[address(case, 0, 8500)]).expect("the address is free");
    let mut document = configuration(1, HOST, &[route("sound"), route("own")]);
    document["limits"]["maxBodyBytes"] = body.into();
    store.put("op/config", &document);
    let entry = Entry {
        address: address(case, 0, 9000),
        born: 1,
        draining: false,
        sequence: 1,
        service: "sound",
        slots: SLOTS,
        zone: "a",
    };
    store.put("servers/sound", &entry.json());
    let (run_sender, _runs) = mpsc::unbounded();
    let options = WorkerOptions {
        address: address(case, 0, 9000),
        name: "sound".to_owned(),
        seed: 1,
        service: "sound".to_owned(),
        slots: SLOTS,
    };
    let _worker = match target {
        Target::Own => None,
        Target::Sound => Some(serve_worker(options, run_sender).expect("the address is free")),
    };
    std::future::pending::<()>().await;
}

/// A route of the target, whose path starts with `name`.
fn route(name: &str) -> RouteDocument {
    RouteDocument {
        idempotent: true,
        prefix: format!("/{name}/"),
        services: vec![("sound".to_owned(), 1)],
    }
}
