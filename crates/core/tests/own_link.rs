//! Detection of a fault of the own link, and how requests with late connections are handled.

use std::fmt::Write;

use hawthornwall_core::link::{Contact, OwnLink};
use hawthornwall_core::prelude::*;
use insta::assert_snapshot;
use rstest::rstest;

/// What a step of a scenario reports of a peer.
#[derive(Clone, Copy, Debug)]
enum Step {
    Late,
    Reached,
    /// The peer has been silent since this time, in milliseconds.
    Silent(u64),
}

const fn ms(millis: u64) -> Time {
    Time::from_micros(millis * 1_000)
}

/// Guards against a saturated own link for which each peer counts as unreachable in turn, and against lost
/// peers that are taken for a fault of the own link. Each step is `(time in ms, peer, what it reports)`.
#[rstest]
#[case::several_silent("several_silent", &[
    (0, 1, Step::Reached), (160, 1, Step::Silent(10)), (170, 2, Step::Silent(20)),
    (400, 2, Step::Late), (600, 3, Step::Silent(450)), (700, 3, Step::Reached),
    (860, 1, Step::Silent(710)),
])]
#[case::one_silent("one_silent", &[
    (160, 1, Step::Silent(10)), (170, 1, Step::Silent(20)), (400, 1, Step::Silent(250)),
])]
#[case::others_answer("others_answer", &[
    (160, 1, Step::Silent(10)), (165, 2, Step::Reached), (170, 3, Step::Silent(20)),
    (400, 1, Step::Silent(250)), (401, 2, Step::Reached), (420, 3, Step::Silent(270)),
])]
#[case::one_after_the_other("one_after_the_other", &[
    (160, 1, Step::Silent(10)), (1_500, 2, Step::Silent(1_350)),
])]
#[case::nothing_arrives("nothing_arrives", &[
    (160, 1, Step::Silent(10)), (170, 2, Step::Silent(20)), (1_000, 3, Step::Silent(850)),
    (1_500, 1, Step::Silent(1_350)), (1_600, 2, Step::Late), (1_700, 3, Step::Silent(1_550)),
])]
fn own_link(#[case] name: &str, #[case] steps: &[(u64, u8, Step)]) {
    let mut link = OwnLink::default();
    let mut lines = String::new();
    for (at, peer, step) in steps {
        let contact = match step {
            Step::Late => Contact::Late,
            Step::Reached => Contact::Reached,
            Step::Silent(since) => Contact::Silent(ms(*since)),
        };
        let change = link.on(*peer, contact, ms(*at));
        let verdict = link.verdict(ms(*at));
        let change = change.map_or(String::new(), |change| format!(" {change:?}"));
        let _ = writeln!(
            lines,
            "{at} peer{peer} {step:?}:{change} late connections: {verdict:?}"
        );
    }
    assert_snapshot!(name, lines);
}
