//! Formats the effects of a change, or the faults for which it is refused.

use super::count;
use super::table::lines;
use crate::run::{ChangeReport, Entry};

/// Formats the differences and warnings.
pub(super) fn effects(report: &ChangeReport) -> String {
    let mut text = lines(report.differences.iter().map(|d| d.text.clone()));
    if text.is_empty() {
        "nothing changes\n".clone_into(&mut text);
    }
    text + &warnings(report)
}

/// Formats the two versions; empty if they are equal.
pub(super) fn versions(report: &ChangeReport) -> String {
    let (base, version) = (report.base, report.version);
    if base == version {
        return String::new();
    }
    lines([format!("{base} becomes {version}")])
}

/// Formats the warnings without the differences.
pub(super) fn warnings(report: &ChangeReport) -> String {
    let warnings = report.warnings.iter();
    lines(warnings.map(|w| format!("warning: {}", w.text)))
}

/// Formats the faults, followed by the changes made since an old base.
pub(super) fn refusal(report: &ChangeReport) -> String {
    let faults = report.faults.iter();
    let mut all: Vec<_> = faults.map(|fault| format!("fault: {fault}")).collect();
    if !report.since.is_empty() {
        all.push(format!("\nAccepted since {}:", report.base));
        all.extend(report.since.iter().map(accepted));
    }
    if !report.changed.is_empty() {
        all.push(format!("\nChanged since {}:", report.base));
        all.extend(report.changed.iter().map(|d| format!("  {}", d.text)));
    }
    let faults = count(report.faults.len(), "fault");
    all.push(format!("\nrefused, {faults}"));
    lines(all)
}

fn accepted(entry: &Entry) -> String {
    let version = entry.version.unwrap_or_default();
    let (time, author, note) = (&entry.time, &entry.author, &entry.note);
    format!("  {version} {time} {author}: {note}")
        .trim_end()
        .to_owned()
}
