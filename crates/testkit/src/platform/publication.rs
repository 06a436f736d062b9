//! What one endpoint shows its readers.
//!
//! Invariant: the revision shown never falls, whatever faults are set.

use std::collections::VecDeque;
use std::time::Instant;

use bytes::Bytes;

/// One published value.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Value {
    /// The JSON text.
    pub body: Bytes,
    /// The platform's counter.
    pub revision: u64,
}

/// The values of one endpoint: the one shown, and later ones that are not visible yet.
#[derive(Clone, Debug, Default)]
pub struct Publication {
    last: u64,
    pending: VecDeque<(Instant, Value)>,
    shown: Value,
    stale: bool,
}

impl Publication {
    /// The revision that the next published value gets.
    pub fn next_revision(&self) -> u64 {
        self.last + 1
    }

    /// Adds a value that becomes visible at `visible`.
    pub fn publish(&mut self, body: Bytes, visible: Instant) {
        self.last += 1;
        let revision = self.last;
        self.pending.push_back((visible, Value { body, revision }));
    }

    /// Stops or resumes showing newer values.
    pub fn set_stale(&mut self, stale: bool, now: Instant) {
        self.advance(now);
        self.stale = stale;
        self.advance(now);
    }

    /// The value newer than `since` that a reader sees now.
    pub fn read(&mut self, since: u64, now: Instant) -> Option<&Value> {
        self.advance(now);
        (self.shown.revision > since).then_some(&self.shown)
    }

    /// When the shown value changes next, if it will without another call.
    pub fn next_change(&self) -> Option<Instant> {
        let first = self.pending.front().filter(|_| !self.stale);
        first.map(|(visible, _)| *visible)
    }

    /// Shows the values that have become visible by now.
    pub fn advance(&mut self, now: Instant) {
        if self.stale {
            return;
        }
        while let Some((_, value)) = self.pending.pop_front_if(|(visible, _)| *visible <= now) {
            self.shown = value;
        }
    }
}
