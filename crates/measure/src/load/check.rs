//! Comparison of the answers that callers received with the runs that targets recorded.

use std::collections::BTreeMap;

use super::arrivals::CallKind;
use super::result::CallResult;
use super::runs::Runs;
use hawthornwall_testkit::history::Record;
use hawthornwall_testkit::payload::Verdict;

/// Contradictions between callers' results and targets' records, as lists of request numbers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Mismatches {
    /// The answer is truncated, altered or belongs to another request.
    pub altered: Vec<u64>,
    /// A non-idempotent operation ran more than once, counted over the call and its repeats.
    pub repeated: Vec<u64>,
    /// A target ran a request that the caller received a refusal for.
    pub refused_but_ran: Vec<u64>,
    /// The answer names a target that recorded no complete run of the request.
    pub without_run: Vec<u64>,
}

impl Mismatches {
    /// Total number of contradictions.
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

/// Compares the results of all calls of a load with the targets' records.
pub fn check(results: &[CallResult], records: &[Record]) -> Mismatches {
    let runs = Runs::of(records);
    let mut found = Mismatches::default();
    let mut operation_runs: BTreeMap<u64, usize> = BTreeMap::new();
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
                *operation_runs.entry(result.call.operation).or_default() += count;
            }
            CallKind::Read => {}
        }
    }
    let repeated = operation_runs.into_iter().filter(|(_, count)| *count > 1);
    found.repeated = repeated.map(|(operation, _)| operation).collect();
    found
}

/// Whether the target named in the answer recorded a complete run of the request named there.
fn has_run(result: &CallResult, runs: &Runs) -> bool {
    let Verdict {
        request, target, ..
    } = &result.verdict;
    let run = request.and_then(|number| runs.busy_until_answer(number, target));
    run.is_some()
}
