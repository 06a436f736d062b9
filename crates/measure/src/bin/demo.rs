//! `demo [--deployment faellesvaerftet|ogun] [--requests N] [--rate PER_SECOND]
//! [--direct-percent N] [--mean-us N] [--idle-s N] [--seed N] [--keep true]`
//!
//! Exits with status 1 if callers' results contradict the targets' records or an invariant is
//! violated.

use std::error::Error;
use std::process::ExitCode;

use hawthornwall_measure::demo::{DemoOptions, OPTIONS, render, run_demo};
use hawthornwall_testkit::arguments::Arguments;

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let arguments = Arguments::from_env(&OPTIONS)?;
    let options = DemoOptions::from_arguments(&arguments)?;
    println!(
        "Starting {}: seed {}, {} calls a second",
        options.deployment, options.seed, options.rate
    );
    let figures = run_demo(&options)?;
    println!("{}", render(&figures));
    Ok(if figures.is_clean() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
