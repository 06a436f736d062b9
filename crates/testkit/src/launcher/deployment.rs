//! The users' deployments: which services, targets, slots and failure domains they have.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use hawthornwall_core::config::{Change, Document, Patch, Rules};
use hawthornwall_core::ids::Version;

/// Deployments that run today.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    /// Bookings of sailing schools.
    Faellesvaerftet,
    /// Paint kits for councils.
    Ogun,
    /// Five instances, for tests of single faults.
    Small,
}

impl Deployment {
    /// The name on command lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Faellesvaerftet => "faellesvaerftet",
            Self::Ogun => "ogun",
            Self::Small => "small",
        }
    }

    /// Services with their targets.
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

/// One target and its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetPlan {
    /// Its failure domain.
    pub domain: String,
    /// Its name.
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

/// One service and its targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServicePlan {
    /// Its name.
    pub name: String,
    /// Its targets.
    pub targets: Vec<TargetPlan>,
}

/// What a deployment consists of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// One-way network delay between two failure domains, in microseconds.
    pub delay_us: u64,
    /// Sharing rules of every service.
    pub rules: Rules,
    /// All services.
    pub services: Vec<ServicePlan>,
    /// Slots of each target.
    pub slots: u32,
}

impl Plan {
    /// The configuration document with one patch that creates everything.
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
