//! Fake of a target: an HTTP/1.1 server with slots, a queue and faults. Work is simulated by
//! sleeping.

mod behaviour;
mod connection;
mod executor;
mod messages;
mod serve;
mod workplace;

pub use behaviour::{Behaviour, Load, Pauses, Report, Spread, State};
pub use serve::{OPTIONS, Options, serve};
pub use workplace::{Finished, JobId, Offer, Workplace};
