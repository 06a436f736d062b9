//! Comparison of what callers were told with what the targets recorded.

use std::collections::BTreeMap;

use super::arrivals::CallKind;
use super::result::CallResult;
use super::runs::Runs;
use hawthornwall_testkit::history::Record;
use hawthornwall_testkit::payload::Verdict;

/// Contradictions between callers and targets, as lists of request numbers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Mismatches {
    /// An answer is cut, altered or another request's.
    pub altered: Vec<u64>,
    /// A non-idempotent operation ran more than once, over all its repeats.
    pub repeated: Vec<u64>,
    /// A refused request ran.
    pub refused_but_ran: Vec<u64>,
    /// An answer names a target that has no complete run of the request.
    pub without_run: Vec<u64>,
}

impl Mismatches {
    /// Number of contradictions.
    pub fn total(&self) -> usize {
        let lists = [
            &self.altered,
            &self.repeated,
            &self.refused_but_ran,
            &self.without_run,
        ];
        lists.iter().map(|l| l.len()).sum()
    }
}

/// Compares the results of calls with the targets' records.
pub fn check(results: &[CallResult], records: &[Record]) -> Mismatches {
    let runs = Runs::of(records);
    let mut found = Mismatches::default();
    let mut by_operation: BTreeMap<u64, usize> = BTreeMap::new();
    for result in results {
        let number = result.call.number;
        let count = runs.request(number).len();
        if result.is_answered() && !result.verdict.whole {
            found.altered.push(number);
        } else if result.is_answered() && !has_run(result, &runs) {
            found.without_run.push(number);
        }
        if result.outcome == "refused" && count > 0 {
            found.refused_but_ran.push(number);
        }
        match result.call.kind {
            CallKind::KeyedPost | CallKind::Post => {
                *by_operation.entry(result.call.operation).or_default() += count;
            }
            CallKind::Read => {}
        }
    }
    let repeated = by_operation.into_iter().filter(|(_, count)| *count > 1);
    found.repeated = repeated.map(|(operation, _)| operation).collect();
    found
}

/// Whether the target that the answer names ran the request that it names.
fn has_run(result: &CallResult, runs: &Runs) -> bool {
    let Verdict {
        request, target, ..
    } = &result.verdict;
    let run = request.and_then(|number| runs.busy_until_answer(number, target));
    run.is_some()
}
