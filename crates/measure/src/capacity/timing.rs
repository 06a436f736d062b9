//! Time from the publication of a version until daemons have it in force, from their records.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use hawthornwall_testkit::history::{Event, Record};

/// Time from the publication of one version until daemons have it in force.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct InForceTime {
    /// Number of daemons that had this version or a later one in force.
    pub daemons: usize,
    /// Time until the first daemon, in milliseconds.
    pub first_ms: f64,
    /// Time until the last daemon, in milliseconds.
    pub last_ms: f64,
    /// The published version.
    pub version: u64,
}

/// Summary statistics of several times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TimeSummary {
    /// Number of times.
    pub count: usize,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

impl TimeSummary {
    /// Summarizes the given times, without interpolation between them; all 0 if there are none.
    pub fn of(times: impl IntoIterator<Item = f64>) -> Self {
        let mut times: Vec<f64> = times.into_iter().collect();
        times.sort_by(f64::total_cmp);
        let Some(last) = times.last().copied() else {
            return Self::default();
        };
        let at = |share: f64| times[((times.len() - 1) as f64 * share).round() as usize];
        Self {
            count: times.len(),
            max: last,
            p50: at(0.5),
            p99: at(0.99),
        }
    }
}

/// Returns the times of each published version that any of the `parties` had in force.
///
/// Daemons record times in whole milliseconds, so each result is up to 1 ms too short.
pub fn in_force_times(
    published: &BTreeMap<u64, u64>,
    records: &[Record],
    parties: &BTreeSet<String>,
) -> Vec<InForceTime> {
    let times = published.iter().filter_map(|(version, at)| {
        let mut reached: BTreeMap<&str, u64> = BTreeMap::new();
        for record in records.iter().filter(|r| parties.contains(&r.party)) {
            // Records from before the publication are ignored; 1 ms is allowed for their rounding.
            if let Event::InForce { version: v, .. } = &record.event
                && v >= version
                && record.at + 1_000 >= *at
            {
                let first = reached.entry(&record.party).or_insert(record.at);
                *first = (*first).min(record.at);
            }
        }
        let since = |time: &u64| time.saturating_sub(*at) as f64 / 1_000.0;
        Some(InForceTime {
            daemons: reached.len(),
            first_ms: since(reached.values().min()?),
            last_ms: since(reached.values().max()?),
            version: *version,
        })
    });
    times.collect()
}
