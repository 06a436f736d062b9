//! Experiments: named plans of load and faults, run with real daemons for each routing policy.
//!
//! Invariant: within a comparison every variant is run with the same arrivals and faults, drawn
//! from the same seeds.

mod arrivals;
mod faults;
mod figures;
mod json;
mod options;
mod overload;
mod plan;
mod plot;
mod run;
mod table;
mod variant;

pub use arrivals::{Phase, plan_arrivals};
pub use faults::{Action, Fault};
pub use figures::{Figures, Percentiles};
pub use json::to_json;
pub use options::{ExperimentOptions, OPTIONS};
pub use overload::OverloadFigures;
pub use plan::{PlanName, Scenario, Scope};
pub use plot::draw;
pub use run::{Experiment, ExperimentError, run_experiment};
pub use table::render;
pub use variant::Variant;
