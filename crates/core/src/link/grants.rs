//! Admission of large bodies to a link of a known rate.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::Rate;
use crate::admission::Priority;
use crate::outcome::Refusal;
use crate::time::Time;

/// Size in bytes from which a body needs a grant: 26 ms on a link of 10 Mbit/s.
pub const LARGE_BODY: usize = 32 << 10;
/// Link time of the bodies that are granted and have not arrived. Small messages wait at most this long
/// behind them, which leaves time to open a connection within [`CONNECT_TIMEOUT`](super::CONNECT_TIMEOUT). A
/// grant and the start of its body take a round trip of some milliseconds, so that the link isn't left idle.
pub const OUTSTANDING: Duration = Duration::from_millis(100);
/// Time beyond its link time after which a grant that wasn't used ends.
pub const GRANT_EXPIRY: Duration = Duration::from_secs(1);
/// Maximum number of bodies that wait for a grant.
const MAX_WAITING: usize = 256;
/// One in this many grants goes to the body that has waited longest, whatever its rank, so that no rank
/// starves.
const OLDEST_SHARE: u64 = 4;

/// Identifies an offer at one link.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OfferId(pub u64);

impl fmt::Display for OfferId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "offer{}", self.0)
    }
}

/// A large body that its sender offers to send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Time by which the body must have arrived to be of use.
    pub due: Time,
    /// Identifies the offer.
    pub id: OfferId,
    /// Maximum estimated wait for the grant that the sender accepts. It is shorter where the sender has another
    /// target to try.
    pub max_wait: Duration,
    /// Rank and objective of the request.
    pub priority: Priority,
    /// Size in bytes.
    pub size: u64,
}

/// An input to [`BodyGrants`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrantEvent {
    /// The body has arrived, or its sender has failed or withdrawn the offer.
    End(OfferId),
    /// A sender offers a body.
    Offer(Offer),
    /// The time returned by [`BodyGrants::next_timer`] has been reached.
    Timer,
}

/// A decision on an offer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrantEffect {
    /// A grant has ended although its body has not arrived.
    Expire(OfferId),
    /// The body may be sent now.
    Grant(OfferId),
    /// The body must not be sent.
    Refuse(OfferId, Refusal),
}

#[derive(Clone, Copy, Debug)]
struct Granted {
    expires: Time,
    size: u64,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    offer: Offer,
    since: Time,
}

/// The large bodies that cross a link in one direction.
#[derive(Clone, Debug)]
pub struct BodyGrants {
    /// Number of grants so far.
    count: u64,
    /// Time beyond its link time after which a grant ends.
    expiry: Duration,
    granted: BTreeMap<OfferId, Granted>,
    /// Maximum size of the outstanding bodies in bytes.
    limit: u64,
    rate: Rate,
    /// In order of arrival.
    waiting: Vec<Waiting>,
}

impl BodyGrants {
    /// Creates the grants of an idle link. A grant ends once `expiry` has passed beyond the time that the
    /// link takes for its body: [`GRANT_EXPIRY`] where the arrival of a body is observed, zero where only
    /// its start is.
    pub fn new(rate: Rate, expiry: Duration) -> Self {
        Self {
            count: 0,
            expiry,
            granted: BTreeMap::new(),
            limit: rate.bytes_in(OUTSTANDING),
            rate,
            waiting: Vec::new(),
        }
    }

    /// Handles an event and returns the decisions that follow, in order.
    pub fn on(&mut self, event: &GrantEvent, now: Time) -> Vec<GrantEffect> {
        let mut effects = Vec::new();
        match *event {
            GrantEvent::End(id) => {
                self.granted.remove(&id);
                self.waiting.retain(|w| w.offer.id != id);
            }
            GrantEvent::Offer(offer) => self.receive(offer, now, &mut effects),
            GrantEvent::Timer => {}
        }
        self.expire(now, &mut effects);
        self.refuse_late(now, &mut effects);
        self.grant(now, &mut effects);
        effects
    }

    /// When the owner must pass the next [`GrantEvent::Timer`]; `None` if nothing is pending.
    pub fn next_timer(&self) -> Option<Time> {
        let expiry = self.granted.values().map(|g| g.expires);
        let passed = Duration::from_micros(1);
        let late = self
            .waiting
            .iter()
            .map(|w| self.latest_start(&w.offer) + passed);
        expiry.chain(late).min()
    }

    /// Bytes granted that have not arrived.
    pub fn outstanding(&self) -> u64 {
        self.granted.values().map(|g| g.size).sum()
    }

    /// Number of grants and of waiting offers.
    pub fn counts(&self) -> (usize, usize) {
        (self.granted.len(), self.waiting.len())
    }

    /// Describes each violated invariant; empty if there is none.
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let outstanding = self.outstanding();
        if outstanding > self.limit && self.granted.len() > 1 {
            faults.push(format!(
                "{outstanding} bytes are granted; the limit is {}",
                self.limit
            ));
        }
        if self.granted.is_empty() && !self.waiting.is_empty() {
            faults.push("a body waits although none is granted".to_owned());
        }
        for waiting in &self.waiting {
            if self.granted.contains_key(&waiting.offer.id) {
                faults.push(format!("{} is both granted and waiting", waiting.offer.id));
            }
        }
        faults
    }

    /// Refuses an offer that would wait too long or arrive too late behind those that precede it. One that is late
    /// already is taken if the link is idle, since late answers are still of use.
    fn receive(&mut self, mut offer: Offer, now: Time, effects: &mut Vec<GrantEffect>) {
        let ahead = self.waiting.iter().filter(|w| !precedes(&offer, w));
        let ahead: u64 = ahead.map(|w| w.offer.size).sum();
        offer.due = offer.due.max(now + self.rate.time(offer.size));
        let total = self
            .outstanding()
            .saturating_add(ahead)
            .saturating_add(offer.size);
        let is_late = now + self.rate.time(total) > offer.due;
        let wait = self
            .rate
            .time(total.saturating_sub(self.limit.max(offer.size)));
        if is_late || wait > offer.max_wait || self.waiting.len() >= MAX_WAITING {
            effects.push(GrantEffect::Refuse(offer.id, Refusal::PeerLink));
        } else {
            self.waiting.push(Waiting { offer, since: now });
        }
    }

    fn expire(&mut self, now: Time, effects: &mut Vec<GrantEffect>) {
        let expired = |g: &Granted| g.expires <= now;
        let ids = self.granted.iter().filter(|(_, g)| expired(g));
        effects.extend(ids.map(|(id, _)| GrantEffect::Expire(*id)));
        self.granted.retain(|_, g| !expired(g));
    }

    /// Refuses what could no longer arrive in time if it were sent now.
    fn refuse_late(&mut self, now: Time, effects: &mut Vec<GrantEffect>) {
        let late: Vec<_> = self
            .waiting
            .iter()
            .filter(|w| self.latest_start(&w.offer) < now)
            .map(|w| w.offer.id)
            .collect();
        self.waiting.retain(|w| !late.contains(&w.offer.id));
        let refuse = |id| GrantEffect::Refuse(id, Refusal::PeerLink);
        effects.extend(late.into_iter().map(refuse));
    }

    /// Until when an offer may be granted to arrive in time.
    fn latest_start(&self, offer: &Offer) -> Time {
        offer.due - self.rate.time(offer.size)
    }

    fn grant(&mut self, now: Time, effects: &mut Vec<GrantEffect>) {
        while let Some(index) = self.first() {
            let Offer { id, size, .. } = self.waiting[index].offer;
            if !self.granted.is_empty() && self.outstanding().saturating_add(size) > self.limit {
                return;
            }
            self.waiting.remove(index);
            self.count += 1;
            let outstanding = self.outstanding().saturating_add(size);
            let expires = now + self.rate.time(outstanding) + self.expiry;
            self.granted.insert(id, Granted { expires, size });
            effects.push(GrantEffect::Grant(id));
        }
    }

    /// The waiting offer that is granted next.
    fn first(&self) -> Option<usize> {
        if self.count % OLDEST_SHARE == OLDEST_SHARE - 1 {
            return (!self.waiting.is_empty()).then_some(0);
        }
        let by_priority = |(_, w): &(usize, &Waiting)| (w.offer.priority, w.since);
        let first = self.waiting.iter().enumerate().min_by_key(by_priority);
        first.map(|(index, _)| index)
    }
}

/// Whether a new offer is granted before one that waits.
fn precedes(offer: &Offer, waiting: &Waiting) -> bool {
    offer.priority < waiting.offer.priority
}
