//! Names of the HTTP headers that daemons set and read.

/// Header names in lower case. A daemon neither sets nor reads a header whose name is `None`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeaderNames {
    /// Set on requests to a target: name of the service that made the request.
    pub caller: Option<&'static str>,
    /// Set on a target's answers to health checks: time for which the target stays cold, in milliseconds.
    pub cold: Option<&'static str>,
    /// Set on requests: time left until the deadline, in milliseconds.
    pub deadline: &'static str,
    /// Set on requests to a target: name of the only target that may run the request.
    pub expected_target: Option<&'static str>,
    /// Set to `1` on all answers of a target that ends soon and takes no more requests.
    pub leaving: Option<&'static str>,
    /// Set on a target's answers: the target's load.
    pub load: Option<&'static str>,
    /// Set to `1` on a target's answer if the request was not run.
    pub not_run: &'static str,
    /// Set on a target's answers while it limits the requests per second that it accepts from all
    /// daemons together: their number.
    pub rate_limit: Option<&'static str>,
    /// Set on requests and answers: the caller's id of the request, which the target copies to its
    /// answer.
    pub request_id: Option<&'static str>,
    /// Set on every successful answer of a target. A successful answer without it is incomplete.
    pub seal: Option<&'static str>,
    /// Set on some of a target's answers: the name of the target.
    pub target_name: Option<&'static str>,
}

/// Names used on platforms that don't define their own headers.
pub const HAWTHORNWALL: HeaderNames = HeaderNames {
    caller: None,
    cold: None,
    deadline: "hawthornwall-deadline",
    expected_target: None,
    leaving: None,
    load: None,
    not_run: "hawthornwall-not-run",
    rate_limit: None,
    request_id: None,
    seal: None,
    target_name: None,
};
