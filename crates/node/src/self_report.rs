//! What a target states about itself in the head of an answer.

use std::time::Duration;

use hawthornwall_core::load::{RateLimit, TargetLoad};
use http::HeaderMap;

use crate::dialect::Dialect;

/// Answer header that a target sets to `draining` before it stops.
const STATE_HEADER: &str = "hawthornwall-state";

/// Cold time of a target that states one which can't be read. It is the shortest for which a target is cold; taken for
/// warm, a cold target could get more requests than it can handle.
const UNREADABLE_COLD: Duration = Duration::from_secs(1);

/// What a target states about itself in the head of an answer. Other headers than that of the cold time state nothing
/// if they are missing or malformed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SelfReport {
    /// Time for which the target stays cold, zero if it is warm; stated only in answers to health checks.
    pub cold: Option<Duration>,
    /// Whether the target is draining.
    pub draining: bool,
    /// Whether the target leaves: it ends soon and takes no more requests.
    pub leaving: bool,
    /// The target's load.
    pub load: Option<TargetLoad>,
    /// Name of the target, with which it compares the name that a request states.
    pub name: Option<String>,
    /// Number of requests per second that the target accepts from all daemons together.
    pub rate_limit: Option<RateLimit>,
}

impl SelfReport {
    /// Reads the headers of an answer.
    ///
    /// ```
    /// use hawthornwall_node::dialect::Dialect;
    /// use hawthornwall_node::self_report::SelfReport;
    /// use http::{HeaderMap, HeaderValue};
    ///
    /// let mut headers = HeaderMap::new();
    /// headers.insert("x-instance-id", HeaderValue::from_static("i-1"));
    /// let report = SelfReport::from_headers(Dialect::Platform, &headers);
    /// assert_eq!(report.name.as_deref(), Some("i-1"));
    /// ```
    pub fn from_headers(dialect: Dialect, headers: &HeaderMap) -> Self {
        let names = dialect.names();
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let cold = names.cold.and_then(text);
        let load = names.load.and_then(text);
        let rate_limit = names.rate_limit.and_then(text);
        Self {
            cold: cold.map(|cold| dialect.cold(cold).unwrap_or(UNREADABLE_COLD)),
            draining: text(STATE_HEADER).is_some_and(|s| s.eq_ignore_ascii_case("draining")),
            leaving: dialect.states_leaving(text),
            load: load.and_then(|load| dialect.load(load)),
            name: names.target_name.and_then(text).map(str::to_owned),
            rate_limit: rate_limit.and_then(|limit| dialect.rate_limit(limit)),
        }
    }
}
