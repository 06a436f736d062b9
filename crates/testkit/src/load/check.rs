//! Comparison of what callers were told with what the targets recorded.

use super::arrivals::CallKind;
use super::result::CallResult;
use super::runs::Runs;
use crate::history::Record;

/// Contradictions between callers and targets, as lists of request numbers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Mismatches {
    /// An answer is cut, altered or another request's.
    pub altered: Vec<u64>,
    /// A non-idempotent request ran more than once.
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
    for result in results {
        let number = result.call.number;
        let count = runs.request(number).len();
        if result.is_answered() && !result.verdict.whole {
            found.altered.push(number);
        } else if result.is_answered() {
            let target = &result.verdict.target;
            if runs.busy_until_answer(number, target).is_none() {
                found.without_run.push(number);
            }
        }
        if result.outcome == "refused" && count > 0 {
            found.refused_but_ran.push(number);
        }
        match result.call.kind {
            CallKind::KeyedPost | CallKind::Post if count > 1 => found.repeated.push(number),
            CallKind::KeyedPost | CallKind::Post | CallKind::Read => {}
        }
    }
    found
}
