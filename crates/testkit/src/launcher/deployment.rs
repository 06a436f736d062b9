//! Predefined deployments with their services, targets, slots and failure domains.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use hawthornwall_core::config::{Change, Document, Patch, Rules};
use hawthornwall_core::ids::Version;

/// A predefined deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    /// Booking system of sailing schools, with 11 targets in three failure domains.
    Faellesvaerftet,
    /// Supplier of paint kits for councils, with 12 targets in four failure domains.
    Ogun,
    /// Five targets in three failure domains, for tests of individual faults.
    Small,
}

impl Deployment {
    /// Name of the deployment on command lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Faellesvaerftet => "faellesvaerftet",
            Self::Ogun => "ogun",
            Self::Small => "small",
        }
    }

    /// Creates the plan of the deployment, with default rules.
    pub fn plan(self) -> Plan {
        let (domains, delay_us, slots, services): (&[&str], _, _, &[_]) = match self {
            Self::Faellesvaerftet => (
                &["dk-1", "dk-2", "dk-3"],
                1_500,
                10,
                &[("calendar", 5), ("enrolment", 3), ("certificate", 3)],
            ),
            Self::Ogun => (
                &["ng-1", "ng-2", "ng-3", "ng-4"],
                500,
                6,
                &[("shade-matching", 4), ("order", 4), ("lot-record", 4)],
            ),
            Self::Small => (
                &["dk-1", "dk-2", "dk-3"],
                1_500,
                10,
                &[("calendar", 3), ("enrolment", 2)],
            ),
        };
        let service = |(name, targets): &(&str, usize)| ServicePlan {
            name: (*name).to_owned(),
            targets: (0..*targets)
                .map(|n| TargetPlan::new(name, n, domains))
                .collect(),
        };
        Plan {
            delay_us,
            rules: Rules::default(),
            services: services.iter().map(service).collect(),
            slots,
        }
    }
}

impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let all = [Self::Faellesvaerftet, Self::Ogun, Self::Small];
        let found = all.into_iter().find(|d| d.name() == text);
        found.ok_or_else(|| format!("`{text}` is not faellesvaerftet, ogun or small"))
    }
}

/// Name and failure domain of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetPlan {
    /// Failure domain of the target.
    pub domain: String,
    /// Name of the target, which is also the name of its instance.
    pub name: String,
}

impl TargetPlan {
    fn new(service: &str, index: usize, domains: &[&str]) -> Self {
        Self {
            domain: domains[index % domains.len()].to_owned(),
            name: format!("{service}-{}", index + 1),
        }
    }
}

/// A service and its targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: String,
    /// Targets of the service.
    pub targets: Vec<TargetPlan>,
}

/// Services, targets and network delay of a deployment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// One-way network delay between failure domains, in microseconds.
    pub delay_us: u64,
    /// Rules applied to every service.
    pub rules: Rules,
    /// Services of the deployment; instances are numbered in this order.
    pub services: Vec<ServicePlan>,
    /// Number of slots of each target.
    pub slots: u32,
}

impl Plan {
    /// Creates a configuration document with one patch that creates all services and targets.
    pub fn document(&self) -> Document {
        let create = |service: &ServicePlan| Change::CreateService {
            name: service.name.clone(),
            hosts: BTreeSet::new(),
            rules: self.rules.clone(),
        };
        let mut changes: Vec<Change> = self.services.iter().map(create).collect();
        for service in &self.services {
            changes.extend(service.targets.iter().map(|target| Change::CreateTarget {
                name: target.name.clone(),
                service: service.name.clone(),
                domain: target.domain.clone(),
                slots: self.slots,
            }));
        }
        let patch = Patch {
            author: "launcher".to_owned(),
            base: Version(0),
            changes,
            note: "initial services and targets".to_owned(),
            time: String::new(),
        };
        Document {
            patches: vec![patch],
            ..Document::default()
        }
    }
}
