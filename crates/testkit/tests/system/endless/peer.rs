//! A peer, or a client of the port for peers, that sends frames without end.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpStream};
use std::thread;

use hawthornwall_testkit::launcher::Folder;
use hawthornwall_testkit::procfs::Usage;
use hawthornwall_testkit::run;
use rstest::rstest;

use super::{
    CALLERS, Endless, Fleet, MEMORY_LIMIT_KIB, STORE_PORT, endless_server, send_endless,
    serve_others, statuses,
};
use crate::daemon::{START_LIMIT, address, start_daemon, status};

/// Guards against a daemon that stands still, or keeps all that it gets, because another instance's daemon sends
/// frames without end.
#[rstest]
#[case::too_long(30, b"\xff\xff\xff\xff", b"aaaaaaaaaaaaaaaa")]
#[case::long_frame(31, b"\x00\x80\x00\x00", b"aaaaaaaaaaaaaaaa")]
#[case::keep_alives(32, b"", b"\x00\x00\x00\x00")]
#[case::malformed_frames(33, b"", b"\x00\x00\x00\x04aaaa")]
fn endless_peer(#[case] case: u8, #[case] first: &'static [u8], #[case] repeated: &'static [u8]) {
    let folder = Folder::create(false).expect("the folder is created");
    let endless = Endless {
        first,
        repeated,
        sound_checks: false,
    };
    endless_server(address(case, 1, 7000), endless);
    let fleet = Fleet::with_sound_target(case, STORE_PORT);
    thread::spawn(move || run(serve_others(fleet)));
    let mut daemon = start_daemon(&folder, case, 0, "sound");
    let started = daemon.wait_ready(START_LIMIT, || status(case, "sound", 0) == Some(200));
    started.expect("the daemon serves");
    let faulty: Vec<_> = (0..CALLERS)
        .map(|caller| thread::spawn(move || statuses(case, "faulty", caller)))
        .collect();
    let sound = statuses(case, "sound", CALLERS);
    let faulty = faulty.into_iter().map(|t| t.join().expect("it ends"));
    let faulty: BTreeSet<_> = faulty.flatten().collect();
    let usage = Usage::of(daemon.pid()).expect("the daemon runs");
    assert!(usage.peak_kib < MEMORY_LIMIT_KIB, "{usage:?}");
    assert_eq!(sound, BTreeSet::from([Some(200)]));
    let is_failure = |s: &Option<u16>| s.is_some_and(|status| status >= 500);
    assert!(faulty.iter().all(is_failure), "{faulty:?}");
}

/// Connects to `address` again and again, and sends without end what is no request. What is sent back is read.
fn endless_client(address: SocketAddr, endless: Endless) {
    thread::spawn(move || {
        loop {
            let Ok(mut stream) = TcpStream::connect(address) else {
                return;
            };
            let mut replies = stream.try_clone().expect("a socket can be cloned");
            let reading = thread::spawn(move || std::io::copy(&mut replies, &mut std::io::sink()));
            send_endless(&mut stream, endless);
            let _ = reading.join();
        }
    });
}

/// Guards against a daemon that stands still, or keeps all that it gets, because a client of the port for peers
/// sends frames without end.
#[rstest]
#[case::too_long(40, b"\xff\xff\xff\xff", b"aaaaaaaaaaaaaaaa")]
#[case::long_frame(41, b"\x00\x80\x00\x00", b"aaaaaaaaaaaaaaaa")]
#[case::keep_alives(42, b"", b"\x00\x00\x00\x00")]
#[case::malformed_frames(43, b"", b"\x00\x00\x00\x04aaaa")]
fn endless_client_of_the_peer_port(
    #[case] case: u8,
    #[case] first: &'static [u8],
    #[case] repeated: &'static [u8],
) {
    let folder = Folder::create(false).expect("the folder is created");
    let fleet = Fleet::with_sound_target(case, STORE_PORT);
    thread::spawn(move || run(serve_others(fleet)));
    let mut daemon = start_daemon(&folder, case, 0, "sound");
    let started = daemon.wait_ready(START_LIMIT, || status(case, "sound", 0) == Some(200));
    started.expect("the daemon serves");
    let endless = Endless {
        first,
        repeated,
        sound_checks: false,
    };
    endless_client(address(case, 0, 7000), endless);
    let sound = statuses(case, "sound", CALLERS);
    let usage = Usage::of(daemon.pid()).expect("the daemon runs");
    assert!(usage.peak_kib < MEMORY_LIMIT_KIB, "{usage:?}");
    assert_eq!(sound, BTreeSet::from([Some(200)]));
}
