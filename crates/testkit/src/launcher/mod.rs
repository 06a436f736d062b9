//! Starts a deployment as child processes on free loopback ports.
//!
//! Invariant: every process that was started is killed when its owner is dropped.

mod child;
mod cluster;
mod control;
mod deployment;
mod places;
mod presence;
mod records;
mod settings;
mod shared;

pub use child::{Child, LaunchError, Signal};
pub use cluster::{Cluster, ClusterOptions, Node};
pub use deployment::{Deployment, Plan, ServicePlan, TargetPlan};
pub use places::{Folder, Place, shared_address};
pub use records::{daemon_party, log_records};
