//! Fakes of the platform and of targets, UDP relay, launcher and history checker.
//!
//! Invariant: every fake is a process of its own with one monoio runtime on epoll; its tasks own
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

/// Wall clock in microseconds since the Unix epoch, the time of history records.
pub fn wall_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_micros() as u64)
}

/// Runs a future on this thread with the epoll driver.
///
/// # Errors
///
/// The runtime can't be created.
pub fn run<F: Future>(future: F) -> std::io::Result<F::Output> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()?;
    Ok(runtime.block_on(future))
}
