//! Test tools: fakes of the platform and of targets, a UDP relay, a launcher and a history checker.
//!
//! Invariant: every fake is a separate process with one monoio runtime on epoll, whose tasks own
//! their sockets and state.

pub mod arguments;
pub mod history;
pub mod http1;
pub mod launcher;
pub mod payload;
pub mod platform;
pub mod procfs;
pub mod random;
pub mod relay;
pub mod store;
pub mod target;
pub mod timer;
pub mod worker;

use std::time::{SystemTime, UNIX_EPOCH};

/// Wall clock time in microseconds since the Unix epoch, as used in history records.
pub fn wall_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_micros() as u64)
}

/// Runs a future to completion on the current thread, in a new runtime with the epoll driver.
///
/// # Errors
///
/// Returns an error if the runtime can't be created.
pub fn run<F: Future>(future: F) -> std::io::Result<F::Output> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()?;
    Ok(runtime.block_on(future))
}
