//! The difference between two versions of the routes.
//!
//! Rules kept here:
//! - a difference applies only to the routes of the version that it was taken from;
//! - applied to them, it gives exactly the routes of the newer version.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{PublishedRoutes, RequestLimits, ServiceLimits};
use crate::ids::Version;
use crate::routes::Route;

/// What differs between the routes of two versions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteDelta {
    /// The version that the difference applies to.
    pub base: Version,
    /// What callers may send at the newer version.
    pub limits: Option<RequestLimits>,
    /// Host and prefix of each route that the newer version lacks.
    pub removed: Vec<(String, String)>,
    /// Limits by name of the service at the newer version.
    pub services: BTreeMap<String, ServiceLimits>,
    /// Services whose protocol isn't spoken, at the newer version.
    pub unsupported: BTreeSet<String>,
    /// Host and content of each route that is new or has changed.
    pub written: Vec<(String, Route)>,
    /// The version that results.
    pub version: Version,
}

impl RouteDelta {
    /// The difference that leads from `old` to `new`.
    ///
    /// ```
    /// use hawthornwall_core::catalog::{PublishedRoutes, RouteDelta};
    /// use hawthornwall_core::ids::Version;
    ///
    /// let routes = |version| PublishedRoutes { version, ..PublishedRoutes::default() };
    /// let delta = RouteDelta::between(&routes(Version(7)), &routes(Version(9)));
    /// assert_eq!(delta.weight(), 0);
    /// assert_eq!(delta.apply(&routes(Version(7))), Some(routes(Version(9))));
    /// assert_eq!(delta.apply(&routes(Version(8))), None);
    /// ```
    pub fn between(old: &PublishedRoutes, new: &PublishedRoutes) -> Self {
        let removed = old.routes.iter().filter_map(|(host, route)| {
            let kept = new.routes.get(host, &route.prefix).is_some();
            (!kept).then(|| (host.to_owned(), route.prefix.clone()))
        });
        let written = new.routes.iter().filter_map(|(host, route)| {
            let same = old.routes.get(host, &route.prefix) == Some(route);
            (!same).then(|| (host.to_owned(), route.clone()))
        });
        Self {
            base: old.version,
            limits: new.limits,
            removed: removed.collect(),
            services: new.services.clone(),
            unsupported: new.unsupported.clone(),
            written: written.collect(),
            version: new.version,
        }
    }

    /// Number of routes that differ.
    pub fn weight(&self) -> usize {
        self.removed.len() + self.written.len()
    }

    /// The routes of the newer version; `None` if `old` isn't of the version that the difference applies to.
    pub fn apply(&self, old: &PublishedRoutes) -> Option<PublishedRoutes> {
        if old.version != self.base {
            return None;
        }
        let mut routes = old.routes.clone();
        for (host, prefix) in &self.removed {
            routes.remove(host, prefix);
        }
        for (host, route) in &self.written {
            routes.insert(host, route.clone());
        }
        Some(PublishedRoutes {
            limits: self.limits,
            routes,
            services: self.services.clone(),
            unsupported: self.unsupported.clone(),
            version: self.version,
        })
    }
}
