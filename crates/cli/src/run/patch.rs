//! Commands about patches.

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

/// A value with its wording.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Worded<T> {
    /// In words.
    pub text: String,
    /// As data.
    #[serde(flatten)]
    pub value: T,
}

impl<T: fmt::Display> From<T> for Worded<T> {
    fn from(value: T) -> Self {
        let text = value.to_string();
        Self { text, value }
    }
}

/// One patch of a document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Who wrote it.
    pub author: String,
    /// The version that it names.
    pub base: Version,
    /// Why it is skipped.
    pub faults: Vec<String>,
    /// Position in the document, from 0.
    pub index: usize,
    /// Why it was written.
    pub note: String,
    /// When it was written.
    pub time: String,
    /// The version that it created, absent if it is skipped.
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

/// What a command prints on standard output if there are no faults.
#[derive(Clone, Debug)]
pub enum Product {
    /// A document.
    Document(Document),
    /// No patch, since none could be made.
    NoPatch,
    /// Nothing but whether there are faults.
    Nothing,
    /// A patch.
    Patch(Patch),
    /// The differences in words.
    Words,
}

/// What a change does, or why it is refused.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// The version that the change is based on.
    pub base: Version,
    /// What changed since the base, if that is an old version.
    pub changed: Vec<Worded<Difference>>,
    /// What the change does.
    pub differences: Vec<Worded<Difference>>,
    /// Why it is refused.
    pub faults: Vec<String>,
    /// The patches accepted since the base.
    pub since: Vec<Entry>,
    /// The version reached without the change.
    pub version: Version,
    /// Effects that may not be meant.
    pub warnings: Vec<Worded<Warning>>,
}

impl Verdict {
    /// What differs between two configurations.
    pub(super) fn between(from: &Configuration, to: &Configuration) -> Self {
        Self {
            base: from.version,
            differences: from.differences(to).into_iter().map(Worded::from).collect(),
            version: to.version,
            warnings: from.warnings(to).into_iter().map(Worded::from).collect(),
            ..Self::default()
        }
    }

    /// What `patch` does to the configuration that `document` leads to.
    fn of(document: &Document, patch: &Patch) -> Self {
        let now = document.replay().configuration;
        let broken = document.checkpoint.verify().into_iter();
        let broken = broken.map(|fault| format!("checkpoint: {fault}"));
        let mut verdict = match now.replay(patch) {
            Ok(next) => Self::between(&now, &next),
            Err(faults) => Self {
                faults: texts(&faults),
                ..Self::default()
            },
        };
        verdict.faults = broken.chain(verdict.faults).collect();
        verdict.base = patch.base;
        verdict.version = now.version;
        if patch.base != now.version {
            verdict.explain_base(document, &now, patch);
        }
        verdict
    }

    /// Adds what has changed since an old base, and the faults that a new base would leave.
    fn explain_base(&mut self, document: &Document, now: &Configuration, patch: &Patch) {
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
            self.changed = changed.map(Worded::from).collect();
        }
    }
}

/// Carries out a command about a patch.
pub(super) fn run(command: &PatchCommand, now: SystemTime) -> Result<Outcome, Report<Failure>> {
    let (verdict, product) = match command {
        PatchCommand::Add { document, patch } => {
            let (document, patch) = (source::document(document)?, source::patch(patch)?);
            let mut verdict = Verdict::of(&document, &patch);
            let next = document.with_patch(patch);
            let length = print_document(&next).len();
            if verdict.faults.is_empty() && length > DOCUMENT_LIMIT {
                verdict.faults.push(format!(
                    "the document would have {length} bytes, accepted: {DOCUMENT_LIMIT}; compact it first"
                ));
            }
            (verdict, Product::Document(next))
        }
        PatchCommand::Check { source, patch } => {
            let verdict = Verdict::of(&source::load(source)?, &source::patch(patch)?);
            (verdict, Product::Nothing)
        }
        PatchCommand::Diff { source, patch } => {
            let verdict = Verdict::of(&source::load(source)?, &source::patch(patch)?);
            (verdict, Product::Words)
        }
        PatchCommand::New {
            authorship,
            changes,
            source,
        } => {
            return Ok(make(
                &source::load(source)?,
                changes.clone(),
                authorship,
                now,
            ));
        }
    };
    Ok(Outcome::Patch(Box::new(verdict), product))
}

/// The patch that takes back a version.
pub(super) fn undo(
    document: &Document,
    version: Version,
    authorship: &Authorship,
    now: SystemTime,
) -> Outcome {
    match document.undo(version) {
        Ok(changes) => make(document, changes, authorship, now),
        Err(faults) => {
            let reached = document.replay().configuration.version;
            let verdict = Verdict {
                base: reached,
                faults: faults.iter().map(ToString::to_string).collect(),
                version: reached,
                ..Verdict::default()
            };
            Outcome::Patch(Box::new(verdict), Product::NoPatch)
        }
    }
}

fn make(
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
    let verdict = Verdict::of(document, &patch);
    Outcome::Patch(Box::new(verdict), Product::Patch(patch))
}

fn texts(faults: &[PatchFault]) -> Vec<String> {
    faults.iter().map(ToString::to_string).collect()
}
