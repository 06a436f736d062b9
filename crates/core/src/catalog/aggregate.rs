//! State and transitions of the catalog.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Change, PublishedRoutes, PublishedTarget, RequestLimits, ServiceLimits};
use crate::config::{Configuration, Rules, Service, Target};
use crate::ids::{ServiceId, TargetId, Version};
use crate::routes::RouteTable;
use crate::time::Time;

/// Time for which an entry that is missing after an outage of the store counts as present, and for which an
/// entry from an older copy doesn't put a target back in use. Targets write their entries again within two
/// seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Time for which a target that left stays in the catalog, so that its last answers are still processed.
const LEFT_RETENTION: Duration = Duration::from_secs(30);

/// Difference between two stated ends of a target's cold time up to which they are the same one. Entries take up
/// to a second from the target to this daemon.
const COLD_STEP: Duration = Duration::from_secs(1);

/// The state of one target.
#[derive(Clone, Debug)]
struct TargetRecord {
    /// End of the cold time according to the entry; [`Time::ZERO`] if it states none.
    cold_until: Time,
    entry: PublishedTarget,
    /// Whether the entry says that the target takes work, and is not followed because the store may not have
    /// learnt yet that the target has left.
    held_back: bool,
    id: TargetId,
    /// Whether the entry is in the contents last received.
    listed: bool,
    /// When the target started to leave; it takes no new work from then on.
    left_at: Option<Time>,
    /// Set while the entry is missing although the target may still run.
    missing: Option<Missing>,
}

impl TargetRecord {
    /// Whether an entry is an earlier status report of the same run than the one that is listed, and what it states is
    /// out of date. An entry that was missing is another matter: a target that lives may report what the earlier one
    /// states, and such a report doesn't change the entry.
    fn is_overwritten_by(&self, entry: &PublishedTarget) -> bool {
        self.listed && self.missing.is_none() && is_older_report(entry, &self.entry)
    }
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
    /// A target that has left is listed in the store's older copy; it isn't used until the store has had time to
    /// learn of that.
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
    next_target: u32,
    /// End of the time in which everybody writes again what the store has lost; `None` if it hasn't returned
    /// from an older copy.
    restored_until: Option<Time>,
    routes: Rc<RouteTable>,
    /// Limits of the services in force, by name.
    service_limits: BTreeMap<String, ServiceLimits>,
    services: BTreeMap<String, ServiceId>,
    targets: BTreeMap<String, TargetRecord>,
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
            Change::TargetGone { name } => self.mark_missing(&name, absence, now),
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
        let present: BTreeSet<String> = snapshot.targets.keys().cloned().collect();
        let missing: Vec<String> = self
            .targets
            .iter()
            .filter(|(name, _)| !present.contains(*name))
            .filter(|(_, record)| record.listed || record.left_at.is_none())
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
        if self.restored_until.is_some_and(|until| now < until) {
            self.lost_evacuations.extend(ended);
        } else {
            let ended = ended.into_iter();
            events.extend(ended.filter_map(|domain| self.end_evacuation(domain)));
        }
        let current = snapshot.evacuated.into_iter();
        events.extend(current.filter_map(|domain| self.evacuate(domain)));
        events
    }

    /// Records that the store has returned from an older copy of its contents at a time. Until [`RETURN_GRACE`]
    /// has passed, an entry that is missing doesn't show that its target has left, one that is present doesn't show
    /// that its target, which has left, takes work again, and an evacuation that is missing isn't revoked.
    pub fn begin_era(&mut self, at: Time) {
        let until = at + RETURN_GRACE;
        let until = self.restored_until.map_or(until, |held| held.max(until));
        self.restored_until = Some(until);
        for record in self.targets.values_mut() {
            if let Some(Missing::Until(end)) = &mut record.missing {
                *end = until.max(*end);
            }
        }
    }

    /// Marks targets as left whose missing entries have expired, uses targets whose entries were held back, and
    /// removes targets that left long ago. After the store's return from an older copy, evacuations and entries that
    /// are held back change only once the store was read at or after the end of [`RETURN_GRACE`], as `confirmed`
    /// states: while it is unavailable, what was known stays in force.
    pub fn expire(&mut self, now: Time, confirmed: Option<Time>) -> Vec<CatalogEvent> {
        let old = |r: &TargetRecord| r.left_at.is_some_and(|at| now - at >= LEFT_RETENTION);
        self.targets.retain(|_, r| r.listed || !old(r));
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
        let left = gone.iter().filter_map(|name| self.mark_left(name, now));
        let mut events: Vec<_> = left.collect();
        let read_since = |until: Time| confirmed.is_some_and(|at| at >= until);
        if self
            .restored_until
            .is_some_and(|until| until <= now && read_since(until))
        {
            self.restored_until = None;
            for domain in std::mem::take(&mut self.lost_evacuations) {
                events.extend(self.end_evacuation(domain));
            }
            events.extend(self.release_held_back(now));
        }
        events
    }

    /// When [`Catalog::expire`] next changes a target without a further read of the store.
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

    /// Whether targets of a service can get requests: the configuration in force gives it no protocol that
    /// this build doesn't speak.
    pub fn is_supported(&self, service: &str) -> bool {
        !self.unsupported.contains(service)
    }

    /// When the cold time of targets ends according to their entries. Targets whose service doesn't limit the
    /// requests to cold ones are left out.
    pub fn cold_until(&self) -> BTreeMap<TargetId, Time> {
        let all = self.targets.values();
        all.filter(|r| r.cold_until > Time::ZERO && self.limits_cold(&r.entry.service))
            .map(|r| (r.id, r.cold_until))
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
            if record.held_back && (record.left_at.is_none() || self.restored_until.is_none()) {
                faults.push(format!("{name} is held back for no reason"));
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
        let restoring = self.restored_until.is_some_and(|until| now < until);
        let known = self.targets.get(name);
        if restoring && known.is_some_and(|r| is_earlier_run(&entry, &r.entry)) {
            return self.mark_missing(name, Absence::Left, now);
        }
        if !restoring && known.is_some_and(|r| r.is_overwritten_by(&entry)) {
            return Some(CatalogEvent::OlderEntry(name.to_owned()));
        }
        let before = known.filter(|r| is_same_run(&r.entry, &entry));
        let has_left = before.is_some_and(|r| r.left_at.is_some());
        let held_back = restoring && has_left && entry.state.takes_work();
        let was_held_back = before.is_some_and(|r| r.held_back);
        let leaving = held_back || !entry.state.takes_work();
        let was_leaving = before.map(|r| r.left_at.is_some());
        let id = before.map_or(TargetId(self.next_target + 1), |r| r.id);
        let left_at = before.and_then(|r| r.left_at).unwrap_or(now);
        let known = before.map(|r| r.cold_until);
        let cold_until = cold_until(before, &entry, now);
        let cold_changed =
            known.is_some_and(|known| known != cold_until) && self.limits_cold(&entry.service);
        self.next_target = self.next_target.max(id.0);
        let record = TargetRecord {
            cold_until,
            entry,
            held_back,
            id,
            left_at: leaving.then_some(left_at),
            listed: true,
            missing: None,
        };
        self.targets.insert(name.to_owned(), record);
        self.retire_replaced(name, now);
        let record = &self.targets[name];
        if record.held_back {
            return (!was_held_back).then(|| CatalogEvent::TargetHeldBack(name.to_owned()));
        }
        let leaves = record.left_at.is_some();
        let name = name.to_owned();
        match (was_leaving == Some(leaves), leaves) {
            (false, true) => Some(CatalogEvent::TargetLeaving(name)),
            (false, false) => Some(CatalogEvent::TargetReady(name)),
            (true, _) => cold_changed.then_some(CatalogEvent::TargetCold(name)),
        }
    }

    /// Whether the operators limit the requests to cold targets of a service.
    fn limits_cold(&self, service: &str) -> bool {
        let limits = self.service_limits.get(service);
        limits.is_some_and(|limits| !limits.cold_interval.is_zero())
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
            record.held_back = false;
            record.missing = None;
            record.left_at.get_or_insert(now);
        }
    }

    /// Handles a missing entry: marks the target as left, or only as missing if it may still run.
    fn mark_missing(&mut self, name: &str, absence: Absence, now: Time) -> Option<CatalogEvent> {
        let restored = self.restored_until.filter(|until| now < *until);
        let missing = match absence {
            Absence::Lapsed(_) | Absence::Left if let Some(until) = restored => {
                Missing::Until(until)
            }
            Absence::Lapsed(at) if at + RETURN_GRACE > now => Missing::Until(at + RETURN_GRACE),
            Absence::Lapsed(_) | Absence::Left => return self.mark_left(name, now),
            Absence::Unverified => Missing::StoreUnreachable,
        };
        let record = self.targets.get_mut(name)?;
        record.held_back = false;
        record.listed = false;
        let fresh = record.missing.is_none() && record.left_at.is_none();
        if fresh {
            record.missing = Some(missing);
        }
        fresh.then(|| CatalogEvent::TargetMissing(name.to_owned()))
    }

    /// Uses the targets whose entries were held back: the store has had time to learn that they have left, and
    /// still lists them.
    fn release_held_back(&mut self, now: Time) -> Vec<CatalogEvent> {
        let mut released = Vec::new();
        for (name, record) in &mut self.targets {
            if std::mem::take(&mut record.held_back) {
                record.left_at = None;
                released.push(name.clone());
            }
        }
        for name in &released {
            self.retire_replaced(name, now);
        }
        released.retain(|name| self.is_active(name));
        released
            .into_iter()
            .map(CatalogEvent::TargetReady)
            .collect()
    }

    fn mark_left(&mut self, name: &str, now: Time) -> Option<CatalogEvent> {
        let record = self.targets.get_mut(name)?;
        record.held_back = false;
        record.listed = false;
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

/// Whether `a` describes an earlier run than `b` of a target that keeps its name.
fn is_earlier_run(a: &PublishedTarget, b: &PublishedTarget) -> bool {
    a.started_ms.is_some() && a.started_ms < b.started_ms
}

/// Whether `a` is an earlier status report than `b` of the same run. Only a target that states its start numbers the
/// reports of each run anew.
fn is_older_report(a: &PublishedTarget, b: &PublishedTarget) -> bool {
    a.started_ms.is_some() && is_same_run(a, b) && a.sequence < b.sequence
}

/// End of the cold time after an entry was read. An entry that is read once more states nothing new, and nearly
/// the same end is kept, since it differs only by the time that the entries took.
fn cold_until(before: Option<&TargetRecord>, entry: &PublishedTarget, now: Time) -> Time {
    let stated = if entry.cold.is_zero() {
        Time::ZERO
    } else {
        now + entry.cold
    };
    let Some(before) = before else {
        return stated;
    };
    let known = before.cold_until;
    let step = stated.max(now) - known.max(now) + (known.max(now) - stated.max(now));
    if before.entry == *entry || step <= COLD_STEP {
        known
    } else {
        stated
    }
}

fn assign_id(services: &mut BTreeMap<String, ServiceId>, name: &str) {
    if !services.contains_key(name) {
        let id = ServiceId(services.len() as u16);
        services.insert(name.to_owned(), id);
    }
}
