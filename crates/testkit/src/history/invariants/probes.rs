//! Probes of each target stay within their budget in every window of 100 seconds.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::history::{Event, Invariant, Limits, Record, View, Violation};

/// Length of the window that the limits refer to.
const WINDOW_LENGTH: Duration = Duration::from_secs(100);

/// Probes of one target within the window that ends at the latest probe.
#[derive(Default)]
struct Window<'a> {
    cost: u64,
    probes: VecDeque<(&'a Record, u64)>,
}

impl<'a> Window<'a> {
    fn add(&mut self, record: &'a Record, cost: u64) {
        self.probes.push_back((record, cost));
        self.cost += cost;
        let expired = |r: &Record| u128::from(record.at - r.at) >= WINDOW_LENGTH.as_micros();
        while let Some((_, cost)) = self.probes.pop_front_if(|(r, _)| expired(r)) {
            self.cost -= cost;
        }
    }

    fn excess(&self, limits: &Limits) -> Option<String> {
        let slot_time = WINDOW_LENGTH.as_micros() as u64 * u64::from(limits.slots);
        let allowed = slot_time * u64::from(limits.slot_share) / 10_000;
        if self.probes.len() > limits.per_100s as usize {
            return Some(format!(
                "{} probes exceed the limit of {}",
                self.probes.len(),
                limits.per_100s
            ));
        }
        let over = self.cost > allowed;
        over.then(|| {
            format!(
                "{} us of slot time used by probes exceed the limit of {allowed} us",
                self.cost
            )
        })
    }
}

/// Reports the first window over the budget for each target.
pub fn within_budget(view: &View<'_>, limits: &Limits) -> Vec<Violation> {
    let mut windows: BTreeMap<&str, Window<'_>> = BTreeMap::new();
    let mut violations = BTreeMap::new();
    for record in &view.records {
        let Event::Probed { cost } = record.event else {
            continue;
        };
        let party = record.party.as_str();
        let window = windows.entry(party).or_default();
        window.add(record, cost);
        if let Some(excess) = window.excess(limits) {
            violations.entry(party).or_insert_with(|| {
                let message = format!("{party} within 100 s: {excess}");
                let proof = window.probes.iter().map(|(r, _)| *r);
                Violation::new(Invariant::ProbeBudget, message, proof)
            });
        }
    }
    violations.into_values().collect()
}
