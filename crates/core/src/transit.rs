//! Time that messages of other daemons were held on their way.
//!
//! A network or a buffer may hold a message and deliver it later. The clocks of two machines differ by a
//! constant, so that only differences between transit times are known: the shortest recent one of a sender
//! counts as no delay.
//!
//! Rules kept here:
//! - the shortest time is taken over the last one to two [`WINDOW`]s, so that clocks that run at slightly
//!   different speeds don't look like a delay;
//! - the number of senders is bounded; one that was forgotten starts anew without a delay.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time over which clocks of different machines drift apart by at most a few milliseconds.
pub const WINDOW: Duration = Duration::from_mins(2);
/// Maximum number of senders, a few times that of the daemons in a fleet.
const MAX_SENDERS: usize = 2_048;

/// When a message was sent, by the clock of its sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentStamp {
    /// Time since an arbitrary start, which also counts while the machine is suspended.
    pub at: Duration,
    /// Identifies the run of the sender, and with it the start of its clock.
    pub sender: u32,
}

/// Shortest transit times of one sender, in microseconds and relative to an unknown constant.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    /// Shortest in the current window.
    current: i64,
    /// Shortest in the window before.
    previous: i64,
    /// When the current window began, by the receiver's clock.
    since: Duration,
}

/// Transit times by sender.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::transit::{SentStamp, TransitTimes};
///
/// let mut times = TransitTimes::default();
/// let ms = Duration::from_millis;
/// let stamp = |at| SentStamp { at: ms(at), sender: 1 };
/// assert_eq!(times.delay(stamp(70), ms(9_000)), Duration::ZERO);
/// assert_eq!(times.delay(stamp(80), ms(9_610)), ms(600));
/// ```
#[derive(Clone, Debug, Default)]
pub struct TransitTimes {
    senders: BTreeMap<u32, Baseline>,
}

impl TransitTimes {
    /// Records a message that arrives at `now` by the receiver's clock, and returns for how much longer it
    /// was on its way than the fastest recent one of its sender.
    pub fn delay(&mut self, stamp: SentStamp, now: Duration) -> Duration {
        let transit = micros(now) - micros(stamp.at);
        if !self.senders.contains_key(&stamp.sender) {
            self.make_room();
        }
        let baseline = self.senders.entry(stamp.sender).or_insert(Baseline {
            current: transit,
            previous: transit,
            since: now,
        });
        if now.saturating_sub(baseline.since) >= WINDOW {
            *baseline = Baseline {
                current: transit,
                previous: baseline.current,
                since: now,
            };
        }
        baseline.current = baseline.current.min(transit);
        let shortest = baseline.current.min(baseline.previous);
        Duration::from_micros((transit - shortest).unsigned_abs())
    }

    /// Forgets the sender whose window began first if there are too many.
    fn make_room(&mut self) {
        if self.senders.len() < MAX_SENDERS {
            return;
        }
        let oldest = self.senders.iter().min_by_key(|(_, b)| b.since);
        if let Some(sender) = oldest.map(|(sender, _)| *sender) {
            self.senders.remove(&sender);
        }
    }
}

fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX / 2)
}
