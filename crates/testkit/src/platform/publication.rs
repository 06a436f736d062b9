//! Values of one endpoint as readers see them.
//!
//! Invariant: the visible revision never decreases, whatever faults are set.

use std::collections::VecDeque;
use std::time::Instant;

use bytes::Bytes;

/// A published value.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Value {
    /// JSON text, unless it was published unchecked.
    pub body: Bytes,
    /// Number of the value within its endpoint, starting at 1; 0 before the first value.
    pub revision: u64,
}

/// The values of one endpoint: the visible one, and newer ones that are not visible yet.
#[derive(Clone, Debug, Default)]
pub struct Publication {
    last: u64,
    pending: VecDeque<(Instant, Value)>,
    shown: Value,
    stale: bool,
}

impl Publication {
    /// Returns the revision that the next published value will have.
    pub fn next_revision(&self) -> u64 {
        self.last + 1
    }

    /// Adds a value that becomes visible at `visible`, after all values added before.
    pub fn publish(&mut self, body: Bytes, visible: Instant) {
        self.last += 1;
        let revision = self.last;
        self.pending.push_back((visible, Value { body, revision }));
    }

    /// Sets whether newer values are withheld. Values that are due by `now` still become visible.
    pub fn set_stale(&mut self, stale: bool, now: Instant) {
        self.advance(now);
        self.stale = stale;
        self.advance(now);
    }

    /// Returns the visible value if its revision is above `since`.
    pub fn read(&mut self, since: u64, now: Instant) -> Option<&Value> {
        self.advance(now);
        (self.shown.revision > since).then_some(&self.shown)
    }

    /// Returns the time at which the visible value changes next; `None` if that takes another call.
    pub fn next_change(&self) -> Option<Instant> {
        let first = self.pending.front().filter(|_| !self.stale);
        first.map(|(visible, _)| *visible)
    }

    /// Makes the values that are due by `now` visible.
    pub fn advance(&mut self, now: Instant) {
        if self.stale {
            return;
        }
        while let Some((_, value)) = self.pending.pop_front_if(|(visible, _)| *visible <= now) {
            self.shown = value;
        }
    }
}
