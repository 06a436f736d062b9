//! When a daemon without memory may serve.

use std::time::Duration;

use crate::time::Time;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Serving,
    Starting,
}

/// Sources of configuration that have answered since the start.
#[derive(Clone, Debug)]
pub(super) struct Readiness {
    /// Whether a peer gave a configuration; without seeds there is none to ask.
    peers: Option<bool>,
    phase: Phase,
    /// Whether the platform gave a configuration.
    platform: bool,
    /// When one kind of source suffices.
    suffices: Time,
}

impl Readiness {
    pub(super) fn new(seeds: bool, wait: Duration, now: Time) -> Self {
        Self {
            peers: seeds.then_some(false),
            phase: Phase::Starting,
            platform: false,
            suffices: now + wait,
        }
    }

    /// Notes the reply of a peer; one without a configuration is no source.
    pub(super) fn note_peer(&mut self, configured: bool) {
        if configured {
            self.peers = Some(true);
        }
    }

    pub(super) fn note_platform(&mut self) {
        self.platform = true;
    }

    /// Whether this daemon may serve from now on; true once, when that changes.
    pub(super) fn become_ready(&mut self, now: Time) -> bool {
        let both = self.peers.unwrap_or(true) && self.platform;
        let ready = both || (self.is_configured() && now >= self.suffices);
        let change = ready && !self.is_ready();
        if change {
            self.phase = Phase::Serving;
        }
        change
    }

    pub(super) fn is_ready(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether the platform gave a configuration.
    pub(super) fn has_platform(&self) -> bool {
        self.platform
    }

    /// When the state changes by time alone.
    pub(super) fn due(&self) -> Option<Time> {
        (!self.is_ready() && self.is_configured()).then_some(self.suffices)
    }

    fn is_configured(&self) -> bool {
        self.platform || self.peers == Some(true)
    }
}
