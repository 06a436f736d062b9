//! How long a caller waits before it sends a refused request again.
//!
//! The load that this answers: the targets of a service shed a share of their requests for some seconds. A caller
//! whose request was shed would most likely be accepted at once elsewhere; a delay of 1 s would exceed its latency
//! objective.
//!
//! Rules kept here:
//! - a caller comes back soon if targets accept part of what they get, and later if a queue must drain first;
//! - callers that may come back soon and were refused at the same moment come back spread over time.

use std::time::Duration;

use crate::link::OUTSTANDING;
use crate::outcome::Refusal;

/// Shortest delay while targets accept part of the requests.
const SHED_DELAY: Duration = Duration::from_millis(50);
/// Shortest delay after the refusal of a body for the link of its target: the bodies granted there have mostly
/// arrived.
const LINK_DELAY: Duration = OUTSTANDING;
/// Delay in all other cases: longer than the queue of a target, so that returning callers find room.
const ROOM_DELAY: Duration = Duration::from_secs(1);
/// Share of the shortest delay by which delays differ at most.
const SPREAD: f64 = 2.0;
/// Step between two positions in the spread. Multiples of the golden ratio fill an interval evenly, however many
/// callers are refused.
const SPREAD_STEP: f64 = 0.618_033_988_749_895;

/// Delays for the callers of one daemon.
///
/// ```
/// use hawthornwall_core::calls::ReturnDelays;
/// use hawthornwall_core::prelude::*;
///
/// let mut delays = ReturnDelays::default();
/// let (first, second) = (delays.next(Refusal::Shed), delays.next(Refusal::Shed));
/// assert_ne!(first, second);
/// assert!(first < delays.next(Refusal::Full));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnDelays {
    /// Position of the last delay in the spread, from 0 to 1.
    position: f64,
}

impl ReturnDelays {
    /// Time after which the caller of a request that was refused now may send it again.
    pub fn next(&mut self, refusal: Refusal) -> Duration {
        self.position = (self.position + SPREAD_STEP).fract();
        match refusal {
            Refusal::Budget | Refusal::Shed => SHED_DELAY.mul_f64(1.0 + SPREAD * self.position),
            Refusal::PeerLink => LINK_DELAY.mul_f64(1.0 + SPREAD * self.position),
            Refusal::Cancelled
            | Refusal::Cold
            | Refusal::Dependency
            | Refusal::Down
            | Refusal::Draining
            | Refusal::Evacuated
            | Refusal::Expired
            | Refusal::Full
            | Refusal::KeyInvalid
            | Refusal::KeyMismatch
            | Refusal::Link
            | Refusal::Malformed
            | Refusal::Memory
            | Refusal::Misdirected
            | Refusal::NoTarget
            | Refusal::NotReady
            | Refusal::Overload
            | Refusal::Stopping
            | Refusal::Strained
            | Refusal::TooLarge
            | Refusal::Unreachable
            | Refusal::UnknownService
            | Refusal::WrongTarget => ROOM_DELAY,
        }
    }
}
