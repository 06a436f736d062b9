//! Capacity measurement: cost of the control plane and the request path, measured on real daemons.
//!
//! Invariant: each figure comes from a run of limited length; extrapolated values are labelled as
//! such.

mod document;
mod fit;
mod fleet;
mod history;
mod measure;
mod plan;
mod report;
mod requests;
mod sample;
mod timing;

use std::fmt;
use std::io;

use hawthornwall_testkit::arguments::ArgumentError;
use hawthornwall_testkit::launcher::LaunchError;

pub use document::{DocumentFigures, measure_documents, render_documents};
pub use fit::LinearFit;
pub use fleet::{Fleet, FleetOptions};
pub use history::{HistoryRow, check_history, render_history};
pub use measure::{FleetFigures, MeasureOptions, Phases, measure_fleet};
pub use plan::{fleet_plan, rules_patch};
pub use report::{fits, render_fits, render_fleets};
pub use requests::{RequestFigures, measure_requests, render_requests};
pub use sample::{Rates, Sample};

/// Reason why a measurement failed.
#[derive(Debug)]
pub enum CapacityError {
    /// The command line is invalid.
    Argument(ArgumentError),
    /// A file or socket operation failed.
    Io(io::Error),
    /// A process can't be started or controlled.
    Launch(LaunchError),
}

impl fmt::Display for CapacityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Argument(e) => e.fmt(f),
            Self::Io(e) => e.fmt(f),
            Self::Launch(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for CapacityError {}

impl From<ArgumentError> for CapacityError {
    fn from(e: ArgumentError) -> Self {
        Self::Argument(e)
    }
}

impl From<io::Error> for CapacityError {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

impl From<LaunchError> for CapacityError {
    fn from(e: LaunchError) -> Self {
        Self::Launch(e)
    }
}
