//! The route table, indexed by host and prefix.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::units::Micros;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Repeatability {
    /// Running the request several times has the same effect as running it once.
    Idempotent,
    /// The request must run at most once.
    NonIdempotent,
}

/// A service that gets requests of a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Destination {
    /// Name of the service, as in the entries of its targets.
    pub service: String,
    /// Share of the requests, relative to the other destinations of the route.
    pub weight: u32,
}

/// Settings of operators for requests under one prefix.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Most targets that one request may be sent to.
    pub attempts: usize,
    /// The services that share the route's requests; never empty.
    pub destinations: Vec<Destination>,
    /// Time within which an answer has its full value.
    #[serde_as(as = "Micros")]
    pub objective: Duration,
    /// Start of the paths that the route applies to; ends with a slash.
    pub prefix: String,
    /// Rank among all routes; 0 is the highest.
    pub rank: u8,
    /// Whether the route's requests may run more than once.
    pub repeats: Repeatability,
    /// Longest time from the arrival of a request to its answer.
    #[serde_as(as = "Micros")]
    pub timeout: Duration,
}

/// The routes of all hosts.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::routes::{Destination, Repeatability, Route, RouteTable};
///
/// let route = |prefix: &str| Route {
///     attempts: 2,
///     destinations: vec![Destination { service: "calendar".to_owned(), weight: 1 }],
///     objective: Duration::from_millis(500),
///     prefix: prefix.to_owned(),
///     rank: 1,
///     repeats: Repeatability::Idempotent,
///     timeout: Duration::from_secs(1),
/// };
/// let mut table = RouteTable::default();
/// table.insert("a.example", route("/x/"));
/// table.insert("a.example", route("/x/y/"));
/// assert_eq!(table.find("a.example", "/x/y/1?q=/").unwrap().prefix, "/x/y/");
/// assert_eq!(table.find("a.example", "/x/z").unwrap().prefix, "/x/");
/// assert!(table.find("a.example", "/xy").is_none());
/// assert!(table.find("b.example", "/x/").is_none());
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteTable {
    hosts: BTreeMap<String, BTreeMap<String, Rc<Route>>>,
}

impl RouteTable {
    /// Adds a route; a route with the same host and prefix is replaced.
    pub fn insert(&mut self, host: &str, route: Route) {
        let routes = self.hosts.entry(host.to_owned()).or_default();
        routes.insert(route.prefix.clone(), Rc::new(route));
    }

    /// Removes a route, if it is there.
    pub fn remove(&mut self, host: &str, prefix: &str) {
        let Some(routes) = self.hosts.get_mut(host) else {
            return;
        };
        routes.remove(prefix);
        if routes.is_empty() {
            self.hosts.remove(host);
        }
    }

    /// The route with exactly this host and prefix.
    pub fn get(&self, host: &str, prefix: &str) -> Option<&Route> {
        self.hosts.get(host)?.get(prefix).map(|route| &**route)
    }

    /// All routes with their hosts.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Route)> {
        let hosts = self.hosts.iter();
        hosts.flat_map(|(host, routes)| routes.values().map(move |r| (host.as_str(), &**r)))
    }

    /// The route of a request, by its host and path. As every prefix ends with a slash, only the parts
    /// of the path up to a slash are looked up, the longest first.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.hosts.get(host)?;
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let slashes = path.rmatch_indices('/').map(|(at, _)| at);
        slashes
            .map(|at| &path[..=at])
            .find_map(|prefix| routes.get(prefix))
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(BTreeMap::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Names of all destinations of all routes; a service with several routes occurs several times.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let routes = self.hosts.values().flat_map(BTreeMap::values);
        routes.flat_map(|r| r.destinations.iter().map(|d| d.service.as_str()))
    }
}
