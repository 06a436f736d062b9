//! The configuration as plain data with look-ups and a verifier.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::ids::{ServiceId, TargetId, Version};

/// Sharing rules of one service.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Time that a request has when its caller names no deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// Whether idempotent requests may be sent to a second target while the first is late.
    pub hedge: bool,
    /// Longest wait for a slot; a request that would wait longer is refused at once.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "queue_wait_ms")]
    pub queue_wait: Duration,
    /// Retries and hedges allowed for each hundred requests.
    #[serde(rename = "retry_percent")]
    pub retry_percent: u32,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            deadline: Duration::from_secs(2),
            hedge: true,
            queue_wait: Duration::from_millis(100),
            retry_percent: 10,
        }
    }
}

/// A group of targets that answer the same requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Host names that select the service; its own name always does.
    #[serde(default)]
    pub hosts: BTreeSet<String>,
    /// The name in patches, logs and the first path segment.
    pub name: String,
    /// How its load is shared.
    #[serde(default)]
    pub rules: Rules,
}

/// One place where requests of a service are answered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of its failure domain.
    pub domain: String,
    /// The name in patches, logs and the instance list.
    pub name: String,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Requests that it may run at once.
    pub slots: u32,
}

/// Everything that operators decide, at one version.
///
/// ```
/// use hawthornwall_core::config::{Change, Configuration, Patch};
/// use hawthornwall_core::ids::Version;
///
/// let patch = Patch {
///     base: Version(0),
///     author: "trainee".to_owned(),
///     note: "first service".to_owned(),
///     time: "2026-01-05T08:00:00Z".to_owned(),
///     changes: vec![Change::CreateService {
///         name: "calendar".to_owned(),
///         hosts: Default::default(),
///         rules: Default::default(),
///     }],
/// };
/// let next = Configuration::default().replay(&patch).expect("the patch is valid");
/// assert_eq!(next.version, Version(1));
/// assert!(next.service_id_by_name("calendar").is_some());
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Chained over all patches; two histories of one version differ in it.
    #[serde(with = "crate::digest::hex")]
    pub digest: u64,
    /// The id that the next created service gets.
    pub next_service: ServiceId,
    /// The id that the next created target gets.
    pub next_target: TargetId,
    /// All services.
    pub services: BTreeMap<ServiceId, Service>,
    /// All targets.
    pub targets: BTreeMap<TargetId, Target>,
    /// Number of patches accepted since the empty configuration.
    pub version: Version,
}

impl Configuration {
    /// The service with this name.
    pub fn service_id_by_name(&self, name: &str) -> Option<ServiceId> {
        self.services
            .iter()
            .find(|(_, s)| s.name == name)
            .map(|(id, _)| *id)
    }

    /// The target with this name.
    pub fn target_id_by_name(&self, name: &str) -> Option<TargetId> {
        self.targets
            .iter()
            .find(|(_, t)| t.name == name)
            .map(|(id, _)| *id)
    }

    /// The service that a request is for, by its host name or else its first path segment.
    pub fn route(&self, host: &str, path: &str) -> Option<ServiceId> {
        let by_host = |s: &Service| s.name == host || s.hosts.contains(host);
        let found = self
            .services
            .iter()
            .find(|(_, s)| by_host(s))
            .map(|(id, _)| *id);
        found.or_else(|| {
            let segment = path.trim_start_matches('/').split(['/', '?']).next()?;
            self.service_id_by_name(segment)
        })
    }

    /// The targets of one service, in the order of their ids.
    pub fn targets_of(&self, service: ServiceId) -> impl Iterator<Item = (TargetId, &Target)> {
        let all = self.targets.iter().map(|(id, t)| (*id, t));
        all.filter(move |(_, t)| t.service == service)
    }
}
