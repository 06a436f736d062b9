//! Logs, metrics and traces.
//!
//! The `telemetry` task owns the counters and the statsd socket; other tasks send it [`Event`]s
//! through a [`Telemetry`] handle. Logs and traces need no task: log lines and finished spans are queued
//! where they arise, and written by the logging library's own thread, which sleeps while its queue is
//! empty.
//!
//! Invariant: telemetry never delays or fails a request; data that can't be sent is dropped.

mod choice;
mod counters;
pub mod log;
mod metrics;
mod requests;
mod statsd;
mod task;
pub mod trace;

pub use counters::{Counters, Event, HedgeEvent, LinkEvent};
pub use metrics::Metrics;
pub use requests::{AttemptRecord, RequestLog, RequestRecord};
pub use statsd::Statsd;
pub use task::{Telemetry, TelemetryMessage, run};
