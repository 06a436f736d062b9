//! Distribution of the requests of a route by weight.

use std::collections::BTreeMap;

use super::Route;

/// Smooth weighted round robin for each split route.
///
/// A random choice would deviate from the weights by several percent over a few hundred requests.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::routes::{Destination, Repeatability, Route, Splitter};
///
/// let part = |service: &str, weight| Destination { service: service.to_owned(), weight };
/// let route = Route {
///     attempts: 1,
///     destinations: vec![part("old", 3), part("new", 1)],
///     objective: Duration::from_secs(1),
///     prefix: "/".to_owned(),
///     rank: 0,
///     repeats: Repeatability::Idempotent,
///     timeout: Duration::from_secs(1),
/// };
/// let mut splitter = Splitter::default();
/// let picked: Vec<_> = (0..4).map(|_| splitter.pick("a.example", &route).to_owned()).collect();
/// assert_eq!(picked, ["old", "old", "new", "old"]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    /// Credit of each destination by host and prefix, in the order of the route's destinations.
    credits: BTreeMap<(String, String), Vec<i64>>,
}

impl Splitter {
    /// The service that the next request of the route goes to.
    pub fn pick<'r>(&mut self, host: &str, route: &'r Route) -> &'r str {
        let parts = &route.destinations;
        if let [only] = &parts[..] {
            return &only.service;
        }
        let key = (host.to_owned(), route.prefix.clone());
        let credits = self.credits.entry(key).or_default();
        if credits.len() != parts.len() {
            *credits = vec![0; parts.len()];
        }
        let mut best = 0;
        for (index, part) in parts.iter().enumerate() {
            credits[index] += i64::from(part.weight);
            if credits[index] > credits[best] {
                best = index;
            }
        }
        credits[best] -= parts.iter().map(|p| i64::from(p.weight)).sum::<i64>();
        &parts[best].service
    }

    /// Clears all credits, which is needed after a change of the routes.
    pub fn reset(&mut self) {
        self.credits.clear();
    }
}
