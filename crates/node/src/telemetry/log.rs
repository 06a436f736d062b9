//! Structured logs: one JSON object per line on standard output.
//!
//! Invariant: no task blocks on the output. A separate thread writes the lines, and lines that don't fit
//! into its queue are dropped.
//!
//! Every task logs through the macros of this module:
//!
//! ```
//! use hawthornwall_node::telemetry::log;
//!
//! let (version, source) = (12, "peer");
//! log::info!("configuration in force", kv: { version, source });
//! ```

use std::sync::Arc;

use hawthornwall_settings::LogLevel;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

pub use spdlog::{debug, error, info, warn};

/// Name of the logger that writes finished spans.
const TRACE_LOGGER: &str = "trace";

/// Sets up the macros of this module to write lines of `level` and above to standard output.
///
/// # Errors
///
/// If the sink can't be built.
pub fn init(level: LogLevel) -> Result<(), spdlog::Error> {
    let logger = Logger::builder()
        .level_filter(level_filter(level))
        .sink(stdout()?)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// A logger of finished spans to standard output. The log level doesn't apply to spans, as they are
/// selected by sampling.
///
/// # Errors
///
/// If the sink can't be built.
pub fn span_logger() -> Result<Arc<Logger>, spdlog::Error> {
    span_logger_to(stdout()?)
}

/// A logger of finished spans to any sink.
///
/// # Errors
///
/// If the logger can't be built.
pub fn span_logger_to(sink: Arc<dyn Sink>) -> Result<Arc<Logger>, spdlog::Error> {
    Logger::builder()
        .name(TRACE_LOGGER)
        .level_filter(LevelFilter::All)
        .sink(sink)
        .build_arc()
}

fn stdout() -> Result<Arc<AsyncPoolSink>, spdlog::Error> {
    let stream = StdStreamSink::builder()
        .stdout()
        .formatter(JsonFormatter::new())
        .build_arc()?;
    AsyncPoolSink::builder()
        .overflow_policy(OverflowPolicy::DropIncoming)
        .sink(stream)
        .build_arc()
}

fn level_filter(level: LogLevel) -> LevelFilter {
    LevelFilter::MoreSevereEqual(match level {
        LogLevel::Debug => Level::Debug,
        LogLevel::Error => Level::Error,
        LogLevel::Info => Level::Info,
        LogLevel::Warn => Level::Warn,
    })
}
