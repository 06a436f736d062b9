//! The daemon's tasks.
//!
//! One thread, one monoio runtime. Each task owns its sockets and its state; tasks talk by the
//! messages of [`messages`]. Decisions are taken by the aggregates of `hawthornwall-core`; a task
//! only carries their effects out.

pub mod admin;
pub mod catalog;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod dialect;
pub mod gate;
pub mod http;
pub mod ingress;
pub mod messages;
mod open_count;
pub mod peers;
pub mod platform;
pub mod probe;
pub mod reload;
pub mod router;
pub mod signals;
pub mod start;
pub mod telemetry;
