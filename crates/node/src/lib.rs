//! The daemon's tasks.
//!
//! All tasks run on one thread with one monoio runtime. Each task owns its sockets and its state; tasks
//! communicate by the messages of [`messages`]. The aggregates of `hawthornwall-core` take the decisions,
//! and the tasks carry them out.

pub mod admin;
pub mod catalog;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod dialect;
pub mod gate;
pub mod http;
pub mod ingress;
mod keepalive;
pub mod memory;
pub mod messages;
mod open_count;
pub mod peers;
pub mod platform;
pub mod probe;
pub mod reload;
pub mod router;
pub mod self_report;
pub mod signals;
pub mod start;
pub mod telemetry;
