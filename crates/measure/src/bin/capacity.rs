//! `capacity [--mode fleet|steady|requests|history|document] [--counts N,N,...] [--settle-s N]
//! [--steady-s N] [--patches N] [--probes PER_100S] [--rates N,N,...] [--seconds N]
//! [--seeds FIRST-LAST]`
//!
//! Measures capacity and prints the results as tables and as JSON. Mode `history` exits with status
//! 1 if a daemon went back to an older version, a version had two digests, or a daemon ended without
//! the last version.

use std::process::ExitCode;
use std::time::Duration;

use hawthornwall_measure::capacity::{
    CapacityError, HistoryRow, MeasureOptions, Phases, check_history, fits, measure_documents,
    measure_fleet, measure_requests, render_documents, render_fits, render_fleets, render_history,
    render_requests,
};
use hawthornwall_testkit::arguments::{ArgumentError, Arguments};
use serde::Serialize;

const OPTIONS: [&str; 9] = [
    "mode", "counts", "settle-s", "steady-s", "patches", "probes", "rates", "seconds", "seeds",
];

fn main() -> Result<ExitCode, Box<dyn std::error::Error>> {
    let arguments = Arguments::from_env(&OPTIONS)?;
    let mode: String = arguments.optional("mode")?.unwrap_or_default();
    Ok(match mode.as_str() {
        "" | "fleet" => measure_fleets(&arguments, Phases::All)?,
        "steady" => measure_fleets(&arguments, Phases::Steady)?,
        "requests" => measure_request_path(&arguments)?,
        "document" => {
            let figures = measure_documents(&parse_list(
                &arguments,
                "counts",
                &[0, 100, 500, 1_000, 2_700],
            )?);
            println!("{}", render_documents(&figures));
            print_json(&figures);
            ExitCode::SUCCESS
        }
        "history" => check_histories(&arguments)?,
        _ => return Err(ArgumentError::Value("mode".to_owned()).into()),
    })
}

fn measure_fleets(arguments: &Arguments, phases: Phases) -> Result<ExitCode, CapacityError> {
    let counts: Vec<usize> = parse_list(arguments, "counts", &[12, 24, 48, 96, 150])?;
    let seconds = |name, default| {
        let configured: Option<u64> = arguments.optional(name)?;
        Ok::<_, ArgumentError>(Duration::from_secs(configured.unwrap_or(default)))
    };
    let mut fleets = Vec::new();
    for count in counts {
        let options = MeasureOptions {
            count,
            patches: arguments.optional("patches")?.unwrap_or(30),
            phases,
            probes: arguments.optional("probes")?,
            settle: seconds("settle-s", 8)?,
            steady: seconds("steady-s", 20)?,
        };
        fleets.push(measure_fleet(&options)?);
        // Each fleet takes minutes, so the table is printed after each one.
        println!("{}", render_fleets(&fleets));
    }
    let fits = fits(&fleets);
    println!("{}", render_fits(&fits));
    print_json(&(fleets, fits));
    Ok(ExitCode::SUCCESS)
}

fn measure_request_path(arguments: &Arguments) -> Result<ExitCode, CapacityError> {
    let rates: Vec<u32> = parse_list(arguments, "rates", &[50, 100, 200, 300])?;
    let seconds = arguments.optional("seconds")?.unwrap_or(8);
    let figures = measure_requests(&rates, seconds)?;
    println!("{}", render_requests(&figures));
    print_json(&figures);
    Ok(ExitCode::SUCCESS)
}

fn check_histories(arguments: &Arguments) -> Result<ExitCode, CapacityError> {
    let seeds: String = arguments
        .optional("seeds")?
        .unwrap_or_else(|| "1-20".to_owned());
    let bounds = seeds.split_once('-');
    let bounds = bounds.and_then(|(a, b)| Some((a.parse::<u64>().ok()?, b.parse::<u64>().ok()?)));
    let (first, last) = bounds.ok_or_else(|| ArgumentError::Value("seeds".to_owned()))?;
    let rows: Result<Vec<_>, _> = (first..=last).map(check_history).collect();
    let rows = rows?;
    println!("{}", render_history(&rows));
    print_json(&rows);
    Ok(if rows.iter().all(HistoryRow::is_clean) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn parse_list<T: Copy + std::str::FromStr>(
    arguments: &Arguments,
    name: &str,
    default: &[T],
) -> Result<Vec<T>, ArgumentError> {
    let Some(text) = arguments.optional::<String>(name)? else {
        return Ok(default.to_vec());
    };
    let numbers: Result<Vec<T>, _> = text.split(',').map(str::parse).collect();
    numbers.map_err(|_| ArgumentError::Value(name.to_owned()))
}

fn print_json(value: &impl Serialize) {
    match serde_json::to_string(value) {
        Ok(text) => println!("{text}"),
        Err(e) => eprintln!("the figures can't be written as JSON: {e}"),
    }
}
