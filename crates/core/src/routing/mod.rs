//! The routing aggregate: what this daemon believes about each target, and which one it picks.
//!
//! Rules kept here:
//! - a target that is leaving, has lately reported that it drains, or was already tried by the call
//!   is never picked;
//! - a load report of an older sequence never replaces a newer one of the same instance;
//! - every picked ticket ends exactly once; `outstanding` counts the tickets that have not ended.

mod balancer;
mod latency;
mod policy;
mod view;

pub use balancer::{Balancer, Choice, MemberView, Observation, PickRequest, Ticket};
pub use latency::LatencyWindow;
pub use policy::Policy;
pub use view::Estimate;
