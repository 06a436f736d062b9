//! Patches: changes that an operator submits against a numbered version.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::Rules;
use crate::ids::Version;

/// Changes submitted together against the version `base`; either all of them take effect or none.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Name of the operator who submits the patch.
    pub author: String,
    /// The version that the patch was written against.
    pub base: Version,
    /// The changes, applied in order.
    pub changes: Vec<Change>,
    /// The operator's reason for the patch.
    #[serde(default)]
    pub note: String,
    /// Time of writing, RFC 3339. Only shown to operators; no rule depends on it.
    #[serde(default)]
    pub time: String,
}

impl Patch {
    /// Returns a digest of the patch that doesn't depend on its position in a document.
    pub fn fingerprint(&self) -> u64 {
        super::canonical::chain_digest(0, self)
    }
}

/// New values for some of the [`Rules`] of a service; `None` keeps the current value.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RulesChange {
    /// Time limit of requests without a deadline of their own.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(
        default,
        rename = "deadline_ms",
        skip_serializing_if = "Option::is_none"
    )]
    pub deadline: Option<Duration>,
    /// Whether idempotent requests may be hedged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hedge: Option<bool>,
    /// Longest wait for a slot.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(
        default,
        rename = "queue_wait_ms",
        skip_serializing_if = "Option::is_none"
    )]
    pub queue_wait: Option<Duration>,
    /// Retries and hedged requests for each 100 requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_percent: Option<u32>,
}

/// One change of the configuration. Services and targets are referred to by name, not by id.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "change")]
pub enum Change {
    /// Adds a service without targets.
    CreateService {
        /// Name of the service.
        name: String,
        /// Host names that select the service, besides its own name.
        #[serde(default)]
        hosts: BTreeSet<String>,
        /// Rules for the service's requests.
        #[serde(default)]
        rules: Rules,
    },
    /// Adds a target to a service.
    CreateTarget {
        /// Name of the target.
        name: String,
        /// Name of the service that the target belongs to.
        service: String,
        /// Failure domain of the target.
        domain: String,
        /// Number of requests that the target may run at once.
        slots: u32,
    },
    /// Removes a service that has no targets.
    RemoveService {
        /// Name of the service.
        name: String,
    },
    /// Removes a target; its id is not reused.
    RemoveTarget {
        /// Name of the target.
        name: String,
    },
    /// Changes the hosts or rules of a service.
    UpdateService {
        /// Name of the service.
        name: String,
        /// The new host names, which replace all earlier ones; `None` keeps them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        hosts: Option<BTreeSet<String>>,
        /// The changed rules.
        #[serde(default)]
        rules: RulesChange,
    },
    /// Changes the failure domain or slots of a target.
    UpdateTarget {
        /// Name of the target.
        name: String,
        /// The new failure domain; `None` keeps the current one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        domain: Option<String>,
        /// The new number of slots; `None` keeps the current one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        slots: Option<u32>,
    },
}

/// Why a patch is not accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PatchFault {
    /// The patch is based on another version than the one that it follows.
    Base {
        /// The version that the patch is based on.
        named: Version,
        /// The version of the configuration that the patch was applied to.
        reached: Version,
    },
    /// The patch contains no changes.
    Empty,
    /// A new name or host name is already in use.
    Exists {
        /// Position of the change in the patch, from 0.
        change: usize,
        /// The name that the change contains.
        name: String,
    },
    /// A service that has targets can't be removed.
    InUse {
        /// Position of the change in the patch, from 0.
        change: usize,
        /// Name of the service.
        name: String,
        /// Number of targets of the service.
        targets: usize,
    },
    /// No service or target has this name.
    Missing {
        /// Position of the change in the patch, from 0.
        change: usize,
        /// The name that the change contains.
        name: String,
    },
    /// A text or list is too long.
    Size {
        /// Name of the text or list.
        field: String,
        /// Length of the text or list, in bytes for a text and in elements for a list.
        found: usize,
        /// Greatest accepted length, in the same unit.
        limit: usize,
    },
    /// A value is out of its range.
    Value {
        /// Position of the change in the patch, from 0.
        change: usize,
        /// Name of the field.
        field: String,
        /// The value as text, shortened if it is long; `empty` stands for an empty text.
        found: String,
        /// The accepted range or characters.
        accepted: String,
    },
}

impl fmt::Display for PatchFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Base { named, reached } => {
                write!(
                    f,
                    "the patch is based on {named}, but the current version is {reached}"
                )
            }
            Self::Empty => f.write_str("the patch holds no change"),
            Self::Exists { change, name } => write!(f, "change {change}: {name} already exists"),
            Self::InUse {
                change,
                name,
                targets,
            } => {
                write!(
                    f,
                    "change {change}: service {name} still has {targets} targets"
                )
            }
            Self::Missing { change, name } => write!(f, "change {change}: {name} doesn't exist"),
            Self::Size {
                field,
                found,
                limit,
            } => write!(f, "{field} has length {found}, the limit is {limit}"),
            Self::Value {
                change,
                field,
                found,
                accepted,
            } => {
                write!(f, "change {change}: {field} is {found}; must be {accepted}")
            }
        }
    }
}
