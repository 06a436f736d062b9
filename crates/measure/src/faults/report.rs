//! The table of results.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use super::callers::Operation;
use super::run::RunResult;

/// Violations shown in full for each row.
const SHOWN: usize = 3;

/// All runs of one row.
#[derive(Clone, Debug)]
pub struct RowResult {
    /// Runs that could not be carried out, with their seeds.
    pub errors: Vec<(u64, String)>,
    /// Its name.
    pub name: &'static str,
    /// One run for each seed.
    pub runs: Vec<RunResult>,
}

impl RunResult {
    /// Time from the last step until the last operation began that got no answer; operations under a
    /// key that was issued before don't count, since its issuer may be gone for good.
    pub fn recovery(&self) -> Duration {
        let bad = |o: &&Operation| {
            !o.answered && !o.abandoned && o.key.is_none_or(|at| at >= self.last_step)
        };
        let begun = self.operations.iter().filter(bad).map(|o| o.started);
        let last = begun.max().unwrap_or(0);
        Duration::from_micros(last.saturating_sub(self.last_step))
    }
}

impl RowResult {
    /// Whether every run was carried out, no invariant was violated and every process ended.
    pub fn is_clean(&self) -> bool {
        let clean = |run: &RunResult| run.report.is_clean() && run.stuck.is_empty();
        self.errors.is_empty() && self.runs.iter().all(clean)
    }

    fn outcomes(&self) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        let operations = self.runs.iter().flat_map(|run| &run.operations);
        for outcome in operations.flat_map(|o| &o.outcomes) {
            *counts.entry(outcome.as_str()).or_default() += 1;
        }
        counts
    }

    fn violations(&self) -> String {
        let mut counts = BTreeMap::new();
        for violation in self.runs.iter().flat_map(|run| &run.report.violations) {
            *counts.entry(violation.invariant.name()).or_insert(0) += 1;
        }
        let stuck = self.runs.iter().map(|run| run.stuck.len()).sum();
        let faults = self.runs.iter().map(|run| run.report.faults.len()).sum();
        let more = [
            ("not-stopped", stuck),
            ("history-fault", faults),
            ("run-error", self.errors.len()),
        ];
        counts.extend(more.into_iter().filter(|(_, count)| *count > 0));
        let texts: Vec<_> = counts.iter().map(|(n, c)| format!("{n} {c}")).collect();
        if texts.is_empty() {
            "0".to_owned()
        } else {
            texts.join(", ")
        }
    }
}

/// One line of the table, then the outcomes and the proofs of violations.
pub fn render(row: &RowResult) -> String {
    let seeds: Vec<_> = row.runs.iter().map(|run| run.seed.to_string()).collect();
    let requests: usize = row.runs.iter().map(|run| run.report.requests).sum();
    let longest = row.runs.iter().map(RunResult::recovery).max();
    let mut text = format!(
        "| {} | {} | {requests} | {} | {:.1} |",
        row.name,
        seeds.join(" "),
        row.violations(),
        longest.unwrap_or_default().as_secs_f64()
    );
    let outcomes = row.outcomes();
    let outcomes: Vec<_> = outcomes.iter().map(|(n, c)| format!("{n} {c}")).collect();
    let _ = write!(text, " {} |", outcomes.join(", "));
    for (seed, error) in &row.errors {
        let _ = write!(text, "\n  seed {seed}: {error}");
    }
    for run in &row.runs {
        for name in &run.stuck {
            let _ = write!(text, "\n  seed {}: {name} did not end", run.seed);
        }
        for violation in run.report.violations.iter().take(SHOWN) {
            let invariant = violation.invariant;
            let _ = write!(
                text,
                "\n  seed {}: {invariant}: {}",
                run.seed, violation.message
            );
            for record in violation.proof.iter().take(8) {
                let line = serde_json::to_string(record).unwrap_or_default();
                let _ = write!(text, "\n    {line}");
            }
        }
    }
    text
}
