//! Patches: what an operator submits against a numbered version.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::Rules;
use crate::ids::Version;

/// One submission of changes against `base`; all of them take effect or none.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Who submits it.
    pub author: String,
    /// The version that the operator looked at.
    pub base: Version,
    /// The changes, applied in order.
    pub changes: Vec<Change>,
    /// Why, in the operator's words.
    #[serde(default)]
    pub note: String,
    /// When it was written, RFC 3339. For people only; no rule reads it.
    #[serde(default)]
    pub time: String,
}

impl Patch {
    /// A digest that tells this patch from others, wherever it stands in a document.
    pub fn fingerprint(&self) -> u64 {
        super::canonical::chain_digest(0, self)
    }
}

/// New values for some of a service's sharing rules.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RulesChange {
    /// New default deadline.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(
        default,
        rename = "deadline_ms",
        skip_serializing_if = "Option::is_none"
    )]
    pub deadline: Option<Duration>,
    /// New hedging rule.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hedge: Option<bool>,
    /// New longest wait for a slot.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(
        default,
        rename = "queue_wait_ms",
        skip_serializing_if = "Option::is_none"
    )]
    pub queue_wait: Option<Duration>,
    /// New share of retries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_percent: Option<u32>,
}

/// One change of the configuration. Services and targets are named, not numbered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "change")]
pub enum Change {
    /// Adds a service without targets.
    CreateService {
        /// Its name.
        name: String,
        /// Host names that select it.
        #[serde(default)]
        hosts: BTreeSet<String>,
        /// Its sharing rules.
        #[serde(default)]
        rules: Rules,
    },
    /// Adds a target to a service.
    CreateTarget {
        /// Its name.
        name: String,
        /// The service's name.
        service: String,
        /// Its failure domain.
        domain: String,
        /// Requests that it may run at once.
        slots: u32,
    },
    /// Removes a service that has no targets.
    RemoveService {
        /// Its name.
        name: String,
    },
    /// Removes a target.
    RemoveTarget {
        /// Its name.
        name: String,
    },
    /// Changes the hosts or rules of a service.
    UpdateService {
        /// Its name.
        name: String,
        /// The whole new set of host names.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        hosts: Option<BTreeSet<String>>,
        /// The rules that change.
        #[serde(default)]
        rules: RulesChange,
    },
    /// Changes the failure domain or slots of a target.
    UpdateTarget {
        /// Its name.
        name: String,
        /// The new failure domain.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        domain: Option<String>,
        /// The new number of slots.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        slots: Option<u32>,
    },
}

/// Why a patch can't be accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PatchFault {
    /// The patch was written against another version.
    Base {
        /// The version named by the patch.
        named: Version,
        /// The version reached.
        reached: Version,
    },
    /// The patch holds no change.
    Empty,
    /// A name stands for two things.
    Exists {
        /// Position of the change in the patch, from 0.
        change: usize,
        /// The name.
        name: String,
    },
    /// A service that has targets can't be removed.
    InUse {
        /// Position of the change in the patch, from 0.
        change: usize,
        /// The service's name.
        name: String,
        /// How many targets it has.
        targets: usize,
    },
    /// A name refers to nothing.
    Missing {
        /// Position of the change in the patch, from 0.
        change: usize,
        /// The name.
        name: String,
    },
    /// A text or list is too long.
    Size {
        /// What is too long.
        field: String,
        /// Its length, in bytes or elements.
        found: usize,
        /// The longest that is accepted.
        limit: usize,
    },
    /// A value is out of its range.
    Value {
        /// Position of the change in the patch, from 0.
        change: usize,
        /// The field.
        field: String,
        /// What was found.
        found: String,
        /// What is accepted.
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
            Self::Exists { change, name } => write!(f, "change {change}: {name} exists already"),
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
                write!(
                    f,
                    "change {change}: {field} is {found}, accepted is {accepted}"
                )
            }
        }
    }
}
