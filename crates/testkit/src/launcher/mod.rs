//! Starts a deployment as child processes on free loopback ports.
//!
//! Invariant: every started process is killed when its owner is dropped.

mod child;
mod cluster;
mod control;
mod deployment;
mod lifecycle;
mod records;
mod resources;
mod settings;
mod shared;

pub use child::{Child, LaunchError, Signal};
pub use cluster::{Cluster, ClusterOptions, Node};
pub use deployment::{Deployment, Plan, ServicePlan, TargetPlan};
pub use records::{daemon_party, log_records};
pub use resources::{Folder, NodeAddresses, free_address};
