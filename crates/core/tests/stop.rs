//! The schedule of a planned stop for graces of all lengths.

#![allow(clippy::unwrap_used, reason = "a panic is how a test fails")]

use std::fmt::Write as _;
use std::time::Duration;

use hawthornwall_core::prelude::*;
use hawthornwall_core::stop::StopPlan;
use insta::assert_snapshot;

/// Configured length of the announcement.
const ANNOUNCE: Duration = Duration::from_millis(2_500);

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
                .map(|objective| plan.admit(Duration::from_millis(objective), now).is_ok())
                .into();
            writeln!(table, "    at {now}: {admitted:?}").unwrap();
        }
    }
    assert_snapshot!(table);
}
