//! The runtime that the daemon uses.

/// Runs a future on the runtime that the daemon uses.
pub fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build();
    runtime.expect("the runtime starts").block_on(future)
}
