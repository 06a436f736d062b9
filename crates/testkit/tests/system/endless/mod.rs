//! Daemons whose target, peer or store sends bytes without end.

mod peer;
mod store;
mod target;

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use futures::channel::mpsc;
use hawthornwall_testkit::store::{Entry, RouteDocument, configuration, serve as serve_store};
use hawthornwall_testkit::worker::{WorkerOptions, serve as serve_worker};

use crate::daemon::{HOST, address, status};

/// Memory that a daemon may use, in KiB; see the size to design for on the developers' page.
const MEMORY_LIMIT_KIB: u64 = 64 << 10;
/// Time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(3);
/// Port of the store.
const STORE_PORT: u16 = 8500;
/// Number of callers of the faulty target, and of its slots.
const CALLERS: u32 = 16;

/// What a faulty server sends.
#[derive(Clone, Copy)]
struct Endless {
    /// Sent at first.
    first: &'static [u8],
    /// Sent after that, until the connection closes.
    repeated: &'static [u8],
    /// Whether health checks are answered properly.
    sound_checks: bool,
}

/// Serves connections with bytes that are no answer.
fn endless_server(address: SocketAddr, endless: Endless) {
    let listener = TcpListener::bind(address).expect("the address is free");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || send_without_end(stream, endless));
        }
    });
}

fn send_without_end(mut stream: TcpStream, endless: Endless) {
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        let check = buffer[..length].starts_with(b"GET /health");
        if !(check && endless.sound_checks) {
            return send_endless(&mut stream, endless);
        }
        let load = "HTTP/1.1 200 OK\r\nX-Server-Load: 0,0,16\r\nContent-Length: 0\r\n\r\n";
        let _ = stream.write_all(load.as_bytes());
    }
}

fn send_endless(stream: &mut TcpStream, endless: Endless) {
    let _ = stream.write_all(endless.first);
    let part = endless.repeated.repeat(64);
    while stream.write_all(&part).is_ok() {}
}

/// The services of the two instances of a case, and which of them is sound.
#[derive(Clone, Copy)]
struct Fleet {
    case: u8,
    services: [&'static str; 2],
    /// Port of the store at instance 0.
    store: u16,
}

impl Fleet {
    /// Instance 0 has a faulty target.
    fn with_faulty_target(case: u8) -> Self {
        Self {
            case,
            services: ["faulty", "sound"],
            store: STORE_PORT,
        }
    }

    /// Instance 0 has a sound target.
    fn with_sound_target(case: u8, store: u16) -> Self {
        Self {
            case,
            services: ["sound", "faulty"],
            store,
        }
    }
}

/// Serves the store and the target of the sound service until the test ends.
async fn serve_others(fleet: Fleet) {
    let Fleet {
        case,
        services,
        store,
    } = fleet;
    let store = serve_store(&[address(case, 0, store)]).expect("the address is free");
    let route = |name: &str| RouteDocument {
        idempotent: true,
        prefix: format!("/{name}/"),
        services: vec![(name.to_owned(), 1)],
    };
    let routes = [route("faulty"), route("sound")];
    store.put("op/config", &configuration(1, HOST, &routes));
    for (instance, service) in (0..).zip(services) {
        let entry = Entry {
            address: address(case, instance, 9000),
            born: 1,
            draining: false,
            sequence: 1,
            service,
            slots: CALLERS,
            zone: "a",
        };
        store.put(&format!("servers/{service}"), &entry.json());
    }
    let (run_sender, _runs) = mpsc::unbounded();
    let sound = u8::from(services[1] == "sound");
    let options = WorkerOptions {
        address: address(case, sound, 9000),
        name: "sound".to_owned(),
        seed: 1,
        service: "sound".to_owned(),
        slots: CALLERS,
    };
    let _worker = serve_worker(options, run_sender).expect("the address is free");
    std::future::pending::<()>().await;
}

/// Sends requests one after another for [`LOAD_TIME`] and returns the distinct statuses.
fn statuses(case: u8, path: &'static str, caller: u32) -> BTreeSet<Option<u16>> {
    let end = Instant::now() + LOAD_TIME;
    let numbers = (caller * 1_000_000..).take_while(|_| Instant::now() < end);
    numbers.map(|number| status(case, path, number)).collect()
}
