//! Probes of the local target.
//!
//! Invariants:
//! - no other part of the system probes the target, and each probe is first granted by the budget, so
//!   that the load from probes doesn't depend on the number of daemons;
//! - only a refused connection marks the target as down. A late or malformed response doesn't, since
//!   the endpoint may lag or be wrong while the target serves requests.

mod endpoint;
mod task;

pub use task::{PROBE_TIMEOUT, Probe, ProbeStart};
