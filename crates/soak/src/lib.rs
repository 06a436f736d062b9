//! Soak test with randomized fault injection. The daemons run as child processes; the store, the
//! workers and the callers are simulated in this process. The invariants are checked during the test
//! against what callers and workers observe.
//!
//! The plan is reproducible from its seed. It consists of rounds: a few seconds in which faults
//! overlap, a recovery period without faults, and a calm period with planned changes, in which
//! invariants with time bounds are checked too.

mod callers;
mod fleet;
mod history;
mod injector;
mod plan;
mod proxy;

pub use history::{Bounds, History, Invariant, RequestEnd, SentRequest, Violation};
pub use injector::{Options, Summary, run};
pub use plan::{Plan, Step, StoreFault, TimedStep};
