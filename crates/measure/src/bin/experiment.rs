//! `experiment --plan NAME [--deployment faellesvaerftet|ogun] [--policies a,b] [--seeds N]
//! [--seconds N] [--rate PER_SECOND] [--out DIR]`, or `experiment --list`
//!
//! Prints the tables and writes `<deployment>-<plan>.json`, `.md` and `.svg` to the output folder.
//! Exits with status 1 if callers' results contradict the targets' records or probes exceed their
//! budget.

use std::error::Error;
use std::fs;
use std::process::ExitCode;

use hawthornwall_measure::experiment::{
    ExperimentOptions, Figures, OPTIONS, PlanName, draw, render, run_experiment, to_json,
};
use hawthornwall_testkit::arguments::Arguments;

fn main() -> Result<ExitCode, Box<dyn Error>> {
    if std::env::args().skip(1).eq(["--list"]) {
        for plan in PlanName::ALL {
            println!("{:<12} {}", plan.name(), plan.summary());
        }
        return Ok(ExitCode::SUCCESS);
    }
    let options = ExperimentOptions::from_arguments(&Arguments::from_env(&OPTIONS)?)?;
    fs::create_dir_all(&options.out)?;
    let experiment = run_experiment(&options)?;
    let name = format!("{}-{}", options.scope.deployment, options.plan);
    let file = |extension: &str| options.out.join(format!("{name}.{extension}"));
    let tables = render(&experiment);
    println!("{tables}");
    fs::write(file("md"), tables)?;
    fs::write(file("json"), serde_json::to_string(&to_json(&experiment))?)?;
    draw(&experiment, &file("svg"))?;
    let is_valid = |f: &Figures| f.mismatches == 0 && f.cost.over_budget == 0;
    let is_valid = experiment
        .results
        .iter()
        .flat_map(|(_, runs)| runs)
        .all(is_valid);
    Ok(if is_valid {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
