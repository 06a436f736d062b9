//! A selection of the fault table's rows, a few seconds each; `scripts/faults` runs all of them.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use hawthornwall_measure::faults::{
    FaultOptions, ROWS, Row, RowResult, parse_script, render, run_row,
};
use hawthornwall_testkit::random::Random;
use rstest::rstest;

/// Allows one deployment at a time, since concurrent ones would compete for processor time.
static DEPLOYMENT_LOCK: Mutex<()> = Mutex::new(());

// Guards against violations of the invariants that the history checker tests, under the most common
// faults.
#[rstest]
#[case::crash("both-killed")]
#[case::pause("daemon-paused")]
#[case::planned_stop("daemon-stopped")]
#[case::rude_callers("rude-callers")]
#[case::silent_connection("silent-flow")]
fn invariants_hold(#[case] name: &str) {
    let _lock = DEPLOYMENT_LOCK
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let row = Row::named(name).expect("the row exists");
    let options = FaultOptions {
        seed: 1,
        ..FaultOptions::default()
    };
    let run = run_row(row, &options).expect("the run completes");
    let result = RowResult {
        errors: Vec::new(),
        name: row.name,
        runs: vec![run],
    };
    // A run without requests can't violate an invariant, so it would pass without testing anything.
    assert!(result.runs[0].report.requests > 100);
    assert!(result.is_clean(), "{}", render(&result));
}

// Guards against rows whose script can't be parsed, and rows that share a name and so can't be
// selected on the command line.
#[test]
fn rows_are_sound() {
    let names: BTreeSet<_> = ROWS.iter().map(|row| row.name).collect();
    assert_eq!(names.len(), ROWS.len());
    for row in ROWS {
        let steps = parse_script(row.script, &mut Random::new(1));
        assert!(steps.is_ok(), "{}: {steps:?}", row.name);
    }
}
