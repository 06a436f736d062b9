//! Tests of the comparison of callers' results with targets' records, and of the report.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornwall_measure::demo::{DaemonFigures, Figures, LatencyFigures, ProbeFigures, render};
use hawthornwall_measure::load::{
    Call, CallKind, CallResult, Mismatches, Quantiles, Route, Runs, check,
};
use hawthornwall_testkit::history::{Event, Record};
use hawthornwall_testkit::payload::{Verdict, encode, verify};
use insta::{assert_debug_snapshot, assert_snapshot};
use rstest::rstest;

fn result(kind: CallKind, outcome: &str, whole: bool) -> CallResult {
    CallResult {
        call: Call {
            at: Duration::ZERO,
            chunked: false,
            kind,
            number: 7,
            operation: 7,
            repeated: false,
            route: Route::Daemon(0),
            sent: 0,
            service: 0,
            size: 0,
        },
        key: None,
        lateness: Duration::ZERO,
        latency: Duration::from_millis(5),
        outcome: outcome.to_owned(),
        reason: String::new(),
        status: 200,
        verdict: Verdict {
            request: Some(7),
            target: "order-1".to_owned(),
            whole,
        },
    }
}

/// Parses records of runs from lines `target start`, `target done` and `target unanswered`.
fn records(lines: &[&str]) -> Vec<Record> {
    let record = |(at, line): (u64, &&str)| {
        let (party, what) = line.split_once(' ').expect("target and event");
        let event = match what {
            "start" => Event::RunStarted { request: 7 },
            done => Event::RunEnded {
                answered: done == "done",
                request: 7,
            },
        };
        Record {
            at: at * 100,
            event,
            party: party.to_owned(),
        }
    };
    (0..).zip(lines).map(record).collect()
}

const RUN: [&str; 2] = ["order-1 start", "order-1 done"];
const OTHER: [&str; 2] = ["order-2 start", "order-2 done"];
const UNANSWERED: [&str; 2] = ["order-1 start", "order-1 unanswered"];

// Guards against a check that misses a contradiction or reports one that isn't there. Each case has
// at most one.
#[rstest]
#[case::consistent(CallKind::Post, "answered", true, &[RUN].concat(), [0, 0, 0, 0])]
#[case::altered(CallKind::Read, "answered", false, &[RUN].concat(), [1, 0, 0, 0])]
#[case::never_ran(CallKind::Read, "answered", true, &[], [0, 0, 0, 1])]
#[case::ran_elsewhere(CallKind::Read, "answered", true, &[OTHER].concat(), [0, 0, 0, 1])]
#[case::unanswered_run(CallKind::Read, "answered", true, &[UNANSWERED].concat(), [0, 0, 0, 1])]
#[case::refused_but_ran(CallKind::Read, "refused", true, &[UNANSWERED].concat(), [0, 0, 1, 0])]
#[case::refused(CallKind::Post, "refused", true, &[], [0, 0, 0, 0])]
#[case::ran_twice(CallKind::Post, "answered", true, &[RUN, OTHER].concat(), [0, 1, 0, 0])]
#[case::keyed_ran_twice(CallKind::KeyedPost, "unknown", true, &[UNANSWERED, RUN].concat(),
    [0, 1, 0, 0])]
#[case::hedged(CallKind::Read, "answered", true, &[RUN, OTHER].concat(), [0, 0, 0, 0])]
fn contradictions(
    #[case] kind: CallKind,
    #[case] outcome: &str,
    #[case] whole: bool,
    #[case] lines: &[&str],
    #[case] expected: [usize; 4],
) {
    let Mismatches {
        altered,
        repeated,
        refused_but_ran,
        without_run,
    } = check(&[result(kind, outcome, whole)], &records(lines));
    let found = [altered, repeated, refused_but_ran, without_run].map(|list| list.len());
    assert_eq!(found, expected);
}

// Guards against a second execution that is missed since it has the request number of a repeat.
#[test]
fn repeat_that_ran_again() {
    let first = result(CallKind::KeyedPost, "answered", true);
    let mut repeat = first.clone();
    repeat.call.number = 8;
    let mut again = records(&RUN);
    let replayed = check(&[first.clone(), repeat.clone()], &again);
    again.push(Record {
        event: Event::RunStarted { request: 8 },
        ..again[0].clone()
    });
    let ran = check(&[first, repeat], &again);
    assert_debug_snapshot!((replayed.total(), ran));
}

// Guards against counting the first run of a hedged request as overhead of the daemons. The records
// are 100 us apart.
#[rstest]
#[case::one_run(&RUN, Some(("order-1", 100)))]
#[case::unanswered(&UNANSWERED, None)]
#[case::hedged(&["order-2 start", "order-1 start", "order-1 done", "order-2 unanswered"],
    Some(("order-2", 200)))]
#[case::repeated(&["order-2 start", "order-2 unanswered", "order-1 start", "order-1 done"],
    Some(("order-2", 200)))]
fn busy_time(#[case] lines: &[&str], #[case] expected: Option<(&str, u64)>) {
    let runs = Runs::of(&records(lines));
    let busy = runs.busy_until_answer(7, "order-1");
    assert_eq!(busy.map(|b| (b.first, b.us)), expected);
}

// Guards against callers that accept a truncated or mixed answer, or one that belongs to another
// request.
#[rstest]
#[case::own(7, "a body", 300, true)]
#[case::other_request(8, "a body", 300, false)]
#[case::other_body(7, "another body", 300, false)]
#[case::other_size(7, "a body", 301, false)]
fn answers(#[case] request: u64, #[case] sent: &str, #[case] size: usize, #[case] whole: bool) {
    let body = encode(7, "order-1", b"a body", 300);
    let verdict = verify(&body, request, sent.as_bytes(), size);
    assert_eq!(verdict.whole, whole);
    assert_eq!(verdict.request, Some(7));
}

// Guards against quantiles that are clipped at the histogram's initial range.
#[test]
fn quantiles_of_long_durations() {
    let durations = (1..=1_000).map(Duration::from_millis);
    assert_debug_snapshot!(Quantiles::of(durations));
}

// Guards against a report that omits or mislabels a figure.
#[test]
fn report() {
    let quantiles = |p50| Quantiles {
        count: 1_000,
        p50,
        p99: 10 * p50,
        p999: 20 * p50,
    };
    let latency = |whole, overhead| LatencyFigures {
        whole: quantiles(whole),
        overhead: quantiles(overhead),
    };
    let daemon = DaemonFigures {
        control_sent: Some(812.4),
        cpu_idle: 0.25,
        cpu_loaded: 12.0,
        memory_mib: 11.5,
        name: "order-1".to_owned(),
        threads: 1,
        ..DaemonFigures::default()
    };
    let figures = Figures {
        daemons: vec![daemon],
        direct: latency(5_000, 100),
        direct_outcomes: BTreeMap::from([("answered 200".to_owned(), 1_000)]),
        duration: Duration::from_millis(2_345),
        mismatches: Mismatches {
            altered: vec![3, 9],
            ..Mismatches::default()
        },
        probes: ProbeFigures {
            probes: 10,
            probe_time: Duration::from_millis(2),
            runs: 2_000,
            run_time: Duration::from_secs(10),
        },
        through: latency(5_400, 350),
        through_outcomes: BTreeMap::from([("refused target-full".to_owned(), 2)]),
        ..Figures::default()
    };
    assert_snapshot!(render(&figures));
}
