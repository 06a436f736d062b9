//! A randomized fault soak: real daemons as child processes, stand-ins for the store, the workers and the
//! callers in this process, and faults injected from outside. The promises to callers and workers are
//! checked while it runs, from what both see.
//!
//! A seed gives the same plan again. Faults come in rounds: a few seconds in which they overlap, a pause in
//! which the fleet recovers, and some calm seconds with planned changes, in which bounds of time hold too.

mod callers;
mod fleet;
mod ledger;
mod perform;
mod plan;
mod proxy;

pub use ledger::{Bounds, Ended, Ledger, Promise, Sent, Violation};
pub use perform::{Options, Summary, run};
pub use plan::{Plan, Step, StoreFault, TimedStep};
