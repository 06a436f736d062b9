//! The valid history with one planted violation each.

use std::path::Path;

use hawthornwall_testkit::history::{
    Change, Event, HistoryFault, Invariant, Record, check, read_records,
};
use rstest::rstest;

use crate::{LIMITS, VALID};

fn at(ms: u64, party: &str, event: Event) -> Record {
    Record {
        at: ms * 1000,
        event,
        party: party.to_owned(),
    }
}

fn sent(ms: u64, request: u64) -> Record {
    let event = Event::Sent {
        idempotent: true,
        key: None,
        operation: request,
        request,
        service: "calendar".to_owned(),
    };
    at(ms, "caller-1", event)
}

fn received(ms: u64, request: u64, body: u64) -> Record {
    let event = Event::Received {
        body: Some(body),
        outcome: "answered".to_owned(),
        reason: String::new(),
        request,
        status: 200,
        whole: true,
    };
    at(ms, "caller-1", event)
}

/// A request without a usable answer; status 0 is a broken connection.
fn lost(ms: u64, request: u64, outcome: &str, status: u16) -> Record {
    let event = Event::Received {
        body: None,
        outcome: outcome.to_owned(),
        reason: "connection-closed".to_owned(),
        request,
        status,
        whole: status != 0,
    };
    at(ms, "caller-1", event)
}

fn partial(mut record: Record) -> Record {
    if let Event::Received { whole, .. } = &mut record.event {
        *whole = false;
    }
    record
}

fn started(ms: u64, request: u64, target: &str) -> Record {
    at(ms, target, Event::RunStarted { request })
}

fn in_force(ms: u64, version: u64, digest: u64) -> Record {
    let instance = "instance-a1".to_owned();
    at(
        ms,
        "daemon-a",
        Event::InForce {
            digest,
            instance,
            version,
        },
    )
}

fn other_caller(record: Record) -> Record {
    Record {
        party: "caller-2".to_owned(),
        ..record
    }
}

fn routed(ms: u64, request: u64, daemon: &str) -> Record {
    at(
        ms,
        "caller-1",
        Event::Routed {
            daemon: daemon.to_owned(),
            request,
        },
    )
}

fn probed(ms: u64, cost: u64) -> Record {
    at(ms, "target-a", Event::Probed { cost })
}

/// Guards against a checker that misses a violation or names another invariant with it.
#[rstest]
#[case::answered_twice(Invariant::AnsweredOnce, vec![received(2000, 1, 1)])]
#[case::started_twice_elsewhere(Invariant::AtMostOnce, vec![started(2000, 1, "target-b")])]
#[case::started_twice_at_one_target(Invariant::AtMostOnce, vec![started(1005, 1, "target-a")])]
#[case::repeat_ran(Invariant::AtMostOnce, vec![started(1102, 2, "target-a")])]
#[case::unknown_ran_again(Invariant::AtMostOnce, vec![started(1600, 6, "target-a")])]
#[case::connection_cut_by_daemon(
    Invariant::GracefulStop,
    vec![sent(5950, 20), routed(5950, 20, "daemon-b"), lost(6250, 20, "", 0)],
)]
#[case::run_cut_by_target(
    Invariant::GracefulStop,
    vec![sent(5950, 20), started(5960, 20, "target-b"), lost(6100, 20, "failed", 502)],
)]
#[case::run_cut_by_daemon_beside(
    Invariant::GracefulStop,
    vec![sent(6150, 20), started(6160, 20, "target-b"), lost(6300, 20, "unknown", 502)],
)]
#[case::new_work_for_leaving(
    Invariant::LeavingTarget,
    vec![sent(9000, 20), started(9001, 20, "target-b"), received(9010, 20, 20)],
)]
#[case::refused_ran_later(Invariant::NotRun, vec![started(1700, 7, "target-a")])]
#[case::refused_ran_before(Invariant::NotRun, vec![started(1601, 7, "target-a")])]
#[case::response_of_another(
    Invariant::OwnResponse,
    vec![sent(2000, 20), received(2010, 20, 3)],
)]
#[case::response_to_another(
    Invariant::OwnResponse,
    vec![sent(2000, 20), other_caller(received(2010, 20, 20))],
)]
#[case::too_many_probes(Invariant::ProbeBudget, vec![probed(15_000, 1)])]
#[case::too_costly_probe(
    Invariant::ProbeBudget,
    vec![at(15_000, "target-b", Event::Probed { cost: 100_001 })],
)]
#[case::version_late(
    Invariant::VersionInForce,
    vec![at(12_000, "platform", Event::Published { version: 3 }), in_force(14_001, 3, 33)],
)]
#[case::two_digests(Invariant::VersionDigest, vec![in_force(5000, 2, 23)])]
#[case::version_back(Invariant::VersionOrder, vec![in_force(13_000, 1, 11)])]
#[case::partial_response(
    Invariant::WholeResponse,
    vec![sent(2000, 20), partial(received(2010, 20, 20))],
)]
fn a_planted_violation_is_named(#[case] invariant: Invariant, #[case] planted: Vec<Record>) {
    let mut records = read_records(Path::new(VALID)).unwrap();
    records.extend(planted);
    let report = check(&records, &LIMITS);
    let found: Vec<_> = report.violations.iter().map(|v| v.invariant).collect();
    assert!(
        !found.is_empty() && found.iter().all(|f| *f == invariant),
        "{report}"
    );
    let case = std::thread::current().name().unwrap_or_default().to_owned();
    let name = case.rsplit("case_").next().unwrap_or_default();
    insta::assert_snapshot!(name.split_once('_').unwrap().1, report);
}

/// Guards against verdicts that hold a party to what it can't do while it is absent.
#[rstest]
#[case::cut_by_a_kill(vec![
    sent(5950, 20),
    routed(5950, 20, "daemon-b"),
    at(6210, "daemon-b", Event::Presence { beside: None, change: Change::Killed }),
    lost(6250, 20, "", 0),
])]
#[case::sent_after_the_stop(vec![
    sent(6250, 20),
    routed(6250, 20, "daemon-b"),
    lost(6260, 20, "", 0),
])]
#[case::cut_off_daemon(vec![
    at(11_900, "daemon-a", Event::Presence { beside: None, change: Change::CutOff }),
    at(11_900, "daemon-c", Event::Presence { beside: None, change: Change::CutOff }),
    at(12_000, "platform", Event::Published { version: 3 }),
])]
#[case::unpublished_yet(vec![at(19_000, "platform", Event::Published { version: 3 })])]
fn absence_excuses(#[case] planted: Vec<Record>) {
    let mut records = read_records(Path::new(VALID)).unwrap();
    records.extend(planted);
    let report = check(&records, &LIMITS);
    assert!(report.is_clean(), "{report}");
}

/// Guards against a verdict on a history that lost records.
#[rstest]
#[case(started(2000, 20, "target-a"), HistoryFault::NeverSent(20))]
#[case(sent(2000, 3), HistoryFault::NumberUsedTwice(3))]
fn unfit_histories_are_told(#[case] planted: Record, #[case] fault: HistoryFault) {
    let mut records = read_records(Path::new(VALID)).unwrap();
    records.push(planted);
    assert_eq!(check(&records, &LIMITS).faults, [fault]);
}
