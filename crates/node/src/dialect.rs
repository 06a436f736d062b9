//! The two sets of HTTP conventions between a daemon and its callers and targets.

use std::time::Duration;

use hawthornwall_core::load::{RateLimit, TargetLoad};
use hawthornwall_settings::Source;
use hawthornwall_wire::names::{self, HeaderNames};

/// The set of HTTP conventions that a daemon follows with its callers and targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Dialect {
    /// Hawthornwall's own: idempotency by method and key, services by host name or path segment.
    Own,
    /// The platform's, whose store publishes routes and targets.
    Platform,
}

impl Dialect {
    /// The conventions that apply to the given source of configuration.
    pub fn of(source: &Source) -> Self {
        match source {
            Source::Services { .. } => Self::Own,
            Source::Store(_) => Self::Platform,
        }
    }

    /// The names of the headers that the daemon sets and reads.
    pub fn names(self) -> &'static HeaderNames {
        match self {
            Self::Own => &names::HAWTHORNWALL,
            Self::Platform => &hawthornwall_platform::headers::NAMES,
        }
    }

    /// Decodes the load that a target states in a header; `None` if it is malformed or the conventions have
    /// no such header.
    pub fn load(self, text: &str) -> Option<TargetLoad> {
        match self {
            Self::Own => None,
            Self::Platform => hawthornwall_platform::decode_load(text),
        }
    }

    /// Decodes the time for which a target states that it stays cold; `None` if it is malformed or the
    /// conventions have no such header.
    pub fn cold(self, text: &str) -> Option<Duration> {
        match self {
            Self::Own => None,
            Self::Platform => hawthornwall_platform::decode_cold(text),
        }
    }

    /// Decodes the limit on requests per second that a target states in a header; `None` if it is malformed
    /// or the conventions have no such header.
    pub fn rate_limit(self, text: &str) -> Option<RateLimit> {
        match self {
            Self::Own => None,
            Self::Platform => hawthornwall_platform::decode_rate_limit(text),
        }
    }

    /// The value of the `Retry-After` header for a delay. HTTP allows whole seconds only; the platform's callers
    /// accept fractions.
    pub fn retry_after(self, delay: Duration) -> String {
        match self {
            Self::Own => delay.as_secs_f64().ceil().max(1.0).to_string(),
            Self::Platform => (delay.as_millis() as f64 / 1_000.0).to_string(),
        }
    }

    /// Whether the headers of an answer, as returned by `text`, state that the target leaves.
    pub fn states_leaving<'a>(self, text: impl FnOnce(&str) -> Option<&'a str>) -> bool {
        let value = self.names().leaving.and_then(text);
        value.is_some_and(|value| value.trim() == "1")
    }
}
