//! Names of the headers that daemons set and read.

/// Header names in lower case. A name that is `None` is not used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeaderNames {
    /// On a request to a target: service of the instance where the request began.
    pub caller: Option<&'static str>,
    /// On requests: milliseconds left until the deadline.
    pub deadline: &'static str,
    /// On a request to a target: name of the only target that may run it.
    pub expect: Option<&'static str>,
    /// On a target's answers: its load.
    pub load: Option<&'static str>,
    /// On a target's answers: `1` if the request was not run.
    pub not_run: &'static str,
    /// On requests and answers: the caller's id of the request, which a target repeats.
    pub request: Option<&'static str>,
    /// On every successful answer of a target; one without it is broken.
    pub seal: Option<&'static str>,
}

/// Hawthornwall's own names.
pub const OWN: HeaderNames = HeaderNames {
    caller: None,
    deadline: "hawthornwall-deadline",
    expect: None,
    load: None,
    not_run: "hawthornwall-not-run",
    request: None,
    seal: None,
};
