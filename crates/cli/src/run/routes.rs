//! Executes `check` for a configuration in the form of the platform's store.

use std::fmt;

use error_stack::Report;
use hawthornwall_core::catalog::RoutesDifference;
use hawthornwall_core::ids::Version;
use hawthornwall_platform::{DecodeFault, Finding, Review, compare_routes, review_routes};
use serde::Serialize;

use super::WithText;
use super::source;
use crate::command::Input;
use crate::exit::Failure;

/// Weight of a finding.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// Daemons don't use the configuration.
    Error,
    /// A difference from the other configuration.
    Difference,
    /// Daemons use the configuration, but a part of it has no effect or a harmful one.
    Warning,
}

/// A finding or a difference with its text and its weight.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Reviewed<T> {
    /// Weight of the finding.
    pub severity: Severity,
    /// The finding.
    #[serde(flatten)]
    pub value: WithText<T>,
}

impl<T: fmt::Display> Reviewed<T> {
    fn new(severity: Severity, value: T) -> Self {
        let value = value.into();
        Self { severity, value }
    }
}

/// Result of checking a configuration in the form of the platform's store.
#[derive(Clone, Debug, Serialize)]
pub struct RoutesCheck {
    /// What differs from the other configuration; empty if there is none or if the file has errors.
    pub differences: Vec<Reviewed<RoutesDifference>>,
    /// Number of errors among findings and differences.
    pub errors: usize,
    /// The file as named on the command line.
    pub file: String,
    /// All findings about the file alone.
    pub findings: Vec<Reviewed<Finding>>,
    /// Number of routes that were decoded.
    pub routes: usize,
    /// Number of services.
    pub services: usize,
    /// Version of the configuration; `None` if there are errors about the file alone.
    pub version: Option<Version>,
    /// Number of warnings among the findings.
    pub warnings: usize,
}

/// Reads the configuration that another one is compared with.
pub(super) fn base(input: &Input) -> Result<Review, Report<Failure>> {
    let review = review_routes(&source::read_bytes(input)?);
    match review.findings.iter().find(|finding| finding.is_error()) {
        None => Ok(review),
        Some(error) => {
            let fault = Report::new(DecodeFault(error.to_string()));
            Err(fault.change_context(Failure::Content(input.to_string())))
        }
    }
}

/// Checks a configuration, and compares it with `base` if it has no errors.
pub(super) fn check(bytes: &[u8], file: String, base: Option<&Review>) -> RoutesCheck {
    let review = review_routes(bytes);
    let base = base.filter(|_| review.errors() == 0);
    let differences = base.map(|base| compare_routes(base, &review));
    let differences = differences.into_iter().flatten().map(|difference| {
        let severity = if difference.is_fault() {
            Severity::Error
        } else {
            Severity::Difference
        };
        Reviewed::new(severity, difference)
    });
    let differences: Vec<_> = differences.collect();
    let stale = differences.iter().filter(|d| d.severity == Severity::Error);
    let errors = review.errors();
    RoutesCheck {
        errors: errors + stale.count(),
        file,
        routes: review.published.routes.len(),
        services: review.services.len(),
        version: (errors == 0).then_some(review.published.version),
        warnings: review.findings.len() - errors,
        differences,
        findings: review.findings.into_iter().map(reviewed).collect(),
    }
}

fn reviewed(finding: Finding) -> Reviewed<Finding> {
    let severity = if finding.is_error() {
        Severity::Error
    } else {
        Severity::Warning
    };
    Reviewed::new(severity, finding)
}
