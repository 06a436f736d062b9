//! Times from the publication of a version to its coming into force, by the daemons' records.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use hawthornwall_testkit::history::{Event, Record};

/// Milliseconds from publication to the first and the last daemon.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct InForceTime {
    /// Daemons that had it in force at the end, this version or a later one.
    pub daemons: usize,
    /// To the first daemon.
    pub first_ms: f64,
    /// To the last daemon.
    pub last_ms: f64,
    /// The version.
    pub version: u64,
}

/// Smallest, middle and largest of several times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    /// Number of times.
    pub count: usize,
    /// Median.
    pub p50: f64,
    /// 99 in 100 are at most this.
    pub p99: f64,
    /// The largest.
    pub max: f64,
}

impl Spread {
    /// Of the given times.
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

/// Times for each published version; `parties` are the daemons looked at.
///
/// Daemons record milliseconds, so that a time is up to 1 ms too short.
pub fn in_force_times(
    published: &BTreeMap<u64, u64>,
    records: &[Record],
    parties: &BTreeSet<String>,
) -> Vec<InForceTime> {
    let times = published.iter().filter_map(|(version, at)| {
        let mut reached: BTreeMap<&str, u64> = BTreeMap::new();
        for record in records.iter().filter(|r| parties.contains(&r.party)) {
            // An earlier run of the daemon or of another fleet can't have had this version.
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
