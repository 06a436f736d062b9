//! Command line of the experiment tool.

use std::path::PathBuf;
use std::time::Duration;

use hawthornwall_core::routing::Policy;

use super::plan::{PlanName, Scope};
use super::variant::Variant;
use hawthornwall_testkit::arguments::{ArgumentError, Arguments};
use hawthornwall_testkit::launcher::Deployment;

/// Names of the options that the program accepts, without leading dashes.
pub const OPTIONS: [&str; 7] = [
    "plan",
    "deployment",
    "policies",
    "seeds",
    "seconds",
    "rate",
    "out",
];

/// Options of an experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct ExperimentOptions {
    /// Output folder for tables, figures and plots.
    pub out: PathBuf,
    /// Plan of load and faults.
    pub plan: PlanName,
    /// Deployment, load and duration that the plan is applied to.
    pub scope: Scope,
    /// Number of seeds. Each variant is run with the seeds from 1 to this.
    pub seeds: u64,
    /// Variants to compare.
    pub variants: Vec<Variant>,
}

impl ExperimentOptions {
    /// Parses the command line; absent options get their defaults.
    ///
    /// # Errors
    ///
    /// The plan is missing or a value can't be parsed.
    pub fn from_arguments(arguments: &Arguments) -> Result<Self, ArgumentError> {
        let seconds: f64 = arguments.optional("seconds")?.unwrap_or(10.0);
        let policies: Option<String> = arguments.optional("policies")?;
        let policies = match policies {
            Some(names) => parse_policies(&names)?,
            None => Policy::ALL.to_vec(),
        };
        let deployment: Option<Deployment> = arguments.optional("deployment")?;
        Ok(Self {
            out: arguments.optional("out")?.unwrap_or_else(|| ".".into()),
            plan: arguments.required("plan")?,
            scope: Scope {
                deployment: deployment.unwrap_or(Deployment::Faellesvaerftet),
                rate: arguments.optional("rate")?,
                length: Duration::from_secs_f64(seconds.clamp(1.0, 3_600.0)),
            },
            seeds: arguments.optional("seeds")?.unwrap_or(3),
            variants: Variant::of(&policies),
        })
    }
}

fn parse_policies(names: &str) -> Result<Vec<Policy>, ArgumentError> {
    let read = |name: &str| name.parse().map_err(ArgumentError::Syntax);
    names.split(',').map(read).collect()
}
