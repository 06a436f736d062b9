//! The catalog's state and its transitions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Change, PublishedRoutes, PublishedState, PublishedTarget};
use crate::config::{Configuration, Rules, Service, Target};
use crate::ids::{ServiceId, TargetId, Version};
use crate::routes::RouteTable;
use crate::time::Time;

/// How long an entry that is missing after an outage of the store counts as present. Targets write
/// their entries again within two seconds.
pub const RETURN_WAIT: Duration = Duration::from_secs(2);

/// How long a target that left is remembered, so that its last answers are still understood.
const KEEP_LEFT: Duration = Duration::from_secs(30);

/// What is believed of one target.
#[derive(Clone, Debug)]
struct Known {
    entry: PublishedTarget,
    id: TargetId,
    /// When the target began to leave; it takes no new work since.
    left_at: Option<Time>,
    /// Set while its entry is missing although the target may live.
    missing: Option<Missing>,
}

/// Until when a missing entry counts as present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Missing {
    /// Until this daemon reaches the store again.
    Doubted,
    Until(Time),
}

/// What it means that an entry is gone.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Absence {
    /// It may have lapsed during an outage of the store, which ended then.
    Lapsed(Time),
    /// The target has left.
    #[default]
    Left,
    /// This daemon can't reach the store itself. Its peers tell that the entry is gone, but not whether
    /// the target has left, or lives and is cut off from the store likewise.
    Unsure,
}

/// A change of what this daemon believes, for logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Belief {
    /// Older routes than those in force were offered and not adopted.
    OlderRoutes(Version),
    /// Other routes are in force.
    Routes(Version),
    /// A target takes no new work.
    TargetLeaving(String),
    /// An entry is missing after an outage; the target is used until it is known to be gone.
    TargetMissing(String),
    /// A target takes work.
    TargetReady(String),
}

/// The contents of the store at one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// The routes, if any are published and readable.
    pub routes: Option<PublishedRoutes>,
    /// All entries of targets by name.
    pub targets: BTreeMap<String, PublishedTarget>,
}

/// Routes and targets as far as this daemon knows them.
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
    next_target: u32,
    routes: Rc<RouteTable>,
    services: BTreeMap<String, ServiceId>,
    targets: BTreeMap<String, Known>,
    version: Version,
}

impl Catalog {
    /// Takes one change and returns what it changed here.
    pub fn apply(&mut self, change: Change, absence: Absence, now: Time) -> Option<Belief> {
        match change {
            Change::Routes(published) => self.adopt(published),
            Change::Target { name, target } => self.note(&name, target, now),
            Change::TargetGone { name } => self.miss(&name, absence, now),
        }
    }

    /// Takes the whole contents.
    pub fn replace(&mut self, snapshot: Snapshot, absence: Absence, now: Time) -> Vec<Belief> {
        let mut beliefs = Vec::new();
        let present: BTreeSet<String> = snapshot.targets.keys().cloned().collect();
        let missing: Vec<String> = self
            .targets
            .iter()
            .filter(|(name, known)| !present.contains(*name) && known.left_at.is_none())
            .map(|(name, _)| name.clone())
            .collect();
        for name in missing {
            beliefs.extend(self.miss(&name, absence, now));
        }
        for (name, target) in snapshot.targets {
            beliefs.extend(self.note(&name, target, now));
        }
        beliefs.extend(snapshot.routes.and_then(|routes| self.adopt(routes)));
        beliefs
    }

    /// Gives up missing entries whose time is over, and forgets targets that left long ago.
    pub fn expire(&mut self, now: Time) -> Vec<Belief> {
        let old = |k: &Known| k.left_at.is_some_and(|at| now - at >= KEEP_LEFT);
        self.targets.retain(|_, k| !old(k));
        let due = |k: &Known| match k.missing {
            Some(Missing::Until(at)) => at <= now,
            Some(Missing::Doubted) | None => false,
        };
        let gone: Vec<String> = self
            .targets
            .iter()
            .filter(|(_, k)| due(k))
            .map(|(name, _)| name.clone())
            .collect();
        gone.iter()
            .filter_map(|name| self.leave(name, now))
            .collect()
    }

    /// When [`Catalog::expire`] has something to do.
    pub fn next_expiry(&self) -> Option<Time> {
        let until = |k: &Known| match k.missing {
            Some(Missing::Until(at)) => Some(at),
            Some(Missing::Doubted) | None => None,
        };
        self.targets.values().filter_map(until).min()
    }

    /// Notes that this daemon reaches the store again: entries that it doubted are back within
    /// [`RETURN_WAIT`], or their targets have left.
    pub fn rejoin(&mut self, now: Time) {
        let all = self.targets.values_mut();
        for known in all.filter(|k| k.missing == Some(Missing::Doubted)) {
            known.missing = Some(Missing::Until(now + RETURN_WAIT));
        }
    }

    /// Whether a target takes work as far as is known.
    pub fn is_used(&self, name: &str) -> bool {
        self.targets.get(name).is_some_and(|k| k.left_at.is_none())
    }

    /// Names of the targets that take work.
    pub fn used(&self) -> impl Iterator<Item = &str> {
        let all = self.targets.iter();
        all.filter(|(_, k)| k.left_at.is_none())
            .map(|(name, _)| name.as_str())
    }

    /// Version of the routes in force, 0 while none are known.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The routes in force.
    pub fn routes(&self) -> &Rc<RouteTable> {
        &self.routes
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
        let targets = self.targets.iter().map(|(name, known)| {
            let target = Target {
                domain: known.entry.domain.clone(),
                name: name.clone(),
                service: self.services[&known.entry.service],
                slots: known.entry.slots,
            };
            (known.id, target)
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
        all.map(|(name, k)| (k.id, name.as_str(), &k.entry, k.left_at.is_some()))
    }

    /// The newest target at an address.
    pub fn target_at(&self, address: SocketAddr) -> Option<TargetId> {
        let here = self.targets.values().filter(|k| k.entry.address == address);
        here.max_by_key(|k| (k.left_at.is_none(), k.id))
            .map(|k| k.id)
    }

    /// Broken invariants.
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for (name, known) in &self.targets {
            if !self.services.contains_key(&known.entry.service) {
                faults.push(format!("{name} belongs to no service"));
            }
            if known.left_at.is_some() && known.missing.is_some() {
                faults.push(format!("{name} leaves and is awaited"));
            }
        }
        faults
    }

    fn adopt(&mut self, published: PublishedRoutes) -> Option<Belief> {
        if published.version <= self.version {
            let older = published.version < self.version;
            return older.then_some(Belief::OlderRoutes(published.version));
        }
        for service in published.routes.services() {
            number(&mut self.services, service);
        }
        self.routes = Rc::new(published.routes);
        self.version = published.version;
        Some(Belief::Routes(self.version))
    }

    fn note(&mut self, name: &str, entry: PublishedTarget, now: Time) -> Option<Belief> {
        number(&mut self.services, &entry.service);
        let leaving = entry.state == PublishedState::Draining;
        let before = self
            .targets
            .get(name)
            .filter(|k| is_same_run(&k.entry, &entry));
        let was_leaving = before.map(|k| k.left_at.is_some());
        let id = before.map_or(TargetId(self.next_target + 1), |k| k.id);
        let left_at = before.and_then(|k| k.left_at).unwrap_or(now);
        self.next_target = self.next_target.max(id.0);
        let known = Known {
            entry,
            id,
            left_at: leaving.then_some(left_at),
            missing: None,
        };
        self.targets.insert(name.to_owned(), known);
        self.retire_replaced(name, now);
        let leaves = self.targets[name].left_at.is_some();
        (was_leaving != Some(leaves)).then(|| {
            if leaves {
                Belief::TargetLeaving(name.to_owned())
            } else {
                Belief::TargetReady(name.to_owned())
            }
        })
    }

    /// Of the targets at one address only the one that started last can still run; entries of the
    /// others lapse seconds later.
    fn retire_replaced(&mut self, name: &str, now: Time) {
        let Some(entry) = self.targets.get(name).map(|k| k.entry.clone()) else {
            return;
        };
        let here = |k: &Known| k.entry.address == entry.address && k.entry.born.is_some();
        let Some(last) = self
            .targets
            .values()
            .filter(|k| here(k))
            .map(|k| k.entry.born)
            .max()
        else {
            return;
        };
        let replaced = |k: &&mut Known| here(k) && k.entry.born < last;
        for known in self.targets.values_mut().filter(replaced) {
            known.missing = None;
            known.left_at.get_or_insert(now);
        }
    }

    /// Notes that an entry is gone: at once, or only later if its target may live.
    fn miss(&mut self, name: &str, absence: Absence, now: Time) -> Option<Belief> {
        let missing = match absence {
            Absence::Lapsed(at) if at + RETURN_WAIT > now => Missing::Until(at + RETURN_WAIT),
            Absence::Lapsed(_) | Absence::Left => return self.leave(name, now),
            Absence::Unsure => Missing::Doubted,
        };
        let known = self.targets.get_mut(name)?;
        let fresh = known.missing.is_none() && known.left_at.is_none();
        if fresh {
            known.missing = Some(missing);
        }
        fresh.then(|| Belief::TargetMissing(name.to_owned()))
    }

    fn leave(&mut self, name: &str, now: Time) -> Option<Belief> {
        let known = self.targets.get_mut(name)?;
        known.missing = None;
        let changed = known.left_at.is_none();
        known.left_at.get_or_insert(now);
        changed.then(|| Belief::TargetLeaving(name.to_owned()))
    }
}

/// Whether two entries describe one run of a target. A target that starts again may keep its name,
/// and its new run knows nothing of the old one.
fn is_same_run(a: &PublishedTarget, b: &PublishedTarget) -> bool {
    a.born == b.born && a.address == b.address && a.service == b.service
}

fn number(services: &mut BTreeMap<String, ServiceId>, name: &str) {
    if !services.contains_key(name) {
        let id = ServiceId(services.len() as u16);
        services.insert(name.to_owned(), id);
    }
}
