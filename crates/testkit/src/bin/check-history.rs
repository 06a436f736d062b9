//! Checks the combined histories of one run: `check-history [OPTIONS] FILE...`.
//!
//! Exit codes: 0 no violation, 1 violations, 2 invalid usage, unreadable or inconsistent history.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use hawthornwall_testkit::history::{Limits, check, read_records};
use lexopt::prelude::*;

const USAGE: &str = "\
Usage: check-history [OPTIONS] FILE...

Options:
  --in-force-ms MS     time until a published version is in force everywhere (2000)
  --leaving-ms MS      time for which a leaving target may get new work (3000)
  --per-100s N         probes of one target in each 100 seconds (50)
  --slot-share N       share of slot time for probes, in hundredths of a percent (10)
  --slots N            slots of each target (10)";

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(e) => {
            eprintln!("check-history: {e}\n{USAGE}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<ExitCode, lexopt::Error> {
    let (files, limits) = arguments()?;
    let mut records = Vec::new();
    for file in files {
        let read = read_records(&file).map_err(|e| format!("{}: {e}", file.display()))?;
        records.extend(read);
    }
    let report = check(&records, &limits);
    print!("{report}");
    let code = match (report.faults.is_empty(), report.violations.is_empty()) {
        (true, true) => 0,
        (_, false) => 1,
        (false, true) => 2,
    };
    Ok(ExitCode::from(code))
}

fn arguments() -> Result<(Vec<PathBuf>, Limits), lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let (mut files, mut limits) = (Vec::new(), Limits::DEFAULT);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("in-force-ms") => {
                limits.in_force = Duration::from_millis(parser.value()?.parse()?);
            }
            Long("leaving-ms") => limits.leaving = Duration::from_millis(parser.value()?.parse()?),
            Long("per-100s") => limits.per_100s = parser.value()?.parse()?,
            Long("slot-share") => limits.slot_share = parser.value()?.parse()?,
            Long("slots") => limits.slots = parser.value()?.parse()?,
            Value(file) => files.push(file.into()),
            Long(_) | Short(_) => return Err(argument.unexpected()),
        }
    }
    if files.is_empty() {
        return Err("no history file is given".into());
    }
    Ok((files, limits))
}
