//! Callers that hold connections without sending a complete request.

use std::io::Write;

use super::callers::open;
use super::{CONNECTIONS, Site, Target};
use crate::daemon::address;

/// Guards against connections that take all descriptors of the machine while their request heads arrive slowly.
#[test]
fn slow_request_heads() {
    Site::start(60, Target::Sound).check(|case| {
        open(CONNECTIONS, address(case, 0, 8000), |stream| {
            for part in ["GET /sound/b", " HTTP/1.1\r\n", "Host: h.exa"] {
                let _ = stream.write_all(part.as_bytes());
                std::thread::sleep(std::time::Duration::from_millis(200));
            }
        })
    });
}

/// Guards against connections that take all descriptors of the machine and send nothing.
#[test]
fn connections_that_send_nothing() {
    Site::start(61, Target::Sound).check(|case| open(CONNECTIONS, address(case, 0, 8000), |_| {}));
}
