//! Delays of messages between daemons whose clocks differ.

use std::time::Duration;

use hawthornwall_core::transit::{SentStamp, TransitTimes, WINDOW};
use insta::assert_debug_snapshot;
use rstest::rstest;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a deadline that is passed on without the time for which the request was held, and against
/// a difference between clocks that counts as a delay. Each message is `(sent, received)` in milliseconds.
#[rstest]
#[case::held("held", &[(0, 5_000), (10, 5_011), (20, 5_620), (30, 5_621), (700, 5_700)])]
// The receiver's machine has started later than the sender's.
#[case::later_start("later_start", &[(900_000, 10), (900_010, 20), (900_020, 830)])]
#[case::first_is_held("first_is_held", &[(0, 800), (10, 811), (900, 902), (910, 1_412)])]
fn delays(#[case] name: &str, #[case] messages: &[(u64, u64)]) {
    let mut times = TransitTimes::default();
    let delays: Vec<_> = messages
        .iter()
        .map(|(sent, received)| {
            let stamp = SentStamp {
                at: ms(*sent),
                sender: 1,
            };
            times.delay(stamp, ms(*received))
        })
        .collect();
    assert_debug_snapshot!(name, delays);
}

/// Guards against clocks that drift apart until every request seems to have expired: the receiver's clock
/// runs faster by 50 microseconds a second, over ten hours.
#[test]
fn drift_is_no_delay() {
    let mut times = TransitTimes::default();
    for second in 0..36_000_u64 {
        let stamp = SentStamp {
            at: Duration::from_secs(second),
            sender: 1,
        };
        let delay = times.delay(stamp, Duration::from_micros(second * 1_000_050));
        assert!(
            delay <= WINDOW.mul_f64(2.0 * 60e-6),
            "{delay:?} after {second} s"
        );
    }
}

/// Guards against memory that grows with each restart of a daemon.
#[test]
fn senders_are_bounded() {
    let mut times = TransitTimes::default();
    for sender in 0..5_000 {
        let at = Duration::ZERO;
        assert_eq!(times.delay(SentStamp { at, sender }, ms(5)), Duration::ZERO);
    }
    assert!(format!("{times:?}").len() < 1_000_000);
}
