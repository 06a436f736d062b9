//! Load generator: open-loop arrivals, checked answers, records of what callers sent and received.
//!
//! Invariant: a latency counts from the planned arrival, so a stall of the system or of this process
//! is not hidden by the calls that it kept from being sent.

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
pub use runs::{Busy, Run, Runs};
