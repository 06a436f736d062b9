//! State and transitions of the catalog.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::targets::{Record, Targets};
use super::{Absence, Change, PublishedRoutes, PublishedTarget, RequestLimits, ServiceLimits};
use crate::config::{Configuration, Rules, Service, Target};
use crate::ids::{ServiceId, TargetId, Version};
use crate::routes::RouteTable;
use crate::time::Time;

/// A change of the catalog, for logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CatalogEvent {
    /// The targets of a failure domain take no requests from now on.
    Evacuated(String),
    /// The evacuation of a failure domain was revoked.
    EvacuationEnded(String),
    /// Routes older than those in force were received and ignored.
    OlderRoutes(Version),
    /// An entry of a target was received and ignored, since a later status report of the same run is known. The store
    /// may do a write late.
    OlderEntry(String),
    /// Routes of a new version are in force.
    Routes(Version),
    /// The end of a target's cold time is another one than was known, and its service limits requests to cold
    /// targets.
    TargetCold(String),
    /// A target takes no new work from now on.
    TargetLeaving(String),
    /// A target that has left is listed by an entry that may have been written before that; it isn't used until the
    /// entry would have lapsed.
    TargetHeldBack(String),
    /// The entry of a target is missing; the target is used until its removal is confirmed.
    TargetMissing(String),
    /// A target takes work from now on.
    TargetReady(String),
}

/// The contents of the store at one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Failure domains that are evacuated.
    pub evacuated: BTreeSet<String>,
    /// The routes; `None` if none are published or they can't be decoded.
    pub routes: Option<PublishedRoutes>,
    /// Entries of all targets by name.
    pub targets: BTreeMap<String, PublishedTarget>,
}

/// Routes and targets in the state last received from the store or a peer.
///
/// ```
/// use hawthornwall_core::catalog::{Absence, Catalog, Snapshot};
/// use hawthornwall_core::ids::Version;
/// use hawthornwall_core::time::Time;
///
/// let mut catalog = Catalog::default();
/// assert!(catalog.replace(Snapshot::default(), Absence::Left, Time::ZERO).is_empty());
/// assert_eq!(catalog.version(), Version(0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    evacuated: BTreeSet<String>,
    limits: Option<RequestLimits>,
    /// Evacuations in force that are missing since the store's return from an older copy.
    lost_evacuations: BTreeSet<String>,
    routes: Rc<RouteTable>,
    /// Limits of the services in force, by name.
    service_limits: BTreeMap<String, ServiceLimits>,
    services: BTreeMap<String, ServiceId>,
    targets: Targets,
    /// Services in force whose protocol this build doesn't speak.
    unsupported: BTreeSet<String>,
    version: Version,
}

impl Catalog {
    /// Applies one change; returns the event that results, if any.
    pub fn apply(&mut self, change: Change, absence: Absence, now: Time) -> Option<CatalogEvent> {
        match change {
            Change::Routes(published) => self.adopt(published),
            Change::Target { name, target } => self.upsert(&name, target, now),
            Change::TargetGone { name } => self.targets.mark_missing(&name, absence, now),
            Change::Evacuated { domain } => self.evacuate(domain),
            Change::EvacuationEnded { domain } => self.end_evacuation(domain),
        }
    }

    /// Replaces routes, targets and evacuations by the contents of a snapshot. Targets that the snapshot
    /// lacks are handled according to `absence`. Evacuations that it lacks are revoked, since their keys don't
    /// lapse during an outage of the store; after the store's return from an older copy only once the operators
    /// have had time to write them again.
    pub fn replace(
        &mut self,
        snapshot: Snapshot,
        absence: Absence,
        now: Time,
    ) -> Vec<CatalogEvent> {
        let mut events = Vec::new();
        for name in self.targets.absent(&snapshot.targets) {
            let event = self.targets.mark_missing(&name, absence, now);
            events.extend(event);
        }
        for (name, target) in snapshot.targets {
            events.extend(self.upsert(&name, target, now));
        }
        events.extend(snapshot.routes.and_then(|routes| self.adopt(routes)));
        let ended: Vec<_> = self
            .evacuated
            .difference(&snapshot.evacuated)
            .cloned()
            .collect();
        if self.targets.is_restoring(now) {
            self.lost_evacuations.extend(ended);
        } else {
            let ended = ended.into_iter();
            events.extend(ended.filter_map(|domain| self.end_evacuation(domain)));
        }
        let current = snapshot.evacuated.into_iter();
        events.extend(current.filter_map(|domain| self.evacuate(domain)));
        events
    }

    /// Records that the store has returned from an older copy of its contents at a time. Until [`RETURN_GRACE`](super::RETURN_GRACE)
    /// has passed, an entry that is missing doesn't show that its target has left, and an evacuation that is missing
    /// isn't revoked. Until [`LAPSE_TIME`](super::LAPSE_TIME) has passed, an entry of the copy doesn't show that its target, which has left,
    /// takes work again.
    pub fn begin_era(&mut self, at: Time) {
        self.targets.begin_era(at);
    }

    /// Marks targets as left whose missing entries have expired, uses targets whose entries were held back, and
    /// removes targets that left long ago. Entries that are held back, and evacuations after the store's return from an
    /// older copy, change only once the store was read at or after the end of their time, as `confirmed` states: while
    /// it is unavailable, what was known stays in force.
    pub fn expire(&mut self, now: Time, confirmed: Option<Time>) -> Vec<CatalogEvent> {
        let mut events = self.targets.expire(now);
        let Some(read) = confirmed else {
            return events;
        };
        if self.targets.end_return(read) {
            for domain in std::mem::take(&mut self.lost_evacuations) {
                events.extend(self.end_evacuation(domain));
            }
        }
        events.extend(self.targets.settle(read, now));
        events
    }

    /// When [`Catalog::expire`] next changes a target without a further read of the store.
    pub fn next_expiry(&self) -> Option<Time> {
        self.targets.next_expiry()
    }

    /// Records that this daemon reaches the store again. Entries that went missing meanwhile return within
    /// [`RETURN_GRACE`](super::RETURN_GRACE), or their targets have left.
    pub fn reconnect(&mut self, now: Time) {
        self.targets.reconnect(now);
    }

    /// Whether a target is used until this daemon reaches the store, as a peer has reported its removal.
    pub fn has_unverified(&self) -> bool {
        self.targets.has_unverified()
    }

    /// Failure domains whose targets take no requests.
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated
    }

    /// Whether a target takes work.
    pub fn is_active(&self, name: &str) -> bool {
        self.targets.get(name).is_some_and(Record::takes_work)
    }

    /// Names of the targets that take work.
    pub fn active(&self) -> impl Iterator<Item = &str> {
        let all = self.targets.iter();
        all.filter(|(_, r)| r.takes_work()).map(|(name, _)| name)
    }

    /// Version of the routes in force, 0 while there are none.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The routes in force.
    pub fn routes(&self) -> &Rc<RouteTable> {
        &self.routes
    }

    /// What callers may send; `None` if the configuration in force doesn't limit it.
    pub fn limits(&self) -> Option<RequestLimits> {
        self.limits
    }

    /// The services that the configuration in force limits.
    pub fn service_limits(&self) -> BTreeMap<ServiceId, ServiceLimits> {
        let limited = self.service_limits.iter();
        limited
            .filter_map(|(name, limits)| Some((*self.services.get(name)?, *limits)))
            .collect()
    }

    /// Whether targets of a service can get requests: the configuration in force gives it no protocol that
    /// this build doesn't speak.
    pub fn is_supported(&self, service: &str) -> bool {
        !self.unsupported.contains(service)
    }

    /// When the cold time of targets ends according to their entries. Targets whose service doesn't limit the
    /// requests to cold ones are left out.
    pub fn cold_until(&self) -> BTreeMap<TargetId, Time> {
        let all = self.targets.iter().map(|(_, r)| r);
        all.filter(|r| r.cold_until() > Time::ZERO && self.limits_cold(&r.entry().service))
            .map(|r| (r.id(), r.cold_until()))
            .collect()
    }

    /// Services and targets in the form that the other aggregates take.
    pub fn configuration(&self, rules: &Rules) -> Configuration {
        let services = self.services.iter().map(|(name, id)| {
            let service = Service {
                hosts: BTreeSet::new(),
                name: name.clone(),
                rules: rules.clone(),
            };
            (*id, service)
        });
        let targets = self.targets.iter().map(|(name, record)| {
            let entry = record.entry();
            let target = Target {
                domain: entry.domain.clone(),
                name: name.to_owned(),
                service: self.services[&entry.service],
                slots: entry.slots,
            };
            (record.id(), target)
        });
        Configuration {
            digest: 0,
            next_service: ServiceId(self.services.len() as u16),
            next_target: self.targets.last_id(),
            services: services.collect(),
            targets: targets.collect(),
            version: self.version,
        }
    }

    /// All targets: id, name, entry, and whether they take no new work.
    pub fn targets(&self) -> impl Iterator<Item = (TargetId, &str, &PublishedTarget, bool)> {
        let all = self.targets.iter();
        all.map(|(name, r)| (r.id(), name, r.entry(), !r.takes_work()))
    }

    /// The newest target at an address; targets that have left come last.
    pub fn target_at(&self, address: SocketAddr) -> Option<TargetId> {
        self.targets.at(address)
    }

    /// Descriptions of broken invariants.
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for (name, record) in self.targets.iter() {
            if !self.services.contains_key(&record.entry().service) {
                faults.push(format!("{name} has an unknown service"));
            }
        }
        for domain in self.lost_evacuations.difference(&self.evacuated) {
            faults.push(format!(
                "the evacuation of {domain} is missing and not in force"
            ));
        }
        faults
    }

    fn adopt(&mut self, published: PublishedRoutes) -> Option<CatalogEvent> {
        if published.version <= self.version {
            let older = published.version < self.version;
            return older.then_some(CatalogEvent::OlderRoutes(published.version));
        }
        for service in published.routes.services() {
            assign_id(&mut self.services, service);
        }
        self.limits = published.limits;
        self.routes = Rc::new(published.routes);
        self.service_limits = published.services;
        self.unsupported = published.unsupported;
        self.version = published.version;
        Some(CatalogEvent::Routes(self.version))
    }

    fn evacuate(&mut self, domain: String) -> Option<CatalogEvent> {
        self.lost_evacuations.remove(&domain);
        let fresh = self.evacuated.insert(domain.clone());
        fresh.then_some(CatalogEvent::Evacuated(domain))
    }

    fn end_evacuation(&mut self, domain: String) -> Option<CatalogEvent> {
        self.lost_evacuations.remove(&domain);
        let ended = self.evacuated.remove(&domain);
        ended.then_some(CatalogEvent::EvacuationEnded(domain))
    }

    fn upsert(&mut self, name: &str, entry: PublishedTarget, now: Time) -> Option<CatalogEvent> {
        assign_id(&mut self.services, &entry.service);
        let limits_cold = self.limits_cold(&entry.service);
        self.targets.upsert(name, entry, limits_cold, now)
    }

    /// Whether the operators limit the requests to cold targets of a service.
    fn limits_cold(&self, service: &str) -> bool {
        let limits = self.service_limits.get(service);
        limits.is_some_and(|limits| !limits.cold_interval.is_zero())
    }
}

fn assign_id(services: &mut BTreeMap<String, ServiceId>, name: &str) {
    if !services.contains_key(name) {
        let id = ServiceId(services.len() as u16);
        services.insert(name.to_owned(), id);
    }
}
