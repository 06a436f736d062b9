//! Checks a history against all invariants.

use std::time::Duration;

use super::invariants::{leaving, probes, responses, runs, stops, versions};
use super::{Invariant, Record, Report, View, Violation};

/// Bounds and budgets that the invariants are checked against.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum time from publication until a version is in force at every daemon that is present.
    pub in_force: Duration,
    /// Maximum time after a target begins to leave during which it may still start requests.
    pub leaving: Duration,
    /// Maximum number of probes of one target in any 100 seconds.
    pub per_100s: u32,
    /// Maximum share of a target's slot time that probes may use, in hundredths of a percent.
    pub slot_share: u32,
    /// Number of slots of each target.
    pub slots: u32,
}

impl Limits {
    /// Bounds of the design page and the defaults of the daemon's settings.
    pub const DEFAULT: Self = Self {
        in_force: Duration::from_secs(2),
        leaving: Duration::from_secs(3),
        per_100s: 50,
        slot_share: 10,
        slots: 10,
    };
}

/// Checks every invariant against the records, which may be in any order.
///
/// ```
/// use hawthornwall_testkit::history::{Event, Limits, Record, check};
///
/// let leaving = Record { at: 0, event: Event::Leaving, party: "target-a".to_owned() };
/// let report = check(&[leaving], &Limits::DEFAULT);
/// assert!(report.is_clean());
/// ```
pub fn check(records: &[Record], limits: &Limits) -> Report {
    let view = View::new(records);
    let violations = Invariant::ALL
        .into_iter()
        .flat_map(|invariant| check_one(invariant, &view, limits));
    Report {
        violations: violations.collect(),
        records: records.len(),
        requests: view.requests.values().filter(|r| r.sent.is_some()).count(),
        faults: view.faults,
    }
}

fn check_one(invariant: Invariant, view: &View<'_>, limits: &Limits) -> Vec<Violation> {
    match invariant {
        Invariant::AnsweredOnce => responses::answered_once(view),
        Invariant::AtMostOnce => runs::at_most_once(view),
        Invariant::GracefulStop => stops::graceful_stop(view),
        Invariant::LeavingTarget => leaving::no_work_after_leaving(view, limits.leaving),
        Invariant::NotRun => runs::not_run(view),
        Invariant::OwnResponse => responses::own_response(view),
        Invariant::ProbeBudget => probes::within_budget(view, limits),
        Invariant::VersionInForce => versions::in_force(view, limits.in_force),
        Invariant::VersionDigest => versions::unique_digest(view),
        Invariant::VersionOrder => versions::monotonic(view),
        Invariant::WholeResponse => responses::complete(view),
    }
}
