//! Differences between two configurations, described for operators.
//!
//! Services and targets are matched by name, so that documents with different histories can be
//! compared. A target that was removed and created again under the same name has a new id and is
//! reported as replaced.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;

use super::fields::{service_fields, target_fields};
use super::{Configuration, Field, Rules, Service, Target};

/// The values of a field before and after a change, as text.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Values {
    /// The value before the change.
    pub from: String,
    /// The value after the change.
    pub to: String,
}

/// One difference between two configurations.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "difference")]
pub enum Difference {
    /// The service exists only in the second configuration.
    ServiceAdded {
        /// Name of the service.
        name: String,
        /// Host names that select the service, besides its own name.
        hosts: BTreeSet<String>,
        /// Rules for the service's requests.
        rules: Rules,
    },
    /// One field of a service differs.
    ServiceChanged {
        /// Name of the service.
        name: String,
        /// The field that differs.
        field: Field,
        /// Both values of the field.
        values: Values,
    },
    /// The service exists only in the first configuration.
    ServiceRemoved {
        /// Name of the service.
        name: String,
    },
    /// The target exists only in the second configuration.
    TargetAdded {
        /// Name of the target.
        name: String,
        /// Name of the service that the target belongs to.
        service: String,
        /// Failure domain of the target.
        domain: String,
        /// Number of requests that the target may run at once.
        slots: u32,
    },
    /// One field of a target differs.
    TargetChanged {
        /// Name of the target.
        name: String,
        /// The field that differs.
        field: Field,
        /// Both values of the field.
        values: Values,
    },
    /// The target exists only in the first configuration.
    TargetRemoved {
        /// Name of the target.
        name: String,
        /// Name of the service that the target belongs to.
        service: String,
    },
    /// A target was removed and created again under the same name.
    TargetReplaced {
        /// Name of the target.
        name: String,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ServiceAdded { name, hosts, .. } => {
                write!(f, "service {name} is created; requests for the host {name}")?;
                hosts.iter().try_for_each(|host| write!(f, ", {host}"))?;
                write!(f, " or the path /{name} go to its targets")
            }
            Self::ServiceChanged {
                name,
                field,
                values,
            } => write!(
                f,
                "service {name}: {field}: {} becomes {}",
                values.from, values.to
            ),
            Self::ServiceRemoved { name } => write!(
                f,
                "service {name} is removed; requests for it are refused as unknown-service"
            ),
            Self::TargetAdded {
                name,
                service,
                domain,
                slots,
            } => write!(
                f,
                "target {name} joins service {service} in failure domain {domain} and runs up to \
                 {slots} requests at once"
            ),
            Self::TargetChanged {
                name,
                field,
                values,
            } => write!(
                f,
                "target {name}: {field}: {} becomes {}",
                values.from, values.to
            ),
            Self::TargetRemoved { name, service } => write!(
                f,
                "target {name} is removed from service {service}; it completes its running requests and \
                 receives no new ones"
            ),
            Self::TargetReplaced { name } => write!(
                f,
                "target {name} is removed and created again; keys issued by the old target are no longer \
                 valid"
            ),
        }
    }
}

impl Configuration {
    /// Returns the differences from `self` to `next`: services first, then targets, each ordered by
    /// name.
    ///
    /// ```
    /// use hawthornwall_core::config::{Change, Configuration, Patch};
    ///
    /// let change = Change::CreateService {
    ///     name: "calendar".to_owned(),
    ///     hosts: Default::default(),
    ///     rules: Default::default(),
    /// };
    /// let patch = Patch {
    ///     author: "trainee".to_owned(),
    ///     base: Default::default(),
    ///     changes: vec![change],
    ///     note: String::new(),
    ///     time: String::new(),
    /// };
    /// let before = Configuration::default();
    /// let after = before.replay(&patch).expect("the patch is valid");
    /// let texts: Vec<_> = before.differences(&after).iter().map(ToString::to_string).collect();
    /// assert_eq!(texts, ["service calendar is created; requests for the host calendar or the path \
    ///     /calendar go to its targets"]);
    /// ```
    pub fn differences(&self, next: &Self) -> Vec<Difference> {
        let mut differences = Vec::new();
        for name in names(self.services.values().chain(next.services.values()), |s| {
            &s.name
        }) {
            service_differences(
                name,
                (self.service_by_name(name), next.service_by_name(name)),
                &mut differences,
            );
        }
        for name in names(self.targets.values().chain(next.targets.values()), |t| {
            &t.name
        }) {
            self.target_differences(name, next, &mut differences);
        }
        differences
    }

    /// Returns the service with this name.
    pub fn service_by_name(&self, name: &str) -> Option<&Service> {
        self.services.values().find(|s| s.name == name)
    }

    /// Returns the target with this name.
    pub fn target_by_name(&self, name: &str) -> Option<&Target> {
        self.targets.values().find(|t| t.name == name)
    }

    /// Returns the name of the service that a target belongs to, empty if the service doesn't
    /// exist.
    pub fn service_name(&self, target: &Target) -> &str {
        let service = self.services.get(&target.service);
        service.map_or("", |service| &service.name)
    }

    fn target_differences(&self, name: &str, next: &Self, differences: &mut Vec<Difference>) {
        match (self.target_by_name(name), next.target_by_name(name)) {
            (Some(old), Some(new)) => {
                if self.target_id_by_name(name) != next.target_id_by_name(name) {
                    let name = name.to_owned();
                    differences.push(Difference::TargetReplaced { name });
                }
                let services = (self.service_name(old), next.service_name(new));
                let fields = target_fields(old, services.0).into_iter();
                for ((field, from), (_, to)) in fields.zip(target_fields(new, services.1)) {
                    if from != to {
                        differences.push(Difference::TargetChanged {
                            name: name.to_owned(),
                            field,
                            values: Values { from, to },
                        });
                    }
                }
            }
            (Some(old), None) => differences.push(Difference::TargetRemoved {
                name: name.to_owned(),
                service: self.service_name(old).to_owned(),
            }),
            (None, Some(new)) => differences.push(Difference::TargetAdded {
                name: name.to_owned(),
                service: next.service_name(new).to_owned(),
                domain: new.domain.clone(),
                slots: new.slots,
            }),
            (None, None) => {}
        }
    }
}

fn names<'a, T: 'a>(
    all: impl Iterator<Item = &'a T>,
    name: impl Fn(&'a T) -> &'a String,
) -> BTreeSet<&'a str> {
    all.map(|item| name(item).as_str()).collect()
}

fn service_differences(
    name: &str,
    pair: (Option<&Service>, Option<&Service>),
    differences: &mut Vec<Difference>,
) {
    let name = name.to_owned();
    match pair {
        (Some(old), Some(new)) => {
            let pairs = service_fields(old).into_iter().zip(service_fields(new));
            let changed = pairs.filter(|((_, from), (_, to))| from != to);
            differences.extend(changed.map(|((field, from), (_, to))| {
                Difference::ServiceChanged {
                    name: name.clone(),
                    field,
                    values: Values { from, to },
                }
            }));
        }
        (Some(_), None) => differences.push(Difference::ServiceRemoved { name }),
        (None, Some(new)) => differences.push(Difference::ServiceAdded {
            name,
            hosts: new.hosts.clone(),
            rules: new.rules.clone(),
        }),
        (None, None) => {}
    }
}
