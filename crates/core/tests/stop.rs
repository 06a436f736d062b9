//! The schedule of a planned stop for graces of all lengths.

#![allow(clippy::unwrap_used, reason = "a panic is how a test fails")]

use std::fmt::Write as _;
use std::time::Duration;

use hawthornwall_core::prelude::*;
use hawthornwall_core::routes::{AnswerTimes, UsualTimes};
use hawthornwall_core::stop::{Expectation, StopPlan};
use insta::assert_snapshot;

/// Configured length of the announcement.
const ANNOUNCE: Duration = Duration::from_millis(2_500);

/// A request with a long deadline whose route has an objective and answer times of `millis`.
fn usual_times(now: Time, millis: u64) -> Expectation {
    let time = Duration::from_millis(millis);
    Expectation {
        deadline: now + Duration::from_mins(10),
        objective: time,
        usual: Some(UsualTimes {
            expected: time,
            longest: time,
        }),
    }
}

/// Guards against an announcement that lasts until the process is killed, and against requests that are
/// accepted although they can't be answered before.
#[test]
fn schedule_by_grace() {
    let mut table = String::new();
    for millis in [0, 500, 2_000, 6_000, 10_000, 60_000] {
        let grace = Duration::from_millis(millis);
        let plan = StopPlan::new(Time::ZERO, grace, ANNOUNCE);
        let (drain, accept) = (plan.drain_at(), plan.accept_until());
        let (answer, end) = (plan.answer_by(), plan.end());
        assert!(drain <= accept && accept <= answer && answer <= end);
        writeln!(
            table,
            "{grace:?}: drain {drain}, accept {accept}, answer {answer}, end {end}"
        )
        .unwrap();
        for tenth in [0, 3, 6, 9] {
            let now = Time::ZERO + grace * tenth / 10;
            let admitted: Vec<_> = [0, 500, 1_200]
                .map(|millis| plan.admit(&usual_times(now, millis), now).is_ok())
                .into();
            writeln!(table, "    at {now}: {admitted:?}").unwrap();
        }
    }
    assert_snapshot!(table);
}

/// Guards against requests that are taken although their answers have lately taken longer than what is left
/// of the grace, or although nothing is known of their time, and against refusals of requests that end in
/// time whatever happens.
#[test]
fn latest_send_by_expectation() {
    let ms = Duration::from_millis;
    let plan = StopPlan::new(Time::ZERO, ms(6_000), ANNOUNCE);
    let usual = |expected, longest| {
        Some(UsualTimes {
            expected: ms(expected),
            longest: ms(longest),
        })
    };
    let mut table = String::new();
    for arrived in [0, 1_000, 3_000, 3_001, 3_600, 5_000] {
        writeln!(table, "arrived at {arrived} ms").unwrap();
        for left in [400, 8_000] {
            for usual in [None, usual(100, 300), usual(1_000, 2_100)] {
                let now = Time::ZERO + ms(arrived);
                let request = Expectation {
                    deadline: now + ms(left),
                    objective: ms(500),
                    usual,
                };
                let send = plan.limits(&request, now).send;
                let admitted = plan.admit(&request, now).is_ok();
                let usual = usual.map(|u| u.longest);
                writeln!(
                    table,
                    "    {left} ms left, {usual:?}: send until {send}, {admitted}"
                )
                .unwrap();
            }
        }
    }
    assert_snapshot!(table);
}

/// Guards against times of a route that leave out requests which still run, that count refused ones, or that
/// are stated of a route with few requests.
#[test]
fn usual_times_of_a_route() {
    let at = |millis| Time::ZERO + Duration::from_millis(millis);
    let mut times = AnswerTimes::default();
    let mut table = String::new();
    let mut note = |name: &str, usual: Option<UsualTimes>| writeln!(table, "{name}: {usual:?}");
    for n in 0..7 {
        let id = times.start("a.example", "/x/", at(n));
        times.end("a.example", "/x/", id, at(n + 100));
    }
    note("seven requests", times.usual("a.example", "/x/", at(200))).unwrap();
    let refused = times.start("a.example", "/x/", at(200));
    times.discard("a.example", "/x/", refused);
    note("one refused", times.usual("a.example", "/x/", at(9_000))).unwrap();
    let left = times.start("a.example", "/x/", at(9_000));
    times.end("a.example", "/x/", left, at(9_050));
    note("eight requests", times.usual("a.example", "/x/", at(9_050))).unwrap();
    let running = times.start("a.example", "/x/", at(9_100));
    let _ = times.start("a.example", "/x/", at(9_200));
    note("two running", times.usual("a.example", "/x/", at(9_400))).unwrap();
    times.end("a.example", "/x/", running, at(9_500));
    note("one ended", times.usual("a.example", "/x/", at(9_500))).unwrap();
    note("another route", times.usual("a.example", "/y/", at(9_500))).unwrap();
    assert_snapshot!(table);
}
