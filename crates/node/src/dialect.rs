//! The two sets of conventions that a daemon speaks with callers and targets.

use hawthornwall_core::load::TargetLoad;
use hawthornwall_settings::Source;
use hawthornwall_wire::names::{self, HeaderNames};

/// Whose conventions hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Dialect {
    /// Hawthornwall's own: idempotency by method and key, services by host name or path segment.
    Own,
    /// The platform's, whose store publishes routes and targets.
    Platform,
}

impl Dialect {
    /// The conventions that belong to a source of configuration.
    pub fn of(source: &Source) -> Self {
        match source {
            Source::Services { .. } => Self::Own,
            Source::Store(_) => Self::Platform,
        }
    }

    /// The names of headers.
    pub fn names(self) -> &'static HeaderNames {
        match self {
            Self::Own => &names::HAWTHORNWALL,
            Self::Platform => &hawthornwall_platform::headers::NAMES,
        }
    }

    /// The load that a target states in a header.
    pub fn load(self, text: &str) -> Option<TargetLoad> {
        match self {
            Self::Own => None,
            Self::Platform => hawthornwall_platform::decode_load(text),
        }
    }
}
