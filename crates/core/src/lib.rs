//! Load-balancing decisions without I/O.
//!
//! The modules are aggregates in the sense of domain-driven design: plain data whose rules are its
//! methods. An aggregate takes one event and returns typed effects or a typed decision. No module
//! reads a clock, a socket or a source of randomness: time and seeds are arguments, so every
//! sequence of events can be replayed exactly.
//!
//! ```
//! use hawthornwall_core::prelude::*;
//!
//! let id: TargetId = "target7".parse()?;
//! assert_eq!(id.to_string(), "target7");
//! # Ok::<(), hawthornwall_core::ids::ParseIdError>(())
//! ```

pub mod admission;
pub mod calls;
pub mod catalog;
pub mod config;
mod digest;
pub mod gossip;
pub mod ids;
pub mod keys;
pub mod link;
pub mod load;
pub mod members;
pub mod memory;
pub mod outcome;
pub mod pause;
pub mod pipeline;
pub mod prelude;
pub mod probing;
pub mod routes;
pub mod routing;
pub mod stop;
pub mod time;
pub mod transit;
pub mod units;
