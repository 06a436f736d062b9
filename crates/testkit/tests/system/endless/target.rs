//! A target that sends bytes without end.

use std::collections::BTreeSet;
use std::thread;

use hawthornwall_testkit::launcher::Folder;
use hawthornwall_testkit::procfs::Usage;
use hawthornwall_testkit::run;
use rstest::rstest;

use super::{CALLERS, Endless, Fleet, MEMORY_LIMIT_KIB, endless_server, serve_others, statuses};
use crate::daemon::{START_LIMIT, address, start_daemon, status};

/// Guards against a daemon that keeps all that a faulty target sends until it runs out of memory, which ends the
/// requests of all callers on its machine, and against a success made of such bytes.
#[rstest]
#[case::head(
    0,
    "HTTP/1.1 200 OK\r\n",
    "X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
    true
)]
#[case::no_head(1, "", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", true)]
#[case::body(
    2,
    "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n\r\n",
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
    true
)]
#[case::chunks(
    3,
    "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
    "1e\r\naaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
    true
)]
#[case::chunk_extension(
    4,
    "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n1e;",
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
    true
)]
#[case::trailers(
    5,
    "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
    "X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
    true
)]
#[case::interim_answers(6, "", "HTTP/1.1 102 Processing\r\n\r\n", true)]
#[case::health_checks(
    7,
    "HTTP/1.1 200 OK\r\n",
    "X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
    false
)]
fn memory_beside_an_endless_target(
    #[case] case: u8,
    #[case] first: &'static str,
    #[case] repeated: &'static str,
    #[case] sound_checks: bool,
) {
    let folder = Folder::create(false).expect("the folder is created");
    let endless = Endless {
        first: first.as_bytes(),
        repeated: repeated.as_bytes(),
        sound_checks,
    };
    endless_server(address(case, 0, 9000), endless);
    thread::spawn(move || run(serve_others(Fleet::with_faulty_target(case))));
    let mut daemon = start_daemon(&folder, case, 0, "faulty");
    let _peer = start_daemon(&folder, case, 1, "sound");
    let started = daemon.wait_ready(START_LIMIT, || status(case, "sound", 0) == Some(200));
    started.expect("the daemons serve");
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
