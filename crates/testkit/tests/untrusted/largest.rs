//! A body of the largest size that the example of the operators' configuration allows.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use super::callers::{head, repeat};
use super::{Machine, Site, Target};
use crate::daemon::address;

/// Length of the body, in bytes.
const BODY: usize = 67_108_864;
/// Memory of the smallest machine, in MiB.
const MEMORY_MIB: u64 = 160;
/// Time allowed for the answer.
const ANSWER_TIME: Duration = Duration::from_secs(30);

/// Guards against a request within the limits that is refused on the smallest machine without other load, and against
/// copies of its body that exceed the machine's memory.
#[test]
fn largest_body() {
    let machine = Machine {
        body: BODY,
        memory_mib: MEMORY_MIB,
    };
    Site::start_on(66, Target::Sound, machine).check(|case| {
        let mut stream = TcpStream::connect(address(case, 0, 8000)).expect("the daemon accepts");
        let _ = stream.set_read_timeout(Some(ANSWER_TIME));
        let length = format!("Content-Length: {BODY}\r\n");
        let _ = stream.write_all(&head("POST", "/sound/b", &length));
        repeat(&mut stream, b"x", BODY);
        let mut status = [0; 12];
        let read = stream.read_exact(&mut status);
        let status = String::from_utf8_lossy(&status);
        assert!(
            read.is_ok() && status == "HTTP/1.1 200",
            "{read:?} {status}"
        );
        stream
    });
}
