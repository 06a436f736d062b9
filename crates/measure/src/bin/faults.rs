//! `faults [--row NAME|all] [--seeds N] [--first-seed N] [--deployment NAME] [--keep true]`
//!
//! Runs rows of the fault table and prints the results. Exits with status 1 if an invariant is
//! violated, a process doesn't exit in time, or a run can't be completed.

use std::error::Error;
use std::process::ExitCode;

use hawthornwall_measure::faults::{FaultOptions, OPTIONS, ROWS, Row, RowResult, render, run_row};
use hawthornwall_testkit::arguments::Arguments;

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let arguments = Arguments::from_env(&OPTIONS)?;
    let name: Option<String> = arguments.optional("row")?;
    let rows: Vec<&Row> = match name.as_deref() {
        None | Some("all") => ROWS.iter().collect(),
        Some(name) => vec![Row::named(name).ok_or_else(|| names(name))?],
    };
    let first: u64 = arguments.optional("first-seed")?.unwrap_or(1);
    let seeds: u64 = arguments.optional("seeds")?.unwrap_or(1);
    let options = FaultOptions {
        deployment: arguments.optional("deployment")?,
        keep: arguments.optional("keep")?.unwrap_or(false),
        seed: first,
    };
    println!("| row | seeds | requests | violations | recovery, s | outcomes |\n|-|-|-|-|-|-|");
    let mut clean = true;
    for row in rows {
        let result = run_seeds(row, &options, seeds);
        println!("{}", render(&result));
        clean &= result.is_clean();
    }
    Ok(if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn run_seeds(row: &Row, options: &FaultOptions, seeds: u64) -> RowResult {
    let mut result = RowResult {
        errors: Vec::new(),
        name: row.name,
        runs: Vec::new(),
    };
    for seed in options.seed..options.seed + seeds {
        match run_row(row, &FaultOptions { seed, ..*options }) {
            Ok(run) => result.runs.push(run),
            Err(e) => result.errors.push((seed, e.to_string())),
        }
    }
    result
}

fn names(unknown: &str) -> String {
    let names: Vec<_> = ROWS.iter().map(|row| row.name).collect();
    format!(
        "no row is named `{unknown}`; available rows: {}",
        names.join(", ")
    )
}
