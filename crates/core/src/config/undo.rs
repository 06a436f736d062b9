//! Undoing one version.
//!
//! Invariant: the changes restore exactly what the version changed. If a later version has changed
//! the same field, the whole undo is refused and the fault names the field.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;

use super::fields::{service_fields, target_fields};
use super::{Change, Configuration, Document, Field, RulesChange, Service, Target};
use crate::ids::Version;

/// Why a version can't be undone.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum UndoFault {
    /// A later version changed the same field, or removed or replaced the whole object.
    Changed {
        /// Name of the service or target.
        name: String,
        /// The field, or `None` if the service or target was removed or created again.
        field: Option<Field>,
    },
    /// The service that would have to be removed has targets that later versions created.
    InUse {
        /// Name of the service.
        name: String,
    },
    /// Everything that the version changed already has its earlier value again.
    Nothing,
    /// The document doesn't contain both the version and the one before it.
    Unknown {
        /// The version to undo.
        version: Version,
    },
}

impl fmt::Display for UndoFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Changed {
                name,
                field: Some(field),
            } => write!(f, "{name}: a later version has changed {field}"),
            Self::Changed { name, field: None } => {
                write!(
                    f,
                    "{name}: a later version has removed it or created it again"
                )
            }
            Self::InUse { name } => {
                write!(f, "service {name}: later versions have added targets to it")
            }
            Self::Nothing => f.write_str(
                "there is nothing to undo; everything that the version changed has its earlier value \
                 again",
            ),
            Self::Unknown { version } => {
                write!(f, "the document's patches don't produce {version}")
            }
        }
    }
}

impl Document {
    /// Returns the changes that undo `version`, for a patch based on the last version of the
    /// document.
    ///
    /// # Errors
    ///
    /// Returns every reason why the version can't be undone.
    pub fn undo(&self, version: Version) -> Result<Vec<Change>, Vec<UndoFault>> {
        let unknown = || vec![UndoFault::Unknown { version }];
        let before = Version(version.0.checked_sub(1).ok_or_else(unknown)?);
        let before = self.at(before).ok_or_else(unknown)?;
        let after = self.at(version).ok_or_else(unknown)?;
        let now = self.replay().configuration;
        let mut undo = Undo {
            after: &after,
            before: &before,
            changes: Changes::default(),
            faults: Vec::new(),
            now: &now,
        };
        undo.undo_targets();
        undo.undo_services();
        let changes = undo.changes.in_order();
        if changes.is_empty() && undo.faults.is_empty() {
            undo.faults.push(UndoFault::Nothing);
        }
        if undo.faults.is_empty() {
            Ok(changes)
        } else {
            Err(undo.faults)
        }
    }
}

/// Changes grouped by kind: removals must precede creations, and a service must be created before
/// and removed after its targets.
#[derive(Default)]
struct Changes {
    create_services: Vec<Change>,
    create_targets: Vec<Change>,
    remove_services: Vec<Change>,
    remove_targets: Vec<Change>,
    updates: Vec<Change>,
}

impl Changes {
    fn in_order(&mut self) -> Vec<Change> {
        let mut all = std::mem::take(&mut self.remove_targets);
        all.append(&mut self.remove_services);
        all.append(&mut self.create_services);
        all.append(&mut self.create_targets);
        all.append(&mut self.updates);
        all
    }
}

/// Collects the changes and faults of an undo. `before` and `after` are the configurations directly
/// before and after the version, `now` is the one at the end of the document.
struct Undo<'a> {
    after: &'a Configuration,
    before: &'a Configuration,
    changes: Changes,
    faults: Vec<UndoFault>,
    now: &'a Configuration,
}

impl Undo<'_> {
    /// Collects the changes and faults for all targets that the version changed.
    fn undo_targets(&mut self) {
        let all = self
            .before
            .targets
            .values()
            .chain(self.after.targets.values());
        let names: BTreeSet<_> = all.map(|t| t.name.as_str()).collect();
        for name in names {
            let (old, new) = (
                self.before.target_id_by_name(name),
                self.after.target_id_by_name(name),
            );
            if old != new {
                self.undo_existence(name, (old, new, self.now.target_id_by_name(name)), |undo| {
                    undo.restore_target(name);
                });
            } else if let (Some(old), Some(new)) = (
                self.before.target_by_name(name),
                self.after.target_by_name(name),
            ) {
                self.update_target(old, new);
            }
        }
    }

    /// Collects the changes and faults for all services that the version changed.
    fn undo_services(&mut self) {
        let all = self
            .before
            .services
            .values()
            .chain(self.after.services.values());
        let names: BTreeSet<_> = all.map(|s| s.name.as_str()).collect();
        for name in names {
            let (old, new) = (
                self.before.service_id_by_name(name),
                self.after.service_id_by_name(name),
            );
            if old != new {
                self.undo_existence(
                    name,
                    (old, new, self.now.service_id_by_name(name)),
                    |undo| {
                        undo.restore_service(name);
                    },
                );
            } else if let (Some(old), Some(new)) = (
                self.before.service_by_name(name),
                self.after.service_by_name(name),
            ) {
                self.update_service(old, new);
            }
        }
    }

    /// Runs `restore` if the name still refers to the object that the version created, or still to
    /// none if the version removed it. `old`, `new` and `now` are the ids of the name before and
    /// after the version and at the end of the document.
    fn undo_existence<I: Copy + PartialEq>(
        &mut self,
        name: &str,
        (old, new, now): (Option<I>, Option<I>, Option<I>),
        restore: impl FnOnce(&mut Self),
    ) {
        if now == new {
            restore(self);
        } else if now.is_some() || old.is_some() {
            self.record_changed(name, None);
        }
    }

    fn restore_target(&mut self, name: &str) {
        if self.after.target_by_name(name).is_some() {
            let name = name.to_owned();
            self.changes
                .remove_targets
                .push(Change::RemoveTarget { name });
        }
        if let Some(old) = self.before.target_by_name(name) {
            self.changes.create_targets.push(Change::CreateTarget {
                name: name.to_owned(),
                service: self.before.service_name(old).to_owned(),
                domain: old.domain.clone(),
                slots: old.slots,
            });
        }
    }

    fn restore_service(&mut self, name: &str) {
        if let Some(id) = self.now.service_id_by_name(name) {
            let kept = |t: &Target| self.after.target_by_name(&t.name).is_none();
            if self.now.targets_of(id).any(|(_, target)| kept(target)) {
                let name = name.to_owned();
                self.faults.push(UndoFault::InUse { name });
            }
            let name = name.to_owned();
            self.changes
                .remove_services
                .push(Change::RemoveService { name });
        }
        if let Some(old) = self.before.service_by_name(name) {
            self.changes.create_services.push(Change::CreateService {
                name: name.to_owned(),
                hosts: old.hosts.clone(),
                rules: old.rules.clone(),
            });
        }
    }

    fn update_target(&mut self, old: &Target, new: &Target) {
        let service = self.after.service_name(new);
        let (from, to) = (target_fields(old, service), target_fields(new, service));
        let now = self.now.target_by_name(&old.name);
        let now = now.map(|now| target_fields(now, self.now.service_name(now)));
        let fields = self.restorable(&old.name, &from, &to, now.as_ref());
        if fields.is_empty() {
            return;
        }
        let has = |field| fields.contains(&field);
        self.changes.updates.push(Change::UpdateTarget {
            name: old.name.clone(),
            domain: has(Field::Domain).then(|| old.domain.clone()),
            slots: has(Field::Slots).then_some(old.slots),
        });
    }

    fn update_service(&mut self, old: &Service, new: &Service) {
        let (from, to) = (service_fields(old), service_fields(new));
        let now = self.now.service_by_name(&old.name).map(service_fields);
        let fields = self.restorable(&old.name, &from, &to, now.as_ref());
        if fields.is_empty() {
            return;
        }
        let has = |field| fields.contains(&field);
        let rules = &old.rules;
        self.changes.updates.push(Change::UpdateService {
            name: old.name.clone(),
            hosts: has(Field::Hosts).then(|| old.hosts.clone()),
            rules: RulesChange {
                deadline: has(Field::Deadline).then_some(rules.deadline),
                hedge: has(Field::Hedge).then_some(rules.hedge),
                queue_wait: has(Field::QueueWait).then_some(rules.queue_wait),
                retry_percent: has(Field::RetryPercent).then_some(rules.retry_percent),
            },
        });
    }

    /// Returns the fields that the version changed and that still have the values it set. A field
    /// that a later version set to a third value becomes a fault.
    fn restorable<const N: usize>(
        &mut self,
        name: &str,
        from: &[(Field, String); N],
        to: &[(Field, String); N],
        now: Option<&[(Field, String); N]>,
    ) -> Vec<Field> {
        let changed = (0..N).filter(|at| from[*at] != to[*at]);
        let Some(now) = now else {
            if changed.count() > 0 {
                self.record_changed(name, None);
            }
            return Vec::new();
        };
        let mut fields = Vec::new();
        for at in changed {
            if now[at] == to[at] {
                fields.push(from[at].0);
            } else if now[at] != from[at] {
                self.record_changed(name, Some(from[at].0));
            }
        }
        fields
    }

    fn record_changed(&mut self, name: &str, field: Option<Field>) {
        let name = name.to_owned();
        self.faults.push(UndoFault::Changed { name, field });
    }
}
