//! The routing aggregate: the state of each target as seen by this daemon, and the choice among
//! them.
//!
//! Invariants:
//! - a target that is leaving, has recently reported that it drains, or was already tried by the
//!   call is never picked;
//! - while a warm target is eligible, at most one of the targets compared for a pick is cold;
//! - a load report never replaces one with a higher sequence number from the same instance;
//! - every issued ticket ends exactly once; `outstanding` counts the tickets that have not ended.

mod balancer;
mod latency;
mod policy;
mod view;

pub use balancer::{Balancer, Choice, Membership, Observation, PickRequest, Ticket};
pub use latency::LatencyWindow;
pub use policy::Policy;
pub use view::{ColdTarget, Estimate};
