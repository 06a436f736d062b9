//! The probe budget: whether the local target may be measured now.
//!
//! Invariant: in no span of 100 seconds are there more probes than allowed, and in no span do probes
//! take more than their share of slot time beyond one saved-up allowance.

mod budget;

pub use budget::{Permit, ProbeBudget, ProbeCounts, ProbeLimits};
