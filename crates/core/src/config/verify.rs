//! The verifier of a configuration, independent of the code that applies patches.

use std::collections::BTreeSet;

use super::check::{Check, SERVICE_LIMIT, TARGET_LIMIT, check_size};
use super::{Configuration, PatchFault, RulesChange};
use crate::ids::Version;

impl Configuration {
    /// Returns the broken invariants, none for a configuration that was reached by replaying
    /// patches.
    ///
    /// ```
    /// use hawthornwall_core::config::Configuration;
    ///
    /// let faulty = Configuration { digest: 7, ..Configuration::default() };
    /// assert_eq!(faulty.verify(), ["v0 is not the empty configuration"]);
    /// ```
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self.version == Version(0) && *self != Self::default() {
            faults.push("v0 is not the empty configuration".to_owned());
        }
        self.verify_sizes(&mut faults);
        self.verify_services(&mut faults);
        self.verify_targets(&mut faults);
        faults
    }

    fn verify_sizes(&self, faults: &mut Vec<String>) {
        let mut found = Vec::new();
        check_size("services", self.services.len(), SERVICE_LIMIT, &mut found);
        check_size("targets", self.targets.len(), TARGET_LIMIT, &mut found);
        faults.extend(found.iter().map(PatchFault::to_string));
    }

    fn verify_services(&self, faults: &mut Vec<String>) {
        let mut names = BTreeSet::new();
        for (id, service) in &self.services {
            if *id >= self.next_service {
                let next = self.next_service;
                faults.push(format!("{id} is not below next_service {next}"));
            }
            let others = service.hosts.iter().filter(|h| **h != service.name);
            for name in others.chain([&service.name]) {
                if !names.insert(name) {
                    faults.push(format!("{name} selects two services"));
                }
            }
            faults.extend(value_faults(&id.to_string(), |check| {
                check.name("name", &service.name);
                check.hosts(&service.hosts);
                check.rules(&RulesChange::from(&service.rules));
            }));
        }
    }

    fn verify_targets(&self, faults: &mut Vec<String>) {
        let mut names = BTreeSet::new();
        for (id, target) in &self.targets {
            if *id >= self.next_target {
                let next = self.next_target;
                faults.push(format!("{id} is not below next_target {next}"));
            }
            if !names.insert(&target.name) {
                faults.push(format!("target name {} is used twice", target.name));
            }
            if !self.services.contains_key(&target.service) {
                faults.push(format!(
                    "{id} belongs to {}, which doesn't exist",
                    target.service
                ));
            }
            faults.extend(value_faults(&id.to_string(), |check| {
                check.name("name", &target.name);
                check.name("domain", &target.domain);
                check.slots(target.slots);
            }));
        }
    }
}

/// Runs checks on the values of one service or target and prefixes each fault with its `id`.
fn value_faults(id: &str, checks: impl Fn(&mut Check<'_>)) -> Vec<String> {
    let mut found = Vec::new();
    checks(&mut Check {
        faults: &mut found,
        index: 0,
    });
    let name = |fault| match fault {
        PatchFault::Value {
            field,
            found,
            accepted,
            ..
        } => format!("{id}: {field} is {found}; must be {accepted}"),
        PatchFault::Size { .. }
        | PatchFault::Base { .. }
        | PatchFault::Empty
        | PatchFault::Exists { .. }
        | PatchFault::InUse { .. }
        | PatchFault::Missing { .. } => format!("{id}: {fault}"),
    };
    found.into_iter().map(name).collect()
}
