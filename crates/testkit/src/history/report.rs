//! The result of a check: violations with the records that prove them.

use std::fmt;

use super::{HistoryFault, Record};

/// What must hold in every history.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Invariant {
    /// A request is answered at most once.
    AnsweredOnce,
    /// A non-idempotent operation is started at most once over all its requests and targets.
    AtMostOnce,
    /// A planned stop cuts no request in flight.
    GracefulStop,
    /// A leaving target is given no new work after the allowed time.
    LeavingTarget,
    /// A refused request is never started.
    NotRun,
    /// A caller gets the response to its own request.
    OwnResponse,
    /// Measurements stay within their budget.
    ProbeBudget,
    /// A published version is in force at every present daemon in time.
    VersionInForce,
    /// One version has one digest.
    VersionDigest,
    /// Within one run of a daemon, the version in force never goes back.
    VersionOrder,
    /// A response is complete, or the connection is broken.
    WholeResponse,
}

impl Invariant {
    /// All invariants.
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

    /// The name in reports.
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

/// One violation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// The invariant violated.
    pub invariant: Invariant,
    /// The records that prove it, in the order of their times.
    pub proof: Vec<Record>,
    /// What is wrong.
    pub what: String,
}

impl Violation {
    pub(super) fn new<'a>(
        invariant: Invariant,
        what: String,
        proof: impl IntoIterator<Item = &'a Record>,
    ) -> Self {
        let proof = proof.into_iter().cloned().collect();
        Self {
            invariant,
            proof,
            what,
        }
    }
}

/// The result of a check.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// What makes the history unfit for a verdict.
    pub faults: Vec<HistoryFault>,
    /// Records read.
    pub records: usize,
    /// Requests sent by callers.
    pub requests: usize,
    /// Violations, grouped by invariant.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Whether the history is sound and no invariant is violated.
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
            writeln!(f, "{}: {}", violation.invariant, violation.what)?;
            for record in &violation.proof {
                let text = serde_json::to_string(record).map_err(|_| fmt::Error)?;
                writeln!(f, "    {text}")?;
            }
        }
        Ok(())
    }
}
