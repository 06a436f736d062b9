//! Whether connections fail because of this daemon's own link.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Time;

/// Time after which a connection that has not opened is late. A machine that is down doesn't reply at all,
/// and another target answers sooner; a daemon that is being restarted refuses the connection at once.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which a connection is given up while the own link is saturated. It includes the first
/// retransmission of a lost handshake packet, which the system sends after 1 s.
pub const LATE_CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Number of different peers that must be silent at the same time. A request whose second peer is late
/// thus waits there and isn't tried at a third one.
const SILENT_PEERS: usize = 2;
/// Age from which the silence of a peer no longer counts as simultaneous.
const SILENCE_MAX_AGE: Duration = Duration::from_secs(1);

/// What is learnt about the link from one peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Contact {
    /// The peer replied late, so that the link transports something.
    Late,
    /// The peer opened or refused a connection or answered, within [`CONNECT_TIMEOUT`].
    Reached,
    /// The peer has sent nothing since this time, although a reply was expected.
    Silent(Time),
}

/// A change of the state of the link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkChange {
    /// Several peers are silent and none replies.
    Saturated,
    /// A peer was reached again.
    Free,
}

/// What to do with a connection that is late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The peer is unreachable.
    GiveUp,
    /// The own link is down: nothing has arrived for [`LATE_CONNECT_TIMEOUT`].
    Refuse,
    /// The own link is saturated: the connection may still open.
    Wait,
}

/// Distinguishes a fault of the own link from the loss of a peer, which `P` identifies.
///
/// ```
/// use hawthornwall_core::link::{Contact, LinkChange, OwnLink};
/// use hawthornwall_core::time::Time;
///
/// let (mut link, start) = (OwnLink::default(), Time::ZERO);
/// let now = Time::from_micros(150_000);
/// assert_eq!(link.on("peer1", Contact::Silent(start), now), None);
/// assert_eq!(link.on("peer2", Contact::Silent(start), now), Some(LinkChange::Saturated));
/// ```
#[derive(Clone, Debug)]
pub struct OwnLink<P> {
    /// When a peer last replied, early or late; `None` before the first reply.
    contact: Option<Time>,
    /// When a peer was last reached in time; `None` before the first time.
    reached: Option<Time>,
    /// Since when the link is saturated; `None` while it isn't.
    saturated: Option<Time>,
    /// When each silent peer was noticed.
    silent: BTreeMap<P, Time>,
}

impl<P> Default for OwnLink<P> {
    fn default() -> Self {
        Self {
            contact: None,
            reached: None,
            saturated: None,
            silent: BTreeMap::new(),
        }
    }
}

impl<P: Copy + Ord> OwnLink<P> {
    /// Records what was learnt from a peer at `now`, and returns the change that follows.
    pub fn on(&mut self, peer: P, contact: Contact, now: Time) -> Option<LinkChange> {
        match contact {
            Contact::Late => {
                self.contact = Some(now);
                None
            }
            Contact::Reached => {
                self.contact = Some(now);
                self.reached = Some(now);
                self.silent.clear();
                self.saturated.take().map(|_| LinkChange::Free)
            }
            Contact::Silent(since) => self.record_silence(peer, since, now),
        }
    }

    /// What to do with a connection that has not opened within [`CONNECT_TIMEOUT`].
    pub fn verdict(&self, now: Time) -> Verdict {
        let Some(since) = self.saturated else {
            return Verdict::GiveUp;
        };
        let contact = self.contact.map_or(since, |contact| contact.max(since));
        if now - contact > LATE_CONNECT_TIMEOUT {
            Verdict::Refuse
        } else {
            Verdict::Wait
        }
    }

    /// Whether the link is saturated.
    pub fn is_saturated(&self) -> bool {
        self.saturated.is_some()
    }

    /// Silence counts only if no peer has replied in time since it began.
    fn record_silence(&mut self, peer: P, since: Time, now: Time) -> Option<LinkChange> {
        if self.reached.is_some_and(|reached| reached >= since) {
            return None;
        }
        self.silent
            .retain(|_, noticed| now - *noticed <= SILENCE_MAX_AGE);
        self.silent.insert(peer, now);
        if self.saturated.is_some() || self.silent.len() < SILENT_PEERS {
            return None;
        }
        self.saturated = Some(now);
        Some(LinkChange::Saturated)
    }
}
