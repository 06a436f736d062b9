//! Executes the commands that create, check or append patches.

use std::fmt;
use std::time::SystemTime;

use chrono::{DateTime, SecondsFormat, Utc};
use error_stack::Report;
use hawthornwall_core::config::{
    Change, Configuration, Difference, Document, Entry as CoreEntry, Patch, PatchFault, Warning,
};
use hawthornwall_core::ids::Version;
use hawthornwall_wire::document::{DOCUMENT_LIMIT, print_document};
use serde::Serialize;

use super::{Outcome, source};
use crate::command::{Authorship, PatchCommand};
use crate::exit::Failure;

/// A value together with its description for operators.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct WithText<T> {
    /// Description of the value.
    pub text: String,
    /// The value itself; its fields are written next to the text.
    #[serde(flatten)]
    pub value: T,
}

impl<T: fmt::Display> From<T> for WithText<T> {
    fn from(value: T) -> Self {
        let text = value.to_string();
        Self { text, value }
    }
}

/// One patch of a document, and whether it was accepted.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Author of the patch.
    pub author: String,
    /// The version that the patch is based on.
    pub base: Version,
    /// Faults for which the patch is skipped; empty if it was accepted.
    pub faults: Vec<String>,
    /// Position among the patches of the document, starting at 0.
    pub index: usize,
    /// Reason for the patch, as its author states it.
    pub note: String,
    /// Creation time in RFC 3339 format; empty if it isn't stated.
    pub time: String,
    /// The version that the patch created; `None` if it is skipped.
    pub version: Option<Version>,
}

impl From<&CoreEntry<'_>> for Entry {
    fn from(entry: &CoreEntry<'_>) -> Self {
        let faults = entry.result.as_ref().err().map(Vec::as_slice);
        Self {
            author: entry.patch.author.clone(),
            base: entry.patch.base,
            faults: texts(faults.unwrap_or_default()),
            index: entry.index,
            note: entry.patch.note.clone(),
            time: entry.patch.time.clone(),
            version: entry.result.as_ref().ok().copied(),
        }
    }
}

/// What a command prints on standard output if the change has no faults.
#[derive(Clone, Debug)]
pub enum Artifact {
    /// The new document.
    Document(Document),
    /// No patch, because it couldn't be created.
    NoPatch,
    /// Only a message that there are no faults.
    Nothing,
    /// The new patch.
    Patch(Patch),
    /// The differences as text.
    Text,
}

/// The effects of a change, or the faults for which it is refused.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ChangeReport {
    /// The version that the change is based on.
    pub base: Version,
    /// Differences from the base to the current version; empty if the base is current.
    pub changed: Vec<WithText<Difference>>,
    /// Differences that the change makes.
    pub differences: Vec<WithText<Difference>>,
    /// Faults for which the change is refused; empty if it is accepted.
    pub faults: Vec<String>,
    /// The patches accepted since the base.
    pub since: Vec<Entry>,
    /// The current version, without the change; for `diff`, the version of the second document.
    pub version: Version,
    /// Effects of the change that may be unintended.
    pub warnings: Vec<WithText<Warning>>,
}

impl ChangeReport {
    /// Reports the differences between two configurations.
    pub(super) fn between(from: &Configuration, to: &Configuration) -> Self {
        Self {
            base: from.version,
            differences: from
                .differences(to)
                .into_iter()
                .map(WithText::from)
                .collect(),
            version: to.version,
            warnings: from.warnings(to).into_iter().map(WithText::from).collect(),
            ..Self::default()
        }
    }

    /// Reports the effects of `patch` on the configuration that results from `document`.
    fn evaluate(document: &Document, patch: &Patch) -> Self {
        let now = document.replay().configuration;
        let broken = document.checkpoint.verify().into_iter();
        let broken = broken.map(|fault| format!("checkpoint: {fault}"));
        let mut report = match now.replay(patch) {
            Ok(next) => Self::between(&now, &next),
            Err(faults) => Self {
                faults: texts(&faults),
                ..Self::default()
            },
        };
        report.faults = broken.chain(report.faults).collect();
        report.base = patch.base;
        report.version = now.version;
        if patch.base != now.version {
            report.explain_stale_base(document, &now, patch);
        }
        report
    }

    /// Adds the changes made since an old base, and the faults that remain if the patch is based on
    /// the current version.
    fn explain_stale_base(&mut self, document: &Document, now: &Configuration, patch: &Patch) {
        let rebased = Patch {
            base: now.version,
            ..patch.clone()
        };
        if let Err(faults) = now.replay(&rebased) {
            let remaining = texts(&faults);
            let on = now.version;
            self.faults.extend(
                remaining
                    .iter()
                    .map(|fault| format!("also when based on {on}: {fault}")),
            );
        }
        let since = document.accepted_since(patch.base);
        self.since = since.iter().map(Entry::from).collect();
        if let Some(base) = document.at(patch.base) {
            let changed = base.differences(now).into_iter();
            self.changed = changed.map(WithText::from).collect();
        }
    }
}

/// Executes a command of `patch`.
pub(super) fn run(command: &PatchCommand, now: SystemTime) -> Result<Outcome, Report<Failure>> {
    let (report, artifact) = match command {
        PatchCommand::Add { document, patch } => {
            let (document, patch) = (source::read_document(document)?, source::read_patch(patch)?);
            let mut report = ChangeReport::evaluate(&document, &patch);
            let next = document.with_patch(patch);
            let length = print_document(&next).len();
            if report.faults.is_empty() && length > DOCUMENT_LIMIT {
                report.faults.push(format!(
                    "the document would have {length} bytes, accepted: at most {DOCUMENT_LIMIT}; compact it first"
                ));
            }
            (report, Artifact::Document(next))
        }
        PatchCommand::Check { source, patch } => {
            let report =
                ChangeReport::evaluate(&source::load(source)?, &source::read_patch(patch)?);
            (report, Artifact::Nothing)
        }
        PatchCommand::Diff { source, patch } => {
            let report =
                ChangeReport::evaluate(&source::load(source)?, &source::read_patch(patch)?);
            (report, Artifact::Text)
        }
        PatchCommand::New {
            authorship,
            changes,
            source,
        } => {
            return Ok(create_patch(
                &source::load(source)?,
                changes.clone(),
                authorship,
                now,
            ));
        }
    };
    Ok(Outcome::Patch(Box::new(report), artifact))
}

/// Creates the patch that reverts a version.
pub(super) fn undo(
    document: &Document,
    version: Version,
    authorship: &Authorship,
    now: SystemTime,
) -> Outcome {
    match document.undo(version) {
        Ok(changes) => create_patch(document, changes, authorship, now),
        Err(faults) => {
            let reached = document.replay().configuration.version;
            let report = ChangeReport {
                base: reached,
                faults: faults.iter().map(ToString::to_string).collect(),
                version: reached,
                ..ChangeReport::default()
            };
            Outcome::Patch(Box::new(report), Artifact::NoPatch)
        }
    }
}

fn create_patch(
    document: &Document,
    changes: Vec<Change>,
    authorship: &Authorship,
    now: SystemTime,
) -> Outcome {
    let patch = Patch {
        author: authorship.author.clone(),
        base: document.replay().configuration.version,
        changes,
        note: authorship.note.clone(),
        time: DateTime::<Utc>::from(now).to_rfc3339_opts(SecondsFormat::Secs, true),
    };
    let report = ChangeReport::evaluate(document, &patch);
    Outcome::Patch(Box::new(report), Artifact::Patch(patch))
}

fn texts(faults: &[PatchFault]) -> Vec<String> {
    faults.iter().map(ToString::to_string).collect()
}
