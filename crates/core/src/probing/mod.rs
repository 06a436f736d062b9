//! The probe budget, which decides whether a probe of the local target may start.
//!
//! Slot time is the time for which requests occupy slots of the target.
//!
//! Invariant: no period of 100 seconds contains more probes than allowed, and in no period do
//! probes use more than their share of slot time plus the capacity of the token bucket that limits
//! their slot time.

mod budget;

pub use budget::{Permit, ProbeBudget, ProbeCounts, ProbeLimits};
