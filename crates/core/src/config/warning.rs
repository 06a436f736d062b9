//! Warnings about valid changes that may be unintended.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;

use super::{Configuration, Document, Service};
use crate::ids::{ServiceId, Version};

/// A consequence of a valid change that may be unintended; shown before the change is published.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "warning")]
pub enum Warning {
    /// A service loses more than half of its slots.
    Capacity {
        /// Name of the service.
        service: String,
        /// Sum of the slots of the service's targets before the change.
        from: u64,
        /// Sum of the slots of the service's targets after the change.
        to: u64,
    },
    /// The last target of a service is removed.
    LastTarget {
        /// Name of the service.
        service: String,
    },
    /// A new service has no targets.
    NoTarget {
        /// Name of the service.
        service: String,
    },
    /// All targets of a service now share a failure domain.
    OneDomain {
        /// Name of the service.
        service: String,
        /// Name of the failure domain.
        domain: String,
    },
    /// A service is left with one target.
    OneTarget {
        /// Name of the service.
        service: String,
    },
    /// Both documents contain this version, but with different digests.
    OtherHistory {
        /// The version reached by the first document.
        version: Version,
    },
    /// The second document reaches an older version than the first.
    Older {
        /// The version reached by the first document.
        from: Version,
        /// The version reached by the second document.
        to: Version,
    },
    /// The longest wait for a slot is at least the default deadline of requests.
    QueueWait {
        /// Name of the service.
        service: String,
    },
    /// A service is removed together with its targets.
    ServiceInUse {
        /// Name of the service.
        service: String,
        /// Number of the service's targets before the change.
        targets: usize,
    },
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Capacity { service, from, to } => write!(
                f,
                "this reduces the slots of service {service} by more than half, from {from} to {to}"
            ),
            Self::LastTarget { service } => write!(
                f,
                "this removes the last target of service {service}; all its requests are refused"
            ),
            Self::NoTarget { service } => write!(
                f,
                "service {service} has no targets yet; its requests are refused until one is added"
            ),
            Self::OneDomain { service, domain } => write!(
                f,
                "this leaves all targets of service {service} in failure domain {domain}; the service \
                 is unavailable if that domain fails"
            ),
            Self::OneTarget { service } => write!(
                f,
                "this leaves service {service} with one target; the service is unavailable if that \
                 target fails"
            ),
            Self::OtherHistory { version } => write!(
                f,
                "{version} differs between the two documents; daemons that have {version} of the first \
                 in force don't adopt the second"
            ),
            Self::Older { from, to } => write!(
                f,
                "the second document is older, {to} after {from}; daemons never return to an older \
                 version"
            ),
            Self::ServiceInUse { service, targets } => write!(
                f,
                "this removes service {service} and all its targets ({targets})"
            ),
            Self::QueueWait { service } => write!(
                f,
                "requests of service {service} may spend their whole time limit waiting for a slot"
            ),
        }
    }
}

/// Totals over the targets of one service.
struct TargetSummary {
    domains: BTreeSet<String>,
    slots: u64,
    targets: usize,
}

impl Document {
    /// Returns why daemons that have the configuration of this document in force reject `next`.
    ///
    /// `None` if they adopt it, and also if the checkpoint of `next` is above that version, since
    /// the histories can't be compared then.
    pub fn history_warning(&self, next: &Self) -> Option<Warning> {
        let (from, to) = (self.replay().configuration, next.replay().configuration);
        if to.version < from.version {
            let (from, to) = (from.version, to.version);
            return Some(Warning::Older { from, to });
        }
        let version = from.version;
        let same = next.at(version).is_none_or(|at| at.digest == from.digest);
        (!same).then_some(Warning::OtherHistory { version })
    }
}

impl Configuration {
    /// Returns the warnings for the change from `self` to `next`. Conditions that already hold in
    /// `self` are left out.
    pub fn warnings(&self, next: &Self) -> Vec<Warning> {
        let mut warnings = Vec::new();
        for (id, service) in &self.services {
            let (service, targets) = (service.name.clone(), self.targets_of(*id).count());
            if targets > 0 && next.service_id_by_name(&service).is_none() {
                warnings.push(Warning::ServiceInUse { service, targets });
            }
        }
        for (id, service) in &next.services {
            let before = self.service_id_by_name(&service.name);
            self.warn_targets((before, *id), &service.name, next, &mut warnings);
            let old = before.and_then(|id| self.services.get(&id));
            if queue_wait_exhausts_deadline(service)
                && !old.is_some_and(queue_wait_exhausts_deadline)
            {
                let service = service.name.clone();
                warnings.push(Warning::QueueWait { service });
            }
        }
        warnings
    }

    fn warn_targets(
        &self,
        (before, after): (Option<ServiceId>, ServiceId),
        name: &str,
        next: &Self,
        warnings: &mut Vec<Warning>,
    ) {
        let service = name.to_owned();
        let new = next.summary(after);
        let Some(old) = before.map(|id| self.summary(id)) else {
            match new.targets {
                0 => warnings.push(Warning::NoTarget { service }),
                1 => warnings.push(Warning::OneTarget { service }),
                _ => warnings.extend(one_domain(&new, service)),
            }
            return;
        };
        if old.targets > 0 && new.targets == 0 {
            return warnings.push(Warning::LastTarget { service });
        }
        if new.slots * 2 < old.slots {
            let (from, to, service) = (old.slots, new.slots, service.clone());
            warnings.push(Warning::Capacity { service, from, to });
        }
        if old.targets != 1 && new.targets == 1 {
            warnings.push(Warning::OneTarget { service });
        } else if old.domains.len() > 1 {
            warnings.extend(one_domain(&new, service));
        }
    }

    fn summary(&self, service: ServiceId) -> TargetSummary {
        let targets = self.targets_of(service);
        let mut summary = TargetSummary {
            domains: BTreeSet::new(),
            slots: 0,
            targets: 0,
        };
        for (_, target) in targets {
            summary.domains.insert(target.domain.clone());
            summary.slots += u64::from(target.slots);
            summary.targets += 1;
        }
        summary
    }
}

fn one_domain(summary: &TargetSummary, service: String) -> Option<Warning> {
    let several = summary.targets > 1 && summary.domains.len() == 1;
    let domain = summary.domains.first().filter(|_| several)?.clone();
    Some(Warning::OneDomain { service, domain })
}

fn queue_wait_exhausts_deadline(service: &Service) -> bool {
    service.rules.queue_wait >= service.rules.deadline
}
