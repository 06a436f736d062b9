//! Folding a patch into a configuration.
//!
//! Invariant: folding is a pure function, so every daemon that folds the same patches in the same
//! order reaches the same configuration and the same verdict on each patch.

use std::fmt;
use std::hash::Hasher;
use std::ops::RangeInclusive;

use super::{Change, Configuration, Patch, PatchFault, Rules, RulesChange, Service, Target};

/// Longest name of a service or target, the limit of a DNS label.
const NAME_LIMIT: usize = 63;
const SLOTS: RangeInclusive<u32> = 1..=10_000;
const DEADLINE_MS: RangeInclusive<u128> = 1..=600_000;
const QUEUE_WAIT_MS: RangeInclusive<u128> = 0..=60_000;
const RETRY_PERCENT: RangeInclusive<u32> = 0..=100;

impl Configuration {
    /// The configuration after `patch`, or every fault that keeps it from being accepted.
    ///
    /// # Errors
    ///
    /// A wrong base is reported alone, since the other faults may stem from it.
    pub fn fold(&self, patch: &Patch) -> Result<Self, Vec<PatchFault>> {
        if patch.base != self.version {
            return Err(vec![PatchFault::Base {
                named: patch.base,
                reached: self.version,
            }]);
        }
        let mut next = self.clone();
        let mut faults = Vec::new();
        if patch.changes.is_empty() {
            faults.push(PatchFault::Empty);
        }
        for (index, change) in patch.changes.iter().enumerate() {
            next.apply(index, change, &mut faults);
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        next.version = self.version.next();
        next.digest = chain_digest(self.digest, patch);
        Ok(next)
    }

    fn apply(&mut self, index: usize, change: &Change, faults: &mut Vec<PatchFault>) {
        let before = faults.len();
        check_values(index, change, faults);
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
                    .service_named(service)
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
                self.update_service(index, name).map(|service| {
                    if let Some(hosts) = hosts {
                        service.hosts.clone_from(hosts);
                    }
                    service.rules.change(rules);
                })
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
        if self.service_named(&service.name).is_some() {
            return Err(PatchFault::Exists {
                change: index,
                name: service.name,
            });
        }
        let id = self.next_service;
        self.next_service.0 += 1;
        self.services.insert(id, service);
        Ok(())
    }

    fn create_target(&mut self, index: usize, target: Target) -> Result<(), PatchFault> {
        if self.target_named(&target.name).is_some() {
            return Err(PatchFault::Exists {
                change: index,
                name: target.name,
            });
        }
        let id = self.next_target;
        self.next_target.0 += 1;
        self.targets.insert(id, target);
        Ok(())
    }

    fn remove_service(&mut self, index: usize, name: &str) -> Result<(), PatchFault> {
        let id = self
            .service_named(name)
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
            .target_named(name)
            .ok_or_else(|| missing(index, name))?;
        self.targets.remove(&id);
        Ok(())
    }

    fn update_service(&mut self, index: usize, name: &str) -> Result<&mut Service, PatchFault> {
        let id = self.service_named(name);
        id.and_then(|id| self.services.get_mut(&id))
            .ok_or_else(|| missing(index, name))
    }

    fn update_target(&mut self, index: usize, name: &str) -> Result<&mut Target, PatchFault> {
        let id = self.target_named(name);
        id.and_then(|id| self.targets.get_mut(&id))
            .ok_or_else(|| missing(index, name))
    }
}

impl Rules {
    /// Takes over the values that `change` names.
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

fn check_values(index: usize, change: &Change, faults: &mut Vec<PatchFault>) {
    let mut check = Check { faults, index };
    match change {
        Change::CreateService { name, rules, .. } => {
            check.name("name", name);
            check.rules(&RulesChange::from(rules));
        }
        Change::CreateTarget {
            name,
            domain,
            slots,
            ..
        } => {
            check.name("name", name);
            check.name("domain", domain);
            check.range("slots", slots, &SLOTS);
        }
        Change::UpdateService { rules, .. } => check.rules(rules),
        Change::UpdateTarget { domain, slots, .. } => {
            if let Some(domain) = domain {
                check.name("domain", domain);
            }
            if let Some(slots) = slots {
                check.range("slots", slots, &SLOTS);
            }
        }
        Change::RemoveService { .. } | Change::RemoveTarget { .. } => {}
    }
}

/// Collects the values of one change that are out of range.
struct Check<'a> {
    faults: &'a mut Vec<PatchFault>,
    index: usize,
}

impl Check<'_> {
    fn name(&mut self, field: &str, text: &str) {
        if !is_name(text) {
            self.fault(
                field,
                text.to_owned(),
                format!("1 to {NAME_LIMIT} of a-z, 0-9 and -"),
            );
        }
    }

    fn range<T: fmt::Display + PartialOrd>(
        &mut self,
        field: &str,
        value: &T,
        range: &RangeInclusive<T>,
    ) {
        if !range.contains(value) {
            let accepted = format!("{} to {}", range.start(), range.end());
            self.fault(field, value.to_string(), accepted);
        }
    }

    fn rules(&mut self, rules: &RulesChange) {
        if let Some(deadline) = rules.deadline {
            self.range("deadline_ms", &deadline.as_millis(), &DEADLINE_MS);
        }
        if let Some(wait) = rules.queue_wait {
            self.range("queue_wait_ms", &wait.as_millis(), &QUEUE_WAIT_MS);
        }
        if let Some(percent) = rules.retry_percent {
            self.range("retry_percent", &percent, &RETRY_PERCENT);
        }
    }

    fn fault(&mut self, field: &str, found: String, accepted: String) {
        let field = field.to_owned();
        self.faults.push(PatchFault::Value {
            change: self.index,
            field,
            found,
            accepted,
        });
    }
}

impl From<&Rules> for RulesChange {
    fn from(rules: &Rules) -> Self {
        Self {
            deadline: Some(rules.deadline),
            hedge: Some(rules.hedge),
            queue_wait: Some(rules.queue_wait),
            retry_percent: Some(rules.retry_percent),
        }
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    (1..=NAME_LIMIT).contains(&text.len()) && text.bytes().all(allowed)
}

/// FNV-1a over the previous digest and the patch's text form.
///
/// It detects two histories by accident or race; it is no defence against forged patches.
fn chain_digest(previous: u64, patch: &Patch) -> u64 {
    let mut hasher = Fnv(0xcbf2_9ce4_8422_2325);
    hasher.write(&previous.to_le_bytes());
    hasher.write(format!("{patch:?}").as_bytes());
    hasher.finish()
}

struct Fnv(u64);

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}
