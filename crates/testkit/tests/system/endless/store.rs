//! A store that sends bytes without end.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use hawthornwall_testkit::launcher::Folder;
use hawthornwall_testkit::procfs::Usage;
use hawthornwall_testkit::run;
use rstest::rstest;

use super::{
    CALLERS, Endless, Fleet, MEMORY_LIMIT_KIB, STORE_PORT, send_endless, serve_others, statuses,
};
use crate::daemon::{START_LIMIT, address, start_daemon, status};

/// Port of the store that is reached through a server at [`STORE_PORT`].
const INNER_STORE_PORT: u16 = 8501;

/// Forwards connections to the store until it is told to break; then it sends bytes without end.
fn breaking_store(case: u8, broken: Arc<AtomicBool>, endless: Endless) {
    let listener = TcpListener::bind(address(case, 0, STORE_PORT)).expect("the address is free");
    thread::spawn(move || {
        for daemon in listener.incoming().flatten() {
            let broken = Arc::clone(&broken);
            thread::spawn(move || forward_until(case, daemon, &broken, endless));
        }
    });
}

/// Forwards one exchange after another, or sends bytes without end in place of a response.
fn forward_until(case: u8, mut daemon: TcpStream, broken: &AtomicBool, endless: Endless) {
    let mut store =
        TcpStream::connect(address(case, 0, INNER_STORE_PORT)).expect("the store accepts");
    let (mut request, mut response) = ([0; 4096], vec![0; 1 << 20]);
    while let Ok(length @ 1..) = daemon.read(&mut request) {
        if broken.load(Ordering::Relaxed) {
            return send_endless(&mut daemon, endless);
        }
        let _ = store.write_all(&request[..length]);
        // The stand-in's responses are small enough to arrive at once.
        let Ok(length @ 1..) = store.read(&mut response) else {
            return;
        };
        let _ = daemon.write_all(&response[..length]);
    }
}

/// Guards against a daemon that keeps all that a faulty store sends, or serves nothing meanwhile.
#[rstest]
#[case::head(50, b"HTTP/1.1 200 OK\r\n", b"X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n")]
#[case::no_head(51, b"", b"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")]
#[case::body(52, b"HTTP/1.1 200 OK\r\n\r\n", b"aaaaaaaaaaaaaaaaaaaaaaaaaa")]
#[case::chunks(
    53,
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"1e\r\naaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"
)]
#[case::trailers(
    54,
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
    b"X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"
)]
fn endless_store(#[case] case: u8, #[case] first: &'static [u8], #[case] repeated: &'static [u8]) {
    let folder = Folder::create(false).expect("the folder is created");
    let endless = Endless {
        first,
        repeated,
        sound_checks: false,
    };
    let broken = Arc::new(AtomicBool::new(false));
    breaking_store(case, Arc::clone(&broken), endless);
    let fleet = Fleet::with_sound_target(case, INNER_STORE_PORT);
    thread::spawn(move || run(serve_others(fleet)));
    let mut daemon = start_daemon(&folder, case, 0, "sound");
    let started = daemon.wait_ready(START_LIMIT, || status(case, "sound", 0) == Some(200));
    started.expect("the daemon serves");
    broken.store(true, Ordering::Relaxed);
    let sound = statuses(case, "sound", CALLERS);
    let usage = Usage::of(daemon.pid()).expect("the daemon runs");
    assert!(usage.peak_kib < MEMORY_LIMIT_KIB, "{usage:?}");
    assert_eq!(sound, BTreeSet::from([Some(200)]));
}
