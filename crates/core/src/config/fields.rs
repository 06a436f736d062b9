//! The comparable fields of services and targets, as text.

use std::fmt;

use serde::Serialize;

use super::{Service, Target};

/// A field of a service or target that can differ between configurations.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Field {
    /// Time limit of requests without a deadline of their own.
    Deadline,
    /// Failure domain of a target.
    Domain,
    /// Whether a request may be sent to a second target while the first is late.
    Hedge,
    /// Host names that select a service, besides its own name.
    Hosts,
    /// Longest wait for a slot.
    QueueWait,
    /// Retries and hedged requests for each 100 requests.
    RetryPercent,
    /// The service that a target belongs to.
    Service,
    /// Number of requests that a target may run at once.
    Slots,
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Deadline => "the time limit of requests without a deadline of their own",
            Self::Domain => "the failure domain",
            Self::Hedge => "hedged requests (a second target while the first is late)",
            Self::Hosts => "the host names",
            Self::QueueWait => "the longest wait for a slot",
            Self::RetryPercent => "the retries and hedged requests for each 100 requests",
            Self::Service => "the service",
            Self::Slots => "the slots (requests run at once)",
        })
    }
}

/// Returns the comparable fields of a service as text, always in the same order.
pub(super) fn service_fields(service: &Service) -> [(Field, String); 5] {
    let rules = &service.rules;
    let hosts: Vec<_> = service.hosts.iter().map(String::as_str).collect();
    let hosts = if hosts.is_empty() {
        "none".to_owned()
    } else {
        hosts.join(", ")
    };
    [
        (Field::Hosts, hosts),
        (
            Field::Deadline,
            format!("{} ms", rules.deadline.as_millis()),
        ),
        (
            Field::Hedge,
            if rules.hedge { "on" } else { "off" }.to_owned(),
        ),
        (
            Field::QueueWait,
            format!("{} ms", rules.queue_wait.as_millis()),
        ),
        (Field::RetryPercent, rules.retry_percent.to_string()),
    ]
}

/// Returns the comparable fields of a target as text, always in the same order. `service` is the
/// name of its service.
pub(super) fn target_fields(target: &Target, service: &str) -> [(Field, String); 3] {
    [
        (Field::Service, service.to_owned()),
        (Field::Domain, target.domain.clone()),
        (Field::Slots, target.slots.to_string()),
    ]
}
