//! Applying patches to a configuration.
//!
//! Invariant: applying a patch is a pure function, so every daemon that applies the same patches in
//! the same order reaches the same configuration and accepts the same patches.

use std::collections::BTreeSet;

use super::canonical::chain_digest;
use super::check::{SERVICE_LIMIT, TARGET_LIMIT, check_change, check_patch};
use super::{Change, Configuration, Patch, PatchFault, Rules, RulesChange, Service, Target};
use crate::ids::{ServiceId, TargetId};

impl Configuration {
    /// Returns the configuration after `patch`.
    ///
    /// # Errors
    ///
    /// Returns every fault of the patch. A wrong base is reported alone, since other faults may
    /// follow from it.
    pub fn replay(&self, patch: &Patch) -> Result<Self, Vec<PatchFault>> {
        let mut next = self.clone();
        next.accept(patch)?;
        Ok(next)
    }

    /// Applies `patch` in place; the configuration is unchanged if the patch is faulty.
    pub(super) fn accept(&mut self, patch: &Patch) -> Result<(), Vec<PatchFault>> {
        if patch.base != self.version {
            return Err(vec![PatchFault::Base {
                named: patch.base,
                reached: self.version,
            }]);
        }
        let mut faults = Vec::new();
        check_patch(patch, &mut faults);
        if !faults.is_empty() {
            return Err(faults);
        }
        // A single change that fails leaves the configuration unchanged, so only patches of several
        // changes need a copy. A copy for every patch would dominate the time to replay a long
        // document.
        let before = (patch.changes.len() > 1).then(|| self.clone());
        for (index, change) in patch.changes.iter().enumerate() {
            self.apply(index, change, &mut faults);
        }
        if !faults.is_empty() {
            if let Some(before) = before {
                *self = before;
            }
            return Err(faults);
        }
        self.version = self.version.next();
        self.digest = chain_digest(self.digest, patch);
        Ok(())
    }

    fn apply(&mut self, index: usize, change: &Change, faults: &mut Vec<PatchFault>) {
        let before = faults.len();
        check_change(index, change, faults);
        if faults.len() > before {
            return;
        }
        let result = match change {
            Change::CreateService { name, hosts, rules } => {
                let service = Service {
                    hosts: hosts.clone(),
                    name: name.clone(),
                    rules: rules.clone(),
                };
                self.create_service(index, service)
            }
            Change::CreateTarget {
                name,
                service,
                domain,
                slots,
            } => {
                let owner = self
                    .service_id_by_name(service)
                    .ok_or_else(|| missing(index, service));
                owner.and_then(|service| {
                    let (domain, name) = (domain.clone(), name.clone());
                    self.create_target(
                        index,
                        Target {
                            domain,
                            name,
                            service,
                            slots: *slots,
                        },
                    )
                })
            }
            Change::RemoveService { name } => self.remove_service(index, name),
            Change::RemoveTarget { name } => self.remove_target(index, name),
            Change::UpdateService { name, hosts, rules } => {
                self.update_service(index, name, hosts.as_ref(), rules)
            }
            Change::UpdateTarget {
                name,
                domain,
                slots,
            } => self.update_target(index, name).map(|target| {
                if let Some(domain) = domain {
                    target.domain.clone_from(domain);
                }
                target.slots = slots.unwrap_or(target.slots);
            }),
        };
        faults.extend(result.err());
    }

    fn create_service(&mut self, index: usize, service: Service) -> Result<(), PatchFault> {
        let names = service.hosts.iter().chain([&service.name]);
        self.check_free(index, names, None)?;
        let full = self.next_service == ServiceId(u16::MAX);
        if full || self.services.len() >= SERVICE_LIMIT {
            return Err(too_many("services", self.services.len(), SERVICE_LIMIT));
        }
        let id = self.next_service;
        self.next_service.0 += 1;
        self.services.insert(id, service);
        Ok(())
    }

    fn create_target(&mut self, index: usize, target: Target) -> Result<(), PatchFault> {
        if self.target_id_by_name(&target.name).is_some() {
            return Err(PatchFault::Exists {
                change: index,
                name: target.name,
            });
        }
        let full = self.next_target == TargetId(u32::MAX);
        if full || self.targets.len() >= TARGET_LIMIT {
            return Err(too_many("targets", self.targets.len(), TARGET_LIMIT));
        }
        let id = self.next_target;
        self.next_target.0 += 1;
        self.targets.insert(id, target);
        Ok(())
    }

    fn remove_service(&mut self, index: usize, name: &str) -> Result<(), PatchFault> {
        let id = self
            .service_id_by_name(name)
            .ok_or_else(|| missing(index, name))?;
        let targets = self.targets_of(id).count();
        if targets > 0 {
            return Err(PatchFault::InUse {
                change: index,
                name: name.to_owned(),
                targets,
            });
        }
        self.services.remove(&id);
        Ok(())
    }

    fn remove_target(&mut self, index: usize, name: &str) -> Result<(), PatchFault> {
        let id = self
            .target_id_by_name(name)
            .ok_or_else(|| missing(index, name))?;
        self.targets.remove(&id);
        Ok(())
    }

    fn update_service(
        &mut self,
        index: usize,
        name: &str,
        hosts: Option<&BTreeSet<String>>,
        rules: &RulesChange,
    ) -> Result<(), PatchFault> {
        let id = self.service_id_by_name(name);
        let id = id.ok_or_else(|| missing(index, name))?;
        if let Some(hosts) = hosts {
            self.check_free(index, hosts.iter(), Some(id))?;
        }
        if let Some(service) = self.services.get_mut(&id) {
            if let Some(hosts) = hosts {
                service.hosts.clone_from(hosts);
            }
            service.rules.change(rules);
        }
        Ok(())
    }

    /// Returns a fault if one of `names` already selects a service other than `except`.
    fn check_free<'a>(
        &self,
        index: usize,
        names: impl Iterator<Item = &'a String>,
        except: Option<ServiceId>,
    ) -> Result<(), PatchFault> {
        for name in names {
            let selected = self.service_for(name);
            if selected.is_some() && selected != except {
                return Err(PatchFault::Exists {
                    change: index,
                    name: name.clone(),
                });
            }
        }
        Ok(())
    }

    /// Returns the service that a host name selects.
    fn service_for(&self, host: &str) -> Option<ServiceId> {
        let selects = |s: &Service| s.name == host || s.hosts.contains(host);
        let mut found = self.services.iter().filter(|(_, s)| selects(s));
        found.next().map(|(id, _)| *id)
    }

    fn update_target(&mut self, index: usize, name: &str) -> Result<&mut Target, PatchFault> {
        let id = self.target_id_by_name(name);
        id.and_then(|id| self.targets.get_mut(&id))
            .ok_or_else(|| missing(index, name))
    }
}

impl Rules {
    /// Sets the values that `change` contains and keeps the others.
    pub fn change(&mut self, change: &RulesChange) {
        self.deadline = change.deadline.unwrap_or(self.deadline);
        self.hedge = change.hedge.unwrap_or(self.hedge);
        self.queue_wait = change.queue_wait.unwrap_or(self.queue_wait);
        self.retry_percent = change.retry_percent.unwrap_or(self.retry_percent);
    }
}

fn missing(index: usize, name: &str) -> PatchFault {
    PatchFault::Missing {
        change: index,
        name: name.to_owned(),
    }
}

fn too_many(field: &str, found: usize, limit: usize) -> PatchFault {
    let field = field.to_owned();
    PatchFault::Size {
        field,
        found,
        limit,
    }
}
