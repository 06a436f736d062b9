//! Admission of large bodies to a link of 10 Mbit/s, which takes 48 ms for 60 KB.

use std::fmt::Write;
use std::time::Duration;

use hawthornwall_core::admission::Priority;
use hawthornwall_core::link::{BodyGrants, GRANT_EXPIRY, GrantEvent, Offer, OfferId, Rate};
use hawthornwall_core::prelude::*;
use insta::assert_snapshot;
use rstest::rstest;

/// A step of a scenario.
#[derive(Clone, Copy, Debug)]
enum Step {
    End(u64),
    /// Id, rank, size in KB, and time in ms within which the body must arrive.
    Offer(u64, u8, u64, u64),
    /// Id, size in KB, and time in ms for which the sender waits rather than try another target.
    OfferElsewhere(u64, u64, u64),
    Timer,
}

const fn ms(millis: u64) -> Time {
    Time::from_micros(millis * 1_000)
}

/// An offer of a body with this id, rank, size in KB and time in ms within which it must arrive.
fn offer(now: Time, (id, rank, kilobytes, due): (u64, u8, u64, u64)) -> GrantEvent {
    GrantEvent::Offer(Offer {
        due: now + Duration::from_millis(due),
        id: OfferId(id),
        max_wait: Duration::MAX,
        priority: Priority {
            objective: Duration::from_secs(1),
            rank,
        },
        size: kilobytes * 1_000,
    })
}

/// Guards against bodies that wait behind less urgent ones, and against those that can't arrive in time and
/// are refused late.
#[rstest]
#[case::by_rank("by_rank", &[
    (0, Step::Offer(1, 1, 120, 900)), (0, Step::Offer(2, 1, 120, 900)), (10, Step::Offer(3, 0, 120, 900)),
    (50, Step::End(1)), (100, Step::End(3)),
])]
#[case::oldest_share("oldest_share", &[
    (0, Step::Offer(1, 0, 180, 900)), (0, Step::Offer(2, 1, 180, 2_000)),
    (0, Step::Offer(3, 0, 180, 2_000)), (0, Step::Offer(4, 0, 180, 2_000)),
    (0, Step::Offer(5, 0, 180, 2_000)), (150, Step::End(1)), (300, Step::End(3)), (450, Step::End(4)),
    (600, Step::End(2)),
])]
#[case::cannot_arrive("cannot_arrive", &[
    (0, Step::Offer(1, 0, 150, 200)), (0, Step::Offer(2, 0, 60, 160)), (0, Step::Offer(3, 0, 60, 170)),
    (125, Step::Timer), (130, Step::End(1)),
])]
#[case::late_on_an_idle_link("late_on_an_idle_link", &[
    (0, Step::Offer(1, 0, 60, 0)), (0, Step::Offer(2, 0, 60, 0)), (50, Step::End(1)),
    (60, Step::Offer(3, 0, 60, 0)),
])]
#[case::another_target("another_target", &[
    (0, Step::Offer(1, 0, 120, 900)), (0, Step::OfferElsewhere(2, 60, 43)),
    (0, Step::OfferElsewhere(3, 60, 45)), (0, Step::OfferElsewhere(4, 60, 45)), (150, Step::End(1)),
])]
#[case::larger_than_the_limit("larger_than_the_limit", &[
    (0, Step::Offer(1, 0, 60, 900)), (0, Step::Offer(2, 0, 360, 900)), (0, Step::Offer(3, 0, 60, 900)),
    (50, Step::End(1)), (340, Step::End(2)),
])]
#[case::unused_and_failed("unused_and_failed", &[
    (0, Step::Offer(1, 0, 180, 900)), (0, Step::Offer(2, 0, 180, 3_000)),
    (0, Step::Offer(3, 0, 180, 3_000)), (500, Step::End(2)), (1_143, Step::Timer),
    (1_144, Step::Timer), (2_400, Step::Timer),
])]
fn grants(#[case] name: &str, #[case] steps: &[(u64, Step)]) {
    let mut grants = BodyGrants::new(Rate::from_mbps(10.0), GRANT_EXPIRY);
    let mut lines = String::new();
    for (at, step) in steps {
        let now = ms(*at);
        let event = match *step {
            Step::End(id) => GrantEvent::End(OfferId(id)),
            Step::Offer(id, rank, kilobytes, due) => offer(now, (id, rank, kilobytes, due)),
            Step::OfferElsewhere(id, kilobytes, wait) => {
                let GrantEvent::Offer(offer) = offer(now, (id, 0, kilobytes, 1_000)) else {
                    unreachable!("the event is an offer");
                };
                let max_wait = Duration::from_millis(wait);
                GrantEvent::Offer(Offer { max_wait, ..offer })
            }
            Step::Timer => GrantEvent::Timer,
        };
        let effects = grants.on(&event, now);
        assert_eq!(grants.verify(), Vec::<String>::new());
        let next = grants
            .next_timer()
            .map_or("none".to_owned(), |t| t.to_string());
        let _ = writeln!(lines, "{at} {step:?}: {effects:?}, timer {next}");
    }
    assert_snapshot!(name, lines);
}
