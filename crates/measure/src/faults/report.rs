//! Text form of the results: one table line for each row, followed by its violations.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use super::callers::Operation;
use super::run::RunResult;

/// Maximum number of violations printed with their records for each run.
const MAX_SHOWN: usize = 3;

/// Results of one row over several seeds.
#[derive(Clone, Debug)]
pub struct RowResult {
    /// Seed and error of each run that could not be completed.
    pub errors: Vec<(u64, String)>,
    /// Name of the row on the command line.
    pub name: &'static str,
    /// Completed runs, in the order of their seeds.
    pub runs: Vec<RunResult>,
}

impl RunResult {
    /// Time from the last step to the start of the last operation that got no answer. Operations
    /// whose key was issued before the last step are left out, since the daemon that issued it may
    /// be gone permanently.
    pub fn recovery(&self) -> Duration {
        let unanswered = |o: &&Operation| {
            !o.answered && !o.abandoned && o.key.is_none_or(|at| at >= self.last_step)
        };
        let starts = self.operations.iter().filter(unanswered).map(|o| o.started);
        let last = starts.max().unwrap_or(0);
        Duration::from_micros(last.saturating_sub(self.last_step))
    }
}

impl RowResult {
    /// Whether every run completed, no invariant was violated and every process exited in time.
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

/// Renders one table line, followed by run errors, processes that did not exit, and violations with
/// the records that show them.
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
            let _ = write!(
                text,
                "\n  seed {}: {name} did not exit within the stop timeout",
                run.seed
            );
        }
        for violation in run.report.violations.iter().take(MAX_SHOWN) {
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
