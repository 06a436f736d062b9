//! Async runtime for tests, of the same kind as in the daemon.

/// Runs a future to completion on a new runtime with timers.
pub fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build();
    runtime.expect("the runtime starts").block_on(future)
}
