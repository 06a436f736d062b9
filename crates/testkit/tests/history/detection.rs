//! Adds records that violate one invariant to the valid history.

use std::path::Path;

use hawthornwall_testkit::history::{HistoryFault, Invariant, Report, check, read_records};
use rstest::rstest;

use crate::notation::records;
use crate::{LIMITS, VALID};

fn check_with(added: &str) -> Report {
    let mut all = read_records(Path::new(VALID)).unwrap();
    all.extend(records(added));
    check(&all, &LIMITS)
}

/// Guards against violations that are missed or attributed to another invariant.
#[rstest]
#[case::answered_twice(Invariant::AnsweredOnce, "2000 caller-1 answered 1")]
#[case::started_twice_elsewhere(Invariant::AtMostOnce, "2000 target-b start 1")]
#[case::started_twice_at_one_target(Invariant::AtMostOnce, "1005 target-a start 1")]
#[case::repeat_ran(Invariant::AtMostOnce, "1102 target-a start 2")]
#[case::unknown_ran_again(Invariant::AtMostOnce, "1600 target-a start 6")]
#[case::connection_closed_by_daemon(
    Invariant::GracefulStop,
    "5950 caller-1 sent 20; 5950 caller-1 routed 20 daemon-b; 6250 caller-1 broken 20"
)]
#[case::run_interrupted_by_target(
    Invariant::GracefulStop,
    "5950 caller-1 sent 20; 5960 target-b start 20; 6100 caller-1 failed 20"
)]
#[case::run_interrupted_by_daemon(
    Invariant::GracefulStop,
    "6150 caller-1 sent 20; 6160 target-b start 20; 6300 caller-1 unknown 20"
)]
#[case::new_work_for_leaving(
    Invariant::LeavingTarget,
    "9000 caller-1 sent 20; 9001 target-b start 20; 9010 caller-1 answered 20"
)]
#[case::refused_ran_later(Invariant::NotRun, "1700 target-a start 7")]
#[case::refused_ran_before(Invariant::NotRun, "1601 target-a start 7")]
#[case::repeat_refused(
    Invariant::NotRun,
    "2000 caller-1 sent 20 1 once; 2010 caller-1 refused 20"
)]
#[case::response_to_another_request(
    Invariant::OwnResponse,
    "2000 caller-1 sent 20; 2010 caller-1 answered 20 3"
)]
#[case::response_to_another_caller(
    Invariant::OwnResponse,
    "2000 caller-1 sent 20; 2010 caller-2 answered 20"
)]
#[case::too_many_probes(Invariant::ProbeBudget, "15000 target-a probed 1")]
#[case::too_costly_probe(Invariant::ProbeBudget, "15000 target-b probed 100001")]
#[case::version_late(
    Invariant::VersionInForce,
    "12000 platform published 3; 13000 daemon-c in-force 3 33 instance-c2;
    14001 daemon-a in-force 3 33 instance-a1"
)]
#[case::two_digests(Invariant::VersionDigest, "5000 daemon-a in-force 2 23 instance-a1")]
#[case::version_back(Invariant::VersionOrder, "13000 daemon-a in-force 1 11 instance-a1")]
#[case::partial_response(
    Invariant::WholeResponse,
    "2000 caller-1 sent 20; 2010 caller-1 partial 20"
)]
fn a_violation_is_reported(#[case] invariant: Invariant, #[case] added: &str) {
    let report = check_with(added);
    let found: Vec<_> = report.violations.iter().map(|v| v.invariant).collect();
    assert_eq!(found, [invariant], "{report}");
    let case = std::thread::current().name().unwrap_or_default().to_owned();
    let name = case.rsplit("case_").next().unwrap_or_default();
    insta::assert_snapshot!(name.split_once('_').unwrap().1, report);
}

/// Guards against violations reported for parties that are absent when the bound would apply.
#[rstest]
#[case::interrupted_by_a_kill(
    "5950 caller-1 sent 20; 5950 caller-1 routed 20 daemon-b; 6210 daemon-b killed;
    6250 caller-1 broken 20"
)]
#[case::sent_after_the_stop(
    "6250 caller-1 sent 20; 6250 caller-1 routed 20 daemon-b; 6260 caller-1 broken 20"
)]
#[case::cut_off_daemons(
    "11900 daemon-a cut_off; 11900 daemon-c cut_off; 12000 platform published 3"
)]
#[case::returned_late(
    "11900 daemon-a cut_off; 12000 platform published 3; 12500 daemon-c in-force 3 33 instance-c2;
    16000 daemon-a restored; 17900 daemon-a in-force 3 33 instance-a1"
)]
#[case::not_due_yet("19000 platform published 3")]
fn absent_parties_violate_nothing(#[case] added: &str) {
    let report = check_with(added);
    assert!(report.is_clean(), "{report}");
}

/// Guards against a clean report for a history with lost or duplicate records.
#[rstest]
#[case("2000 target-a start 20", HistoryFault::UnsentRequest(20))]
#[case("2000 caller-1 sent 3", HistoryFault::DuplicateRequest(3))]
fn faulty_histories_are_reported(#[case] added: &str, #[case] fault: HistoryFault) {
    assert_eq!(check_with(added).faults, [fault]);
}
