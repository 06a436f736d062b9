//! What a change does, or why it is refused, in words.

use super::count;
use super::table::lines;
use crate::run::{Entry, Verdict};

/// Differences and warnings.
pub(super) fn words(verdict: &Verdict) -> String {
    let mut text = lines(verdict.differences.iter().map(|d| d.text.clone()));
    if text.is_empty() {
        "nothing changes\n".clone_into(&mut text);
    }
    text + &warnings(verdict)
}

/// The versions, if they differ.
pub(super) fn versions(verdict: &Verdict) -> String {
    let (base, version) = (verdict.base, verdict.version);
    if base == version {
        return String::new();
    }
    lines([format!("{base} becomes {version}")])
}

/// Warnings alone.
pub(super) fn warnings(verdict: &Verdict) -> String {
    let warnings = verdict.warnings.iter();
    lines(warnings.map(|w| format!("warning: {}", w.text)))
}

/// Faults, and what has changed since an old base.
pub(super) fn refused(verdict: &Verdict) -> String {
    let faults = verdict.faults.iter();
    let mut all: Vec<_> = faults.map(|fault| format!("fault: {fault}")).collect();
    if !verdict.since.is_empty() {
        all.push(format!("\nAccepted since {}:", verdict.base));
        all.extend(verdict.since.iter().map(since));
    }
    if !verdict.changed.is_empty() {
        all.push(format!("\nChanged since {}:", verdict.base));
        all.extend(verdict.changed.iter().map(|d| format!("  {}", d.text)));
    }
    let faults = count(verdict.faults.len(), "fault");
    all.push(format!("\nrefused, {faults}"));
    lines(all)
}

fn since(entry: &Entry) -> String {
    let version = entry.version.unwrap_or_default();
    let (time, author, note) = (&entry.time, &entry.author, &entry.note);
    format!("  {version} {time} {author}: {note}")
        .trim_end()
        .to_owned()
}
