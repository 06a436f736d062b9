//! Fake target: an HTTP/1.1 server with slots, a queue and injectable faults. Requests sleep
//! instead of using the CPU.

mod behaviour;
mod connection;
mod executor;
mod messages;
mod scheduler;
mod serve;

pub use behaviour::{Behaviour, Load, Pauses, Report, Spread, State};
pub use scheduler::{Admission, JobEnd, JobId, Scheduler};
pub use serve::{OPTIONS, Options, serve};
