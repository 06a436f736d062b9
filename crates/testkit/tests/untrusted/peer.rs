//! A daemon of another instance that misbehaves.

use std::io::Write;

use rstest::rstest;

use super::callers::{open, repeat};
use super::{CALLERS, CONNECTIONS, Site, Target};
use crate::daemon::address;

/// Length of a message that the daemon accepts, in bytes.
const MESSAGE: usize = 1_900_000;
/// Number of bytes of a message that are never sent.
const MISSING: usize = 10;

/// Guards against memory that grows with messages of peers that stop just before their end, and against
/// connections of peers that take all descriptors of the machine.
#[rstest]
#[case::stalled_messages(62, CALLERS, MESSAGE)]
#[case::silent_connections(63, CONNECTIONS, 0)]
fn misbehaving_peer(#[case] case: u8, #[case] connections: usize, #[case] length: usize) {
    Site::start(case, Target::Sound).check(|case| {
        open(connections, address(case, 0, 7000), move |stream| {
            if length > 0 {
                let _ = stream.write_all(&u32::try_from(length).expect("it fits").to_be_bytes());
                repeat(stream, b"x", length - MISSING);
            }
        })
    });
}
