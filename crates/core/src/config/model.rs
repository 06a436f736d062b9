//! The configuration as plain data, with lookups.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::ids::{ServiceId, TargetId, Version};

/// Rules for the requests of one service: time limits, hedges and retries.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Time limit of requests without a deadline of their own.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// Whether an idempotent request may be hedged: sent to a second target while the first is
    /// late.
    pub hedge: bool,
    /// Longest wait for a slot. A request that would wait longer is refused at once.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "queue_wait_ms")]
    pub queue_wait: Duration,
    /// Retries and hedged requests allowed for each 100 requests.
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
    /// Host names that select the service, besides its own name.
    #[serde(default)]
    pub hosts: BTreeSet<String>,
    /// Unique name, used in patches and logs. It also selects the service as a host name or as the
    /// first path segment.
    pub name: String,
    /// Rules for the service's requests.
    #[serde(default)]
    pub rules: Rules,
}

/// A server that answers requests of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target's failure domain.
    pub domain: String,
    /// Unique name, used in patches, logs and the instance list.
    pub name: String,
    /// Id of the service that the target belongs to.
    pub service: ServiceId,
    /// Number of requests that the target may run at once.
    pub slots: u32,
}

/// All services and targets, at one version.
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
    /// Digest chained over all patches, so that a version has different digests in different
    /// histories.
    #[serde(with = "crate::digest::hex")]
    pub digest: u64,
    /// Id of the next service to be created; ids are never reused.
    pub next_service: ServiceId,
    /// Id of the next target to be created; ids are never reused.
    pub next_target: TargetId,
    /// Services by id.
    pub services: BTreeMap<ServiceId, Service>,
    /// Targets by id.
    pub targets: BTreeMap<TargetId, Target>,
    /// Number of patches accepted since the empty configuration, which is version 0.
    pub version: Version,
}

impl Configuration {
    /// Returns the id of the service with this name.
    pub fn service_id_by_name(&self, name: &str) -> Option<ServiceId> {
        self.services
            .iter()
            .find(|(_, s)| s.name == name)
            .map(|(id, _)| *id)
    }

    /// Returns the id of the target with this name.
    pub fn target_id_by_name(&self, name: &str) -> Option<TargetId> {
        self.targets
            .iter()
            .find(|(_, t)| t.name == name)
            .map(|(id, _)| *id)
    }

    /// Selects the service of a request by its host name, or else by its first path segment.
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

    /// Returns the targets of one service, in the order of their ids.
    pub fn targets_of(&self, service: ServiceId) -> impl Iterator<Item = (TargetId, &Target)> {
        let all = self.targets.iter().map(|(id, t)| (*id, t));
        all.filter(move |(_, t)| t.service == service)
    }
}
