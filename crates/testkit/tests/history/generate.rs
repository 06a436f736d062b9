//! Random histories in which every invariant holds, in the notation of [`crate::notation`].
//!
//! The bounds of [`crate::LIMITS`] are 2 s for versions and 3 s for leaving.

use std::fmt::Write;

use proptest::prelude::*;

#[derive(Clone, Copy, Debug, PartialEq)]
enum CallEnd {
    Answered,
    Broken,
    Hedged,
    Lost,
    Refused,
    RefusedThenAnswered,
    Replayed,
}

const ENDS: [CallEnd; 7] = [
    CallEnd::Answered,
    CallEnd::Broken,
    CallEnd::Hedged,
    CallEnd::Lost,
    CallEnd::Refused,
    CallEnd::RefusedThenAnswered,
    CallEnd::Replayed,
];

/// Generates histories of fewer than 30 calls, up to three daemons with one absence each, and fewer
/// than five versions.
pub fn histories() -> impl Strategy<Value = String> {
    let call = (
        0..30_000u64,
        prop::sample::select(&ENDS[..]),
        any::<bool>(),
        1..900u64,
        0..3u64,
    );
    let daemon = (1000..20_000u64, 1..8000u64, 1..1900u64, any::<bool>());
    let calls = prop::collection::vec(call, 0..30);
    let daemons = prop::collection::vec(daemon, 1..4);
    let versions = prop::collection::btree_set(0..25_000u64, 0..5);
    (calls, daemons, 0..20_000u64, versions).prop_map(|(calls, daemons, leaving, versions)| {
        let mut text = format!("{leaving} target-0 leaving;");
        for (index, (at, end, idempotent, length, target)) in calls.into_iter().enumerate() {
            // Target 0 leaves: later calls, and calls whose connection breaks, go to target 1.
            let moved = at > leaving + 2000 || matches!(end, CallEnd::Broken | CallEnd::Lost);
            let target = if moved { target.max(1) } else { target };
            text += &call_text(index * 2, (at, at + length), target, (end, idempotent));
        }
        let versions: Vec<_> = versions.into_iter().collect();
        for (index, (from, length, delay, killed)) in daemons.into_iter().enumerate() {
            text += &daemon_text(index, (from, from + length), (delay, killed), &versions);
        }
        for (index, at) in versions.iter().enumerate() {
            write!(text, "{at} platform published {};", index + 1).unwrap();
        }
        (0..5).for_each(|n| write!(text, "{} target-1 probed 1000;", n * 7000).unwrap());
        text
    })
}

/// Records of the call with request number `n`, and of its repeat with the next number.
fn call_text(
    n: usize,
    (at, done): (u64, u64),
    target: u64,
    (end, idempotent): (CallEnd, bool),
) -> String {
    let next = n + 1;
    let once = if idempotent || end == CallEnd::Hedged {
        ""
    } else {
        "once"
    };
    let sent = format!("{at} caller sent {n} {n} {once};");
    let run = format!("{at} target-{target} start {n}; {done} target-{target}");
    let answered = format!("{done} caller answered {n};");
    sent + &match end {
        CallEnd::Answered => format!("{run} end {n}; {answered}"),
        CallEnd::Broken => format!("{run} cut {n}; {done} caller broken {n};"),
        CallEnd::Hedged => {
            format!("{run} cut {n}; {done} target-2 start {n}; {done} target-2 end {n}; {answered}")
        }
        CallEnd::Lost => {
            let outcome = if once.is_empty() { "failed" } else { "unknown" };
            format!("{run} cut {n}; {done} caller {outcome} {n};")
        }
        CallEnd::Refused => format!("{done} caller refused {n};"),
        CallEnd::RefusedThenAnswered => format!(
            "{at} caller refused {n}; {at} caller sent {next} {n} {once}; \
             {at} target-{target} start {next}; {done} caller answered {next};"
        ),
        CallEnd::Replayed => format!(
            "{run} end {n}; {answered} {done} caller sent {next} {n} {once}; \
             {done} caller answered {next} {n};"
        ),
    }
}

/// Records of a daemon that adopts each version after a delay, or the delay after its return.
fn daemon_text(
    index: usize,
    (from, to): (u64, u64),
    (delay, killed): (u64, bool),
    versions: &[u64],
) -> String {
    let (gone, back) = if killed {
        ("killed", "started")
    } else {
        ("cut_off", "restored")
    };
    let name = format!("daemon-{index}");
    let mut text =
        format!("0 {name} started target-{index}; {from} {name} {gone}; {to} {name} {back};");
    for (number, published) in versions.iter().enumerate() {
        let version = number + 1;
        let present = published + delay;
        let seen = if present < from {
            present
        } else {
            present.max(to + delay)
        };
        // A restarted daemon adopts each earlier version again.
        let again = (killed && seen < from).then_some(to + delay);
        for at in [seen].into_iter().chain(again) {
            let run = u8::from(killed && at > to);
            let digest = version * 11;
            write!(
                text,
                "{at} {name} in-force {version} {digest} instance-{run};"
            )
            .unwrap();
        }
    }
    text
}
