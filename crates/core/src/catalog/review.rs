//! Review of a configuration before it is published.
//!
//! Rules kept here:
//! - a concern is about values that daemons accept, so that no concern keeps a configuration out of force;
//! - a comparison lists every difference that daemons act on, and no other.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use serde::Serialize;
use serde_with::serde_as;

use super::{PublishedRoutes, RequestLimits, ServiceLimits};
use crate::ids::Version;
use crate::routes::{Destination, Repeatability, Route};
use crate::units::Micros;

/// Values of a valid configuration that contradict each other.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "finding")]
pub enum Concern {
    /// Idle connections are closed sooner than the head of a request has to be complete.
    IdleUnderHeadTime {
        /// Longest time for which a connection is idle.
        #[serde_as(as = "Micros")]
        idle: Duration,
        /// Longest time from the first byte of a head to its last.
        #[serde_as(as = "Micros")]
        head_time: Duration,
    },
    /// The longest body has no bytes.
    NoBody,
    /// A route's requests have no time to be answered.
    NoTimeout {
        /// Host of the route.
        host: String,
        /// Prefix of the route.
        prefix: String,
    },
    /// A route's requests end before an answer counts as late.
    TimeoutUnderObjective {
        /// Host of the route.
        host: String,
        /// Prefix of the route.
        prefix: String,
        /// Longest time from the arrival of a request to its answer.
        #[serde_as(as = "Micros")]
        timeout: Duration,
        /// Time within which an answer has its full value.
        #[serde_as(as = "Micros")]
        objective: Duration,
    },
}

impl fmt::Display for Concern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::IdleUnderHeadTime { idle, head_time } => write!(
                f,
                "limits: the idle limit of {} is under the head timeout of {}",
                seconds(*idle),
                seconds(*head_time)
            ),
            Self::NoBody => f.write_str("limits: the body limit is 0; no request may have a body"),
            Self::NoTimeout { host, prefix } => write!(
                f,
                "host {host}, prefix {prefix}: the timeout is 0; no request can be answered in time"
            ),
            Self::TimeoutUnderObjective {
                host,
                prefix,
                timeout,
                objective,
            } => write!(
                f,
                "host {host}, prefix {prefix}: the timeout of {} is under the latency objective of {}",
                seconds(*timeout),
                seconds(*objective)
            ),
        }
    }
}

/// Lists the concerns about a configuration: limits first, then routes by host and prefix.
pub fn review(published: &PublishedRoutes) -> Vec<Concern> {
    let limits = published.limits.iter().flat_map(limit_concerns);
    let routes = published.routes.iter();
    let routes = routes.filter_map(|(host, route)| time_concern(host, route));
    limits.chain(routes).collect()
}

fn limit_concerns(limits: &RequestLimits) -> impl Iterator<Item = Concern> {
    let RequestLimits {
        body,
        idle,
        head_time,
        ..
    } = *limits;
    let body = (body == 0).then_some(Concern::NoBody);
    let idle = (idle < head_time).then_some(Concern::IdleUnderHeadTime { idle, head_time });
    body.into_iter().chain(idle)
}

fn time_concern(host: &str, route: &Route) -> Option<Concern> {
    let Route {
        objective, timeout, ..
    } = *route;
    let (host, prefix) = (host.to_owned(), route.prefix.clone());
    if timeout.is_zero() {
        return Some(Concern::NoTimeout { host, prefix });
    }
    (timeout < objective).then_some(Concern::TimeoutUnderObjective {
        host,
        prefix,
        timeout,
        objective,
    })
}

/// The part of a configuration that differs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "subject")]
pub enum Subject {
    /// What callers may send.
    Limits,
    /// A route.
    Route {
        /// Host of the route.
        host: String,
        /// Prefix of the route.
        prefix: String,
    },
    /// A service.
    Service {
        /// Name of the service.
        service: String,
    },
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Limits => f.write_str("limits"),
            Self::Route { host, prefix } => write!(f, "host {host}, prefix {prefix}"),
            Self::Service { service } => write!(f, "service {service}"),
        }
    }
}

/// A value that differs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Field {
    /// Most targets that one request may be sent to.
    Attempts,
    /// Longest body of a request.
    Body,
    /// Time for which a target is cold after its start.
    ColdTime,
    /// Least time between two requests to a cold target.
    ColdInterval,
    /// Services that share the requests, with their weights.
    Destinations,
    /// Longest head of a request.
    Head,
    /// Longest time from the first byte of a head to its last.
    HeadTimeout,
    /// Longest time for which a connection is idle.
    Idle,
    /// Time within which an answer has its full value.
    Objective,
    /// Whether the protocol is one that daemons speak.
    Protocol,
    /// Rank among all routes.
    Rank,
    /// Whether requests may run more than once.
    Repeats,
    /// Longest time from the arrival of a request to its answer.
    Timeout,
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Attempts => "attempts",
            Self::Body => "body limit",
            Self::ColdTime => "cold time",
            Self::ColdInterval => "interval between requests to a cold target",
            Self::Destinations => "services",
            Self::Head => "head limit",
            Self::HeadTimeout => "head timeout",
            Self::Idle => "idle limit",
            Self::Objective => "latency objective",
            Self::Protocol => "protocol",
            Self::Rank => "priority",
            Self::Repeats => "repeats",
            Self::Timeout => "timeout",
        })
    }
}

/// A difference between two configurations.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "difference")]
pub enum RoutesDifference {
    /// Only the second configuration has this part.
    Added {
        /// The part.
        #[serde(flatten)]
        subject: Subject,
    },
    /// One value of a part differs.
    Changed {
        /// The part.
        #[serde(flatten)]
        subject: Subject,
        /// The value.
        field: Field,
        /// Text of the value in the first configuration.
        from: String,
        /// Text of the value in the second configuration.
        to: String,
    },
    /// The second configuration isn't newer than the first, so that daemons ignore it.
    NotNewer {
        /// Version of the first configuration.
        from: Version,
        /// Version of the second configuration.
        to: Version,
    },
    /// Only the first configuration has this part.
    Removed {
        /// The part.
        #[serde(flatten)]
        subject: Subject,
    },
}

impl RoutesDifference {
    /// Whether daemons that use the first configuration ignore the second.
    pub fn is_fault(&self) -> bool {
        match self {
            Self::NotNewer { .. } => true,
            Self::Added { .. } | Self::Changed { .. } | Self::Removed { .. } => false,
        }
    }
}

impl fmt::Display for RoutesDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { subject } => write!(f, "{subject}: added"),
            Self::Changed {
                subject,
                field,
                from,
                to,
            } => write!(f, "{subject}: {field}: {from} becomes {to}"),
            Self::NotNewer { from, to } => {
                write!(f, "{to} isn't newer than {from}; daemons ignore it")
            }
            Self::Removed { subject } => write!(f, "{subject}: removed"),
        }
    }
}

/// Lists the differences from `old` to `new`: version, limits, services, then routes. A service with a
/// known protocol and without limits is not part of a decoded configuration, so that adding or removing one is no
/// difference here.
pub fn compare(old: &PublishedRoutes, new: &PublishedRoutes) -> Vec<RoutesDifference> {
    let (from, to) = (old.version, new.version);
    let stale = (to <= from).then_some(RoutesDifference::NotNewer { from, to });
    stale
        .into_iter()
        .chain(compare_limits(old.limits.as_ref(), new.limits.as_ref()))
        .chain(compare_services(old, new))
        .chain(compare_routes(old, new))
        .collect()
}

fn compare_limits(
    old: Option<&RequestLimits>,
    new: Option<&RequestLimits>,
) -> Vec<RoutesDifference> {
    match (old, new) {
        (None, None) => Vec::new(),
        (None, Some(_)) => vec![RoutesDifference::Added {
            subject: Subject::Limits,
        }],
        (Some(_), None) => vec![RoutesDifference::Removed {
            subject: Subject::Limits,
        }],
        (Some(old), Some(new)) => changes(
            &Subject::Limits,
            [
                (Field::Body, bytes(old.body), bytes(new.body)),
                (Field::Head, bytes(old.head), bytes(new.head)),
                (
                    Field::HeadTimeout,
                    seconds(old.head_time),
                    seconds(new.head_time),
                ),
                (Field::Idle, seconds(old.idle), seconds(new.idle)),
            ],
        ),
    }
}

fn compare_services<'a>(
    old: &'a PublishedRoutes,
    new: &'a PublishedRoutes,
) -> Vec<RoutesDifference> {
    let names =
        |published: &'a PublishedRoutes| published.services.keys().chain(&published.unsupported);
    let names: BTreeSet<&String> = names(old).chain(names(new)).collect();
    let protocol = |published: &PublishedRoutes, name: &String| {
        let unknown = published.unsupported.contains(name);
        if unknown { "unknown" } else { "known" }.to_owned()
    };
    let text = |limits: Option<&ServiceLimits>, value: fn(&ServiceLimits) -> Duration| {
        limits.map_or("none".to_owned(), |limits| seconds(value(limits)))
    };
    let changed = names.into_iter().flat_map(|name| {
        let protocols = (protocol(old, name), protocol(new, name));
        let (old, new) = (old.services.get(name), new.services.get(name));
        let service = name.clone();
        changes(
            &Subject::Service { service },
            [
                (Field::Protocol, protocols.0, protocols.1),
                (
                    Field::ColdTime,
                    text(old, |limits| limits.cold),
                    text(new, |limits| limits.cold),
                ),
                (
                    Field::ColdInterval,
                    text(old, |limits| limits.cold_interval),
                    text(new, |limits| limits.cold_interval),
                ),
            ],
        )
    });
    changed.collect()
}

fn compare_routes(old: &PublishedRoutes, new: &PublishedRoutes) -> Vec<RoutesDifference> {
    let subject = |host: &str, route: &Route| Subject::Route {
        host: host.to_owned(),
        prefix: route.prefix.clone(),
    };
    let removed = old.routes.iter().filter_map(|(host, route)| {
        let kept = new.routes.get(host, &route.prefix).is_some();
        (!kept).then(|| RoutesDifference::Removed {
            subject: subject(host, route),
        })
    });
    let written = new.routes.iter().flat_map(|(host, route)| {
        let subject = subject(host, route);
        match old.routes.get(host, &route.prefix) {
            Some(old) => route_changes(&subject, old, route),
            None => vec![RoutesDifference::Added { subject }],
        }
    });
    removed.chain(written).collect()
}

fn route_changes(subject: &Subject, old: &Route, new: &Route) -> Vec<RoutesDifference> {
    changes(
        subject,
        [
            (
                Field::Attempts,
                old.attempts.to_string(),
                new.attempts.to_string(),
            ),
            (
                Field::Destinations,
                shares(&old.destinations),
                shares(&new.destinations),
            ),
            (
                Field::Objective,
                seconds(old.objective),
                seconds(new.objective),
            ),
            (Field::Rank, old.rank.to_string(), new.rank.to_string()),
            (Field::Repeats, repeats(old.repeats), repeats(new.repeats)),
            (Field::Timeout, seconds(old.timeout), seconds(new.timeout)),
        ],
    )
}

/// The values whose texts differ. The text of a duration is exact up to 100 days.
fn changes<const N: usize>(
    subject: &Subject,
    values: [(Field, String, String); N],
) -> Vec<RoutesDifference> {
    let values = values.into_iter().filter(|(_, from, to)| from != to);
    let changed = values.map(|(field, from, to)| RoutesDifference::Changed {
        subject: subject.clone(),
        field,
        from,
        to,
    });
    changed.collect()
}

fn bytes(number: usize) -> String {
    format!("{number} bytes")
}

fn repeats(repeats: Repeatability) -> String {
    match repeats {
        Repeatability::Idempotent => "allowed".to_owned(),
        Repeatability::NonIdempotent => "not allowed".to_owned(),
    }
}

fn seconds(duration: Duration) -> String {
    format!("{} s", duration.as_secs_f64())
}

fn shares(destinations: &[Destination]) -> String {
    let shares = destinations.iter();
    let shares = shares.map(|d| format!("{} (weight {})", d.service, d.weight));
    shares.collect::<Vec<_>>().join(", ")
}
