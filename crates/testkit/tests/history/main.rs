//! Checks histories whose violations are known.

#![allow(clippy::unwrap_used, reason = "a panic is how a test fails")]

mod detection;
mod generate;
mod notation;

use std::path::Path;
use std::process::Command;

use hawthornwall_testkit::history::{Limits, check, read_records};
use proptest::prelude::*;
use rstest::rstest;

const LIMITS: Limits = Limits {
    per_100s: 5,
    slot_share: 1,
    ..Limits::DEFAULT
};
const VALID: &str = "tests/history/valid.jsonl";

/// Guards against violations reported for a valid history. It contains a repeat with an idempotency
/// key, a hedge, a refused request that is sent again, a kill, a restart, a platform outage and a
/// graceful stop.
#[rstest]
fn a_valid_history_passes() {
    let report = check(&read_records(Path::new(VALID)).unwrap(), &LIMITS);
    insta::assert_snapshot!(report, @"records 71, requests 12, faults 0, violations 0");
}

proptest! {
    /// Guards against violations reported for randomly generated valid histories.
    #[test]
    fn random_valid_histories_pass(text in generate::histories()) {
        let report = check(&notation::records(&text), &LIMITS);
        prop_assert!(report.is_clean(), "{}", report);
    }
}

/// Guards against a success exit code for violations, inconsistent histories and invalid usage.
#[rstest]
#[case::valid(&[VALID], 0)]
#[case::violated(&["--per-100s", "2", VALID], 1)]
#[case::faulty(&["tests/history/faulty.jsonl"], 2)]
#[case::no_file(&[], 2)]
#[case::missing_file(&["tests/history/missing.jsonl"], 2)]
#[case::unknown_option(&["--unknown", VALID], 2)]
fn exit_codes(#[case] arguments: &[&str], #[case] code: i32) {
    let program = env!("CARGO_BIN_EXE_check-history");
    let output = Command::new(program).args(arguments).output().unwrap();
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}
