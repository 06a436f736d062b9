//! When a daemon that started without a configuration may serve.

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
    /// Whether a peer has a configuration; `None` if there are no seeds to contact.
    peers: Option<bool>,
    phase: Phase,
    /// Whether the platform gave a configuration.
    platform: bool,
    /// Time from which one kind of source suffices.
    single_source_at: Time,
}

impl Readiness {
    pub(super) fn new(seeds: bool, wait: Duration, now: Time) -> Self {
        Self {
            peers: seeds.then_some(false),
            phase: Phase::Starting,
            platform: false,
            single_source_at: now + wait,
        }
    }

    /// Records the reply of a peer; one without a configuration doesn't count as a source.
    pub(super) fn record_peer(&mut self, configured: bool) {
        if configured {
            self.peers = Some(true);
        }
    }

    pub(super) fn record_platform(&mut self) {
        self.platform = true;
    }

    /// Returns whether this daemon has just become ready to serve; true only once.
    pub(super) fn become_ready(&mut self, now: Time) -> bool {
        let both = self.peers.unwrap_or(true) && self.platform;
        let ready = both || (self.is_configured() && now >= self.single_source_at);
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

    /// When a single source becomes sufficient; `None` if none has answered or the daemon already serves.
    pub(super) fn due(&self) -> Option<Time> {
        (!self.is_ready() && self.is_configured()).then_some(self.single_source_at)
    }

    fn is_configured(&self) -> bool {
        self.platform || self.peers == Some(true)
    }
}
