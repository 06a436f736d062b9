//! Runs the daemons as child processes, with simulated workers and a simulated store.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::mpsc;
use hawthornwall_platform::Machine;
use hawthornwall_testkit::http1::Connection;
use hawthornwall_testkit::launcher::{Child, Folder, LaunchError, Signal};
use hawthornwall_testkit::store::{Entry, StoreHandle};
use hawthornwall_testkit::worker::{Worker, WorkerOptions, WorkerRun};
use hawthornwall_testkit::{store, worker};
use http::Request;

use crate::proxy::Proxy;

/// Time between a termination signal and the forced end of a daemon, in seconds.
const GRACE_SECONDS: u32 = 6;
/// Limits of a machine as small as the users': descriptors, link in Mbit/s and memory in MiB.
const FILES: u32 = 4_100;
const LINK_MBPS: u32 = 1_000;
const MEMORY_MIB: u32 = 260;
/// Port of the daemons' caller listener.
const CALLER_PORT: u16 = 8_000;
/// Port of the daemons' admin listener.
const ADMIN_PORT: u16 = 8_001;
/// Port of the daemons' peer listener, and of the proxies in front of it.
const PEER_PORT: u16 = 8_002;
/// Port of the daemons' readiness listener.
const READY_PORT: u16 = 8_003;
/// Port of the workers.
const WORKER_PORT: u16 = 8_004;
/// Port of the store.
const STORE_PORT: u16 = 8_005;
/// Number of requests that a worker may run at once.
const SLOTS: u32 = 4;
/// Time between the exit of a daemon and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time after a termination signal after which a daemon that still runs is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval at which the exit of a daemon is polled.
const POLL: Duration = Duration::from_millis(50);
/// Interval at which the readiness of a daemon is polled, and timeout of each poll.
const READY_POLL: Duration = Duration::from_millis(250);
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];
pub(crate) const SERVICES: [&str; 2] = ["views", "orders"];

/// One instance: a daemon with its worker and its proxy.
pub(crate) struct Node {
    child: RefCell<Option<Child>>,
    /// When the daemon was signalled to stop; `None` if its exit isn't expected.
    stop_requested: Cell<Option<Instant>>,
    pub proxy: Proxy,
    pub ready: Cell<bool>,
    /// Number of times the daemon was started.
    pub starts: Cell<u32>,
    pub worker: RefCell<Option<Worker>>,
    worker_starts: Cell<u32>,
}

/// All instances, and the store that they share.
pub(crate) struct Fleet {
    folder: Folder,
    network: u8,
    pub nodes: Vec<Node>,
    seed: u64,
    pub store: StoreHandle,
    run_sender: mpsc::UnboundedSender<WorkerRun>,
}

/// Returns the service of the worker of an instance.
pub(crate) fn service(number: usize) -> &'static str {
    SERVICES[number % SERVICES.len()]
}

/// Returns the index of the zone of an instance.
pub(crate) fn zone(number: usize) -> usize {
    number % ZONES.len()
}

impl Fleet {
    /// Starts the store, the proxies, the workers and the daemons on the current runtime. Each run of a
    /// worker is sent to `run_sender`.
    pub fn start(
        daemons: usize,
        seed: u64,
        network: u8,
        keep: bool,
        run_sender: mpsc::UnboundedSender<WorkerRun>,
    ) -> Result<Self, LaunchError> {
        let io = LaunchError::io;
        let folder = Folder::create(keep).map_err(io("folder"))?;
        let address = |part, number, port| address(network, part, number, port);
        let readers: Vec<_> = (0..daemons).map(|n| address(3, n, STORE_PORT)).collect();
        let store = store::serve(&readers).map_err(io("store"))?;
        // Entries of another writer that describe no worker must be ignored.
        store.put_bytes("servers/garbage", b"%%".to_vec());
        store.put_bytes("servers/", b"{}".to_vec());
        let node = |n: usize| {
            let proxy = Proxy::start(address(2, n, PEER_PORT), address(1, n, PEER_PORT));
            Ok(Node {
                child: RefCell::new(None),
                stop_requested: Cell::new(None),
                proxy: proxy.map_err(LaunchError::io("proxy"))?,
                ready: Cell::new(false),
                starts: Cell::new(0),
                worker: RefCell::new(None),
                worker_starts: Cell::new(0),
            })
        };
        let fleet = Self {
            folder,
            network,
            nodes: (0..daemons).map(node).collect::<Result<_, LaunchError>>()?,
            seed,
            store,
            run_sender,
        };
        for number in 0..daemons {
            fleet
                .start_worker(number)
                .map_err(LaunchError::io("worker"))?;
            fleet.start_daemon(number)?;
        }
        Ok(fleet)
    }

    /// Returns the path of the folder with settings and logs.
    pub fn folder(&self) -> String {
        self.folder.path().display().to_string()
    }

    /// Returns the address of a daemon's caller listener.
    pub fn caller_address(&self, number: usize) -> SocketAddr {
        address(self.network, 1, number, CALLER_PORT)
    }

    /// Starts a new worker of an instance and writes its entry to the store.
    pub fn start_worker(&self, number: usize) -> std::io::Result<()> {
        let node = &self.nodes[number];
        node.worker_starts.set(node.worker_starts.get() + 1);
        let options = WorkerOptions {
            address: self.worker_address(number),
            name: self.worker_name(number),
            seed: self.seed + number as u64,
            service: service(number).to_owned(),
            slots: SLOTS,
        };
        *node.worker.borrow_mut() = Some(worker::serve(options, self.run_sender.clone())?);
        self.write_entry(number, false);
        Ok(())
    }

    /// Returns the name of the worker of an instance that was started last.
    pub fn worker_name(&self, number: usize) -> String {
        format!("w{number}-{}", self.nodes[number].worker_starts.get())
    }

    /// Writes the entry of the current worker to the store. `draining` marks it as leaving, in a later status report.
    pub fn write_entry(&self, number: usize, draining: bool) {
        let entry = Entry {
            address: self.worker_address(number),
            born: 1_000_000 + u64::from(self.nodes[number].worker_starts.get()),
            draining,
            sequence: 1 + u64::from(draining),
            service: service(number),
            slots: SLOTS,
            zone: ZONES[zone(number)],
        };
        let key = format!("servers/{}", self.worker_name(number));
        self.store.put(&key, &entry.json());
    }

    /// Deletes the entry of a worker from the store.
    pub fn delete_entry(&self, name: &str) {
        self.store.delete(&format!("servers/{name}"));
    }

    /// Writes the key that evacuates a zone, or deletes it.
    pub fn set_evacuated(&self, zone: usize, evacuated: bool) {
        let key = format!("op/evacuate/{}", ZONES[zone]);
        if evacuated {
            self.store.put_bytes(&key, b"{}".to_vec());
        } else {
            self.store.delete(&key);
        }
    }

    /// Sends a signal to a daemon. Does nothing if the daemon isn't running.
    pub fn signal(&self, number: usize, signal: Signal) {
        let node = &self.nodes[number];
        if signal == Signal::Terminate && !self.is_stopping(number) {
            node.stop_requested.set(Some(Instant::now()));
        }
        if let Some(child) = &*node.child.borrow() {
            // Signalling fails if the daemon has exited meanwhile, which isn't an error.
            let _ = child.signal(signal);
        }
    }

    /// Whether a daemon was told to stop and hasn't been seen to exit.
    pub fn is_stopping(&self, number: usize) -> bool {
        self.nodes[number].stop_requested.get().is_some()
    }

    /// Kills a daemon; [`Fleet::supervise`] restarts it.
    pub fn kill(&self, number: usize) {
        let node = &self.nodes[number];
        node.stop_requested.set(Some(Instant::now()));
        if let Some(child) = &mut *node.child.borrow_mut() {
            let _ = child.kill();
        }
    }

    /// Restarts a daemon whenever it has exited. `on_exit` receives the status of each unexpected exit
    /// and the error of a failed restart.
    pub async fn supervise(self: Rc<Self>, number: usize, on_exit: impl Fn(usize, String)) {
        let node = &self.nodes[number];
        loop {
            monoio::time::sleep(POLL).await;
            let ended = node
                .child
                .borrow_mut()
                .as_mut()
                .map(|c| c.wait(Duration::ZERO));
            let status = match ended {
                Some(Ok(Some(status))) => status.to_string(),
                Some(Err(e)) => e.to_string(),
                Some(Ok(None)) => {
                    let overdue = node
                        .stop_requested
                        .get()
                        .is_some_and(|at| at.elapsed() >= STOP_TIMEOUT);
                    if overdue {
                        self.kill(number);
                    }
                    continue;
                }
                None => return,
            };
            node.ready.set(false);
            if node.stop_requested.take().is_none() {
                on_exit(number, status);
            }
            monoio::time::sleep(RESTART_DELAY).await;
            if let Err(e) = self.start_daemon(number) {
                on_exit(number, e.to_string());
                return;
            }
        }
    }

    /// Polls the readiness of a daemon.
    pub async fn poll_ready(self: Rc<Self>, number: usize) {
        let address = address(self.network, 1, number, READY_PORT);
        loop {
            let query = async {
                let request = Request::get("/ready").header("host", "ready");
                let request = request.body(bytes::Bytes::new()).ok()?;
                let mut connection = Connection::open(address).await.ok()?;
                connection.exchange(&request).await.ok()
            };
            let answer = monoio::time::timeout(READY_POLL, query)
                .await
                .ok()
                .flatten();
            let ready = answer.is_some_and(|answer| answer.status().is_success());
            self.nodes[number].ready.set(ready);
            monoio::time::sleep(READY_POLL).await;
        }
    }

    /// Terminates all daemons, and kills those that don't exit within [`STOP_TIMEOUT`].
    pub async fn stop(&self) {
        for number in 0..self.nodes.len() {
            self.signal(number, Signal::Continue);
            self.signal(number, Signal::Terminate);
        }
        let end = Instant::now() + STOP_TIMEOUT;
        let is_running = |node: &Node| {
            let mut child = node.child.borrow_mut();
            let ended = child.as_mut().map(|c| c.wait(Duration::ZERO));
            matches!(ended, Some(Ok(None)))
        };
        while Instant::now() < end && self.nodes.iter().any(is_running) {
            monoio::time::sleep(POLL).await;
        }
        for node in &self.nodes {
            // Dropping a child kills it.
            drop(node.child.borrow_mut().take());
        }
    }

    fn start_daemon(&self, number: usize) -> Result<(), LaunchError> {
        let name = format!("daemon-{number}");
        let settings = self.folder.file(&format!("{name}.json"));
        let text = self.settings(number);
        std::fs::write(&settings, text).map_err(LaunchError::io("settings"))?;
        let arguments = ["--settings".to_owned(), settings.display().to_string()];
        let log = self.folder.file(&format!("{name}.log"));
        let child = Child::start(&name, "hawthornwalld", &arguments, &log)?;
        let node = &self.nodes[number];
        node.starts.set(node.starts.get() + 1);
        *node.child.borrow_mut() = Some(child);
        Ok(())
    }

    fn settings(&self, number: usize) -> String {
        let at = |part, port| address(self.network, part, number, port);
        let machine = Machine {
            admin_port: ADMIN_PORT,
            caller: at(1, CALLER_PORT),
            domain: ZONES[zone(number)],
            files: FILES,
            grace_s: GRACE_SECONDS,
            ip: at(1, 0).ip(),
            link_mbps: LINK_MBPS,
            memory_mib: MEMORY_MIB,
            name: &format!("daemon-{number}"),
            peer_port: PEER_PORT,
            ready: at(1, READY_PORT),
            service: service(number),
            store: at(3, STORE_PORT),
            target: self.worker_address(number),
        };
        machine.render_settings()
    }

    /// Returns the address of a worker. Peers connect to the same IP address, on which the proxy listens.
    fn worker_address(&self, number: usize) -> SocketAddr {
        address(self.network, 2, number, WORKER_PORT)
    }
}

/// Returns a loopback address of a soak test. Block 1 is for daemons, 2 for workers and proxies, 3 for
/// the store.
fn address(network: u8, block: u8, number: usize, port: u16) -> SocketAddr {
    let number = u8::try_from(number + 1).unwrap_or(u8::MAX);
    SocketAddr::new(
        IpAddr::from(Ipv4Addr::new(127, network, block, number)),
        port,
    )
}
