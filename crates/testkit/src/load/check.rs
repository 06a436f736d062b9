//! Comparison of what callers were told with what the targets recorded.

use std::collections::{BTreeMap, HashMap};

use super::arrivals::CallKind;
use super::result::CallResult;
use crate::history::{Event, Record};

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

/// Complete runs: how long each request ran at each target that answered it, in microseconds.
pub fn run_times(records: &[Record]) -> HashMap<(u64, &str), u64> {
    let mut starts = HashMap::new();
    let mut times = HashMap::new();
    for record in records {
        match record.event {
            Event::RunStarted { request } => {
                starts.insert((request, record.party.as_str()), record.at);
            }
            Event::RunEnded {
                answered: true,
                request,
            } => {
                let key = (request, record.party.as_str());
                if let Some(start) = starts.get(&key) {
                    times.insert(key, record.at.saturating_sub(*start));
                }
            }
            Event::InForce { .. }
            | Event::Leaving
            | Event::Probed { .. }
            | Event::Presence { .. }
            | Event::Published { .. }
            | Event::Received { .. }
            | Event::Routed { .. }
            | Event::RunEnded {
                answered: false, ..
            }
            | Event::Sent { .. } => {}
        }
    }
    times
}

/// Compares the results of calls with the targets' records.
pub fn check(results: &[CallResult], records: &[Record]) -> Mismatches {
    let mut starts: BTreeMap<u64, u64> = BTreeMap::new();
    for record in records {
        if let Event::RunStarted { request } = record.event {
            *starts.entry(request).or_default() += 1;
        }
    }
    let times = run_times(records);
    let mut found = Mismatches::default();
    for result in results {
        let number = result.call.number;
        let runs = starts.get(&number).copied().unwrap_or(0);
        if result.is_answered() && !result.verdict.whole {
            found.altered.push(number);
        } else if result.is_answered() {
            let key = (number, result.verdict.target.as_str());
            if !times.contains_key(&key) {
                found.without_run.push(number);
            }
        }
        if result.outcome == "refused" && runs > 0 {
            found.refused_but_ran.push(number);
        }
        match result.call.kind {
            CallKind::KeyedPost | CallKind::Post if runs > 1 => found.repeated.push(number),
            CallKind::KeyedPost | CallKind::Post | CallKind::Read => {}
        }
    }
    found
}
