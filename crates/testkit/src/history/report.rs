//! Result of a history check: the violations and the records that show them.

use std::fmt;

use super::{HistoryFault, Record};

/// Property that must hold in every history.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Invariant {
    /// A request is answered at most once.
    AnsweredOnce,
    /// A non-idempotent operation is started at most once over all its requests and targets.
    AtMostOnce,
    /// A planned stop interrupts no request in flight.
    GracefulStop,
    /// A leaving target starts no request after the allowed time.
    LeavingTarget,
    /// A refused request is never started.
    NotRun,
    /// A caller receives the response to its own request.
    OwnResponse,
    /// Probes stay within their budget.
    ProbeBudget,
    /// A published version is in force at every daemon that is present within the allowed time.
    VersionInForce,
    /// A version has the same digest at all daemons.
    VersionDigest,
    /// The version in force never decreases within one run of a daemon.
    VersionOrder,
    /// A response is complete and unaltered, or the connection breaks.
    WholeResponse,
}

impl Invariant {
    /// All invariants, in the order in which they are checked and reported.
    pub const ALL: [Self; 11] = [
        Self::AnsweredOnce,
        Self::AtMostOnce,
        Self::GracefulStop,
        Self::LeavingTarget,
        Self::NotRun,
        Self::OwnResponse,
        Self::ProbeBudget,
        Self::VersionInForce,
        Self::VersionDigest,
        Self::VersionOrder,
        Self::WholeResponse,
    ];

    /// Name of the invariant in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::AnsweredOnce => "answered-once",
            Self::AtMostOnce => "at-most-once",
            Self::GracefulStop => "graceful-stop",
            Self::LeavingTarget => "leaving-target",
            Self::NotRun => "not-run",
            Self::OwnResponse => "own-response",
            Self::ProbeBudget => "probe-budget",
            Self::VersionInForce => "version-in-force",
            Self::VersionDigest => "version-digest",
            Self::VersionOrder => "version-order",
            Self::WholeResponse => "whole-response",
        }
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Violation of an invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// The invariant that was violated.
    pub invariant: Invariant,
    /// Records that show the violation, in time order.
    pub proof: Vec<Record>,
    /// Description for reports, without the name of the invariant.
    pub message: String,
}

impl Violation {
    pub(super) fn new<'a>(
        invariant: Invariant,
        message: String,
        proof: impl IntoIterator<Item = &'a Record>,
    ) -> Self {
        let proof = proof.into_iter().cloned().collect();
        Self {
            invariant,
            proof,
            message,
        }
    }
}

/// Result of a history check. [`fmt::Display`] prints it as text.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Inconsistencies of the history, which make the check inconclusive.
    pub faults: Vec<HistoryFault>,
    /// Number of records in the history.
    pub records: usize,
    /// Number of requests that callers sent.
    pub requests: usize,
    /// Violations, grouped by invariant.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Whether the history is consistent and no invariant is violated.
    pub fn is_clean(&self) -> bool {
        self.faults.is_empty() && self.violations.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (records, requests) = (self.records, self.requests);
        let (faults, violations) = (self.faults.len(), self.violations.len());
        writeln!(
            f,
            "records {records}, requests {requests}, faults {faults}, violations {violations}"
        )?;
        for fault in &self.faults {
            writeln!(f, "history fault: {fault}")?;
        }
        for violation in &self.violations {
            writeln!(f, "{}: {}", violation.invariant, violation.message)?;
            for record in &violation.proof {
                let text = serde_json::to_string(record).map_err(|_| fmt::Error)?;
                writeln!(f, "    {text}")?;
            }
        }
        Ok(())
    }
}
