//! Load generator: open-loop arrivals, verified answers, records of what callers sent and received.
//!
//! Invariant: latency is measured from the planned arrival. Calls that a stall of the system or of
//! this process delays therefore count with their full delay (no coordinated omission).

mod arrivals;
mod check;
mod driver;
mod exchange;
mod options;
mod result;
mod runs;

pub use arrivals::{Call, CallKind, Route, plan_calls};
pub use check::{Mismatches, check};
pub use driver::{run_calls, run_load};
pub use options::{Endpoint, LoadOptions, ServiceLoad};
pub use result::{CallResult, Quantiles, count_outcomes};
pub use runs::{BusyTime, Run, Runs};
