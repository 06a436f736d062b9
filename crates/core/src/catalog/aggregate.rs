//! State and transitions of the catalog.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    Change, PublishedRoutes, PublishedState, PublishedTarget, RequestLimits, ServiceLimits,
};
use crate::config::{Configuration, Rules, Service, Target};
use crate::ids::{ServiceId, TargetId, Version};
use crate::routes::RouteTable;
use crate::time::Time;

/// Time for which an entry that is missing after an outage of the store counts as present. Targets write
/// their entries again within two seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Time for which a target that left stays in the catalog, so that its last answers are still processed.
const LEFT_RETENTION: Duration = Duration::from_secs(30);

/// The state of one target.
#[derive(Clone, Debug)]
struct TargetRecord {
    entry: PublishedTarget,
    id: TargetId,
    /// When the target started to leave; it takes no new work from then on.
    left_at: Option<Time>,
    /// Set while the entry is missing although the target may still run.
    missing: Option<Missing>,
}

/// How long a missing entry counts as present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Missing {
    /// Until this daemon reaches the store again.
    StoreUnreachable,
    Until(Time),
}

/// How the absence of an entry is interpreted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Absence {
    /// The entry may have lapsed during an outage of the store, which ended at this time.
    Lapsed(Time),
    /// The target has left.
    #[default]
    Left,
    /// This daemon can't reach the store. Peers report that the entry is gone, which doesn't show
    /// whether the target has left or runs and is cut off from the store as well.
    Unverified,
}

/// A change of the catalog, for logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CatalogEvent {
    /// The targets of a failure domain take no requests from now on.
    Evacuated(String),
    /// The evacuation of a failure domain was revoked.
    EvacuationEnded(String),
    /// Routes older than those in force were received and ignored.
    OlderRoutes(Version),
    /// Routes of a new version are in force.
    Routes(Version),
    /// A target takes no new work from now on.
    TargetLeaving(String),
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
    next_target: u32,
    routes: Rc<RouteTable>,
    /// Limits of the services in force, by name.
    service_limits: BTreeMap<String, ServiceLimits>,
    services: BTreeMap<String, ServiceId>,
    targets: BTreeMap<String, TargetRecord>,
    version: Version,
}

impl Catalog {
    /// Applies one change; returns the event that results, if any.
    pub fn apply(&mut self, change: Change, absence: Absence, now: Time) -> Option<CatalogEvent> {
        match change {
            Change::Routes(published) => self.adopt(published),
            Change::Target { name, target } => self.upsert(&name, target, now),
            Change::TargetGone { name } => self.mark_missing(&name, absence, now),
            Change::Evacuated { domain } => self.evacuate(domain),
            Change::EvacuationEnded { domain } => self.end_evacuation(domain),
        }
    }

    /// Replaces routes, targets and evacuations by the contents of a snapshot. Targets that the snapshot
    /// lacks are handled according to `absence`. Evacuations that it lacks are revoked: their keys don't
    /// lapse during an outage of the store.
    pub fn replace(
        &mut self,
        snapshot: Snapshot,
        absence: Absence,
        now: Time,
    ) -> Vec<CatalogEvent> {
        let mut events = Vec::new();
        let present: BTreeSet<String> = snapshot.targets.keys().cloned().collect();
        let missing: Vec<String> = self
            .targets
            .iter()
            .filter(|(name, record)| !present.contains(*name) && record.left_at.is_none())
            .map(|(name, _)| name.clone())
            .collect();
        for name in missing {
            events.extend(self.mark_missing(&name, absence, now));
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
        events.extend(
            ended
                .into_iter()
                .filter_map(|domain| self.end_evacuation(domain)),
        );
        let current = snapshot.evacuated.into_iter();
        events.extend(current.filter_map(|domain| self.evacuate(domain)));
        events
    }

    /// Marks targets as left whose missing entries have expired, and removes targets that left long ago.
    pub fn expire(&mut self, now: Time) -> Vec<CatalogEvent> {
        let old = |r: &TargetRecord| r.left_at.is_some_and(|at| now - at >= LEFT_RETENTION);
        self.targets.retain(|_, r| !old(r));
        let due = |r: &TargetRecord| match r.missing {
            Some(Missing::Until(at)) => at <= now,
            Some(Missing::StoreUnreachable) | None => false,
        };
        let gone: Vec<String> = self
            .targets
            .iter()
            .filter(|(_, r)| due(r))
            .map(|(name, _)| name.clone())
            .collect();
        gone.iter()
            .filter_map(|name| self.mark_left(name, now))
            .collect()
    }

    /// When [`Catalog::expire`] next marks a target as left.
    pub fn next_expiry(&self) -> Option<Time> {
        let until = |r: &TargetRecord| match r.missing {
            Some(Missing::Until(at)) => Some(at),
            Some(Missing::StoreUnreachable) | None => None,
        };
        self.targets.values().filter_map(until).min()
    }

    /// Records that this daemon reaches the store again. Entries that went missing meanwhile return within
    /// [`RETURN_GRACE`], or their targets have left.
    pub fn reconnect(&mut self, now: Time) {
        let all = self.targets.values_mut();
        for record in all.filter(|r| r.missing == Some(Missing::StoreUnreachable)) {
            record.missing = Some(Missing::Until(now + RETURN_GRACE));
        }
    }

    /// Failure domains whose targets take no requests.
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated
    }

    /// Whether a target takes work.
    pub fn is_active(&self, name: &str) -> bool {
        self.targets.get(name).is_some_and(|r| r.left_at.is_none())
    }

    /// Names of the targets that take work.
    pub fn active(&self) -> impl Iterator<Item = &str> {
        let all = self.targets.iter();
        all.filter(|(_, r)| r.left_at.is_none())
            .map(|(name, _)| name.as_str())
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
            let target = Target {
                domain: record.entry.domain.clone(),
                name: name.clone(),
                service: self.services[&record.entry.service],
                slots: record.entry.slots,
            };
            (record.id, target)
        });
        Configuration {
            digest: 0,
            next_service: ServiceId(self.services.len() as u16),
            next_target: TargetId(self.next_target),
            services: services.collect(),
            targets: targets.collect(),
            version: self.version,
        }
    }

    /// All targets: id, name, entry, and whether they take no new work.
    pub fn targets(&self) -> impl Iterator<Item = (TargetId, &str, &PublishedTarget, bool)> {
        let all = self.targets.iter();
        all.map(|(name, r)| (r.id, name.as_str(), &r.entry, r.left_at.is_some()))
    }

    /// The newest target at an address; targets that have left come last.
    pub fn target_at(&self, address: SocketAddr) -> Option<TargetId> {
        let at_address = self.targets.values().filter(|r| r.entry.address == address);
        at_address
            .max_by_key(|r| (r.left_at.is_none(), r.id))
            .map(|r| r.id)
    }

    /// Descriptions of broken invariants.
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for (name, record) in &self.targets {
            if !self.services.contains_key(&record.entry.service) {
                faults.push(format!("{name} has an unknown service"));
            }
            if record.left_at.is_some() && record.missing.is_some() {
                faults.push(format!("{name} has left but its entry is marked missing"));
            }
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
        self.version = published.version;
        Some(CatalogEvent::Routes(self.version))
    }

    fn evacuate(&mut self, domain: String) -> Option<CatalogEvent> {
        let fresh = self.evacuated.insert(domain.clone());
        fresh.then_some(CatalogEvent::Evacuated(domain))
    }

    fn end_evacuation(&mut self, domain: String) -> Option<CatalogEvent> {
        let ended = self.evacuated.remove(&domain);
        ended.then_some(CatalogEvent::EvacuationEnded(domain))
    }

    fn upsert(&mut self, name: &str, entry: PublishedTarget, now: Time) -> Option<CatalogEvent> {
        assign_id(&mut self.services, &entry.service);
        let leaving = entry.state == PublishedState::Draining;
        let before = self
            .targets
            .get(name)
            .filter(|r| is_same_run(&r.entry, &entry));
        let was_leaving = before.map(|r| r.left_at.is_some());
        let id = before.map_or(TargetId(self.next_target + 1), |r| r.id);
        let left_at = before.and_then(|r| r.left_at).unwrap_or(now);
        self.next_target = self.next_target.max(id.0);
        let record = TargetRecord {
            entry,
            id,
            left_at: leaving.then_some(left_at),
            missing: None,
        };
        self.targets.insert(name.to_owned(), record);
        self.retire_replaced(name, now);
        let leaves = self.targets[name].left_at.is_some();
        (was_leaving != Some(leaves)).then(|| {
            if leaves {
                CatalogEvent::TargetLeaving(name.to_owned())
            } else {
                CatalogEvent::TargetReady(name.to_owned())
            }
        })
    }

    /// Marks all targets at the address of `name` as left except the one that started last, since only
    /// that target can still run. The entries of the other targets lapse seconds later.
    fn retire_replaced(&mut self, name: &str, now: Time) {
        let Some(entry) = self.targets.get(name).map(|r| r.entry.clone()) else {
            return;
        };
        let at_address =
            |r: &TargetRecord| r.entry.address == entry.address && r.entry.started_ms.is_some();
        let Some(last) = self
            .targets
            .values()
            .filter(|r| at_address(r))
            .map(|r| r.entry.started_ms)
            .max()
        else {
            return;
        };
        let replaced = |r: &&mut TargetRecord| at_address(r) && r.entry.started_ms < last;
        for record in self.targets.values_mut().filter(replaced) {
            record.missing = None;
            record.left_at.get_or_insert(now);
        }
    }

    /// Handles a missing entry: marks the target as left, or only as missing if it may still run.
    fn mark_missing(&mut self, name: &str, absence: Absence, now: Time) -> Option<CatalogEvent> {
        let missing = match absence {
            Absence::Lapsed(at) if at + RETURN_GRACE > now => Missing::Until(at + RETURN_GRACE),
            Absence::Lapsed(_) | Absence::Left => return self.mark_left(name, now),
            Absence::Unverified => Missing::StoreUnreachable,
        };
        let record = self.targets.get_mut(name)?;
        let fresh = record.missing.is_none() && record.left_at.is_none();
        if fresh {
            record.missing = Some(missing);
        }
        fresh.then(|| CatalogEvent::TargetMissing(name.to_owned()))
    }

    fn mark_left(&mut self, name: &str, now: Time) -> Option<CatalogEvent> {
        let record = self.targets.get_mut(name)?;
        record.missing = None;
        let changed = record.left_at.is_none();
        record.left_at.get_or_insert(now);
        changed.then(|| CatalogEvent::TargetLeaving(name.to_owned()))
    }
}

/// Whether two entries describe the same run of a target. A restarted target may keep its name, and no
/// state of the previous run applies to it.
fn is_same_run(a: &PublishedTarget, b: &PublishedTarget) -> bool {
    a.started_ms == b.started_ms && a.address == b.address && a.service == b.service
}

fn assign_id(services: &mut BTreeMap<String, ServiceId>, name: &str) {
    if !services.contains_key(name) {
        let id = ServiceId(services.len() as u16);
        services.insert(name.to_owned(), id);
    }
}
