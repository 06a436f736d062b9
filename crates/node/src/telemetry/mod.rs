//! Logs, metrics and traces.
//!
//! The `telemetry` task owns the counters and the statsd socket; other tasks send it [`Event`]s
//! through a [`Telemetry`] handle. Logs and traces need no task: each log line is written where it
//! arises, and finished spans are written by the trace library's own thread, which sleeps while no
//! span ends.
//!
//! Invariant: telemetry never delays or fails a request; what can't be sent is dropped.

mod choice;
mod counters;
pub mod log;
mod metrics;
mod requests;
mod statsd;
mod task;
pub mod trace;

pub use counters::{Counters, Event};
pub use metrics::Metrics;
pub use requests::{AttemptRecord, RequestLog, RequestRecord};
pub use statsd::Statsd;
pub use task::{Telemetry, TelemetryMessage, run};
