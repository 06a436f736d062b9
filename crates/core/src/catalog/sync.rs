//! When a daemon reads the contents of the store, and from which source.
//!
//! Rules kept here:
//! - all contents are read at the start, after the history is lost, and after changes that can't be read whole;
//!   only changes otherwise;
//! - the result of a stale read takes effect only once a newer read or update confirms it, and an update only if
//!   its peer has heard from the store lately: a daemon that starts must not miss an evacuation in force;
//! - before a removal reported by a peer takes effect, this daemon must have reached the store itself, at
//!   least by a check;
//! - while no routes or no targets are published, nothing can be served, so that changes are awaited instead
//!   of confirming what was read;
//! - until the own target is published, changes are read in batches, in which a daemon learns of peers to
//!   query: when a whole fleet starts, each daemon would otherwise watch for every single entry;
//! - a daemon that queries a peer reads the store itself if nothing newer arrives within the longest watch
//!   plus the margin of its level: the peer may have lost contact with the store without detecting
//!   this;
//! - every watch is short, because a watch that the store accepts right after it has closed all others may
//!   never return a change;
//! - after failures the backoff doubles, with random jitter, so that daemons don't all call a recovering
//!   store at once;
//! - a daemon that queries peers backs off as briefly as the others while a removal that a peer reported isn't verified,
//!   since the target gets work until then, and the time to write its entry again counts from there;
//! - a query of a peer lasts no longer than the backoff after a failed call, since removals that peers report
//!   take effect only once the store has been reached;
//! - an answer of the store of a later era than the contents held makes a read of all contents necessary, and one of
//!   an earlier era is not used; a peer that holds a later era is a reason to read the store once, and its update
//!   is used as it is;
//! - failures count as an outage of the store only after [`OUTAGE`], as a single lost call doesn't show
//!   that entries have lapsed; the return of the store from an older copy always counts as one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::call::{Call, CallEnd, Published, StorePosition, UpdateHead};
use super::sources::{Level, Sources};
use super::{Absence, Revision};
use crate::time::Time;

/// Longest time that the store holds a watch open. The end of each watch shows that the store is still
/// reachable, well within the two seconds in which a change must be in force.
pub const WATCH_WAIT: Duration = Duration::from_millis(800);
/// First backoff after a failed call; doubles with each further failure.
const BACKOFF_FIRST: Duration = Duration::from_millis(100);
/// Longest backoff of a daemon that other daemons query, while the store is unreachable. Recovery must be
/// detected quickly, as targets that left during the outage still get work until then.
const BACKOFF_LIMIT: Duration = Duration::from_millis(400);
/// Longest backoff while the store rejects calls. The store counts rejected calls like served ones.
const REFUSED_BACKOFF_LIMIT: Duration = Duration::from_millis(800);
/// Longest backoff of a daemon that queries peers, since the peers detect the recovery of the store.
const MEMBER_BACKOFF_LIMIT: Duration = Duration::from_secs(2);
/// Time without a proper answer after which entries may have lapsed unnoticed. Entries lapse after three
/// missed heartbeats, so a shorter failure removes none.
const OUTAGE: Duration = Duration::from_secs(1);
/// Greatest age of an update that confirms a stale read. Peers that reach the store are at most
/// [`WATCH_WAIT`] and the margins of their levels behind, and evacuations must be known within 5 s.
const CONFIRM_MAX_AGE: Duration = Duration::from_secs(2);
/// Time allowed for an update that confirms a stale read, before the store is read once more.
const CONFIRM_WAIT: Duration = Duration::from_millis(100);
/// Least reduction in age that makes an update at the same revision worth sending. Smaller differences come
/// from the network delay of the previous update.
const MIN_AGE_GAIN: Duration = Duration::from_millis(50);
/// Time after an answer of the store during which the store counts as reachable.
const ANSWER_MAX_AGE: Duration = Duration::from_millis(500);
/// Delay before the next peer is queried after one that had no update.
const NEXT_PEER_DELAY: Duration = Duration::from_millis(20);
/// First backoff of a peer that had no update; doubles with each further query without one.
const PEER_BACKOFF_FIRST: Duration = Duration::from_millis(500);
/// Longest backoff of a peer that had no update.
const PEER_BACKOFF_LIMIT: Duration = Duration::from_secs(4);

/// The era of an answer of the store, compared with the latest one that is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraOrder {
    /// The answer is of an earlier era, and its contents are out of date.
    Earlier,
    /// The answer is of a later era than the contents held here. Unless it has all contents, they must be read.
    Later,
    /// The answer is of the era of the contents held here, or none are held.
    Same,
}

/// Decides when the contents of the store are read, and whether from the store or from a peer.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::catalog::{Call, CallEnd, Published, Revision, Sources, StoreSync};
/// use hawthornwall_core::time::Time;
///
/// let mut store_sync = StoreSync::new(1);
/// assert_eq!(store_sync.next(Time::ZERO), (Time::ZERO, Call::Load { stale: true }));
/// store_sync.end(CallEnd::ReadStale { revision: Revision::new(0, 7) }, Time::ZERO);
/// assert!(!store_sync.is_confirmed());
/// let published = Published { own: true, routes: true, targets: 1, unverified: false };
/// store_sync.set_sources(published, Sources::default());
/// let confirm = Call::Watch { after: 7, wait: Duration::ZERO };
/// assert_eq!(store_sync.next(Time::ZERO), (Time::ZERO, confirm));
/// store_sync.end(CallEnd::Read { revision: Revision::new(0, 8) }, Time::ZERO);
/// assert!(store_sync.is_confirmed());
/// store_sync.end(CallEnd::HistoryGone, Time::ZERO);
/// assert_eq!(store_sync.next(Time::ZERO).1, Call::Load { stale: false });
/// ```
#[derive(Clone, Debug)]
pub struct StoreSync {
    due: Time,
    /// Era of the contents held.
    era: u64,
    failures: u32,
    /// Time of the first failure since the store's last proper answer.
    failing_since: Option<Time>,
    /// Time of the store's last proper answer.
    answered: Option<Time>,
    /// A later era than that of the contents held, all of whose contents must be read.
    awaited_era: Option<u64>,
    /// Latest era that a peer has stated, and for which the store was to be read.
    hinted_era: u64,
    /// Latest era that the store has stated, or of the contents held.
    known_era: u64,
    /// When contents were last loaded by a stale read.
    loaded: Time,
    outage_end: Option<Time>,
    /// When the store last confirmed the revision.
    confirmed_at: Option<Time>,
    /// Peers that had no update: how often in a row, and until when they aren't queried.
    peer_backoff: BTreeMap<SocketAddr, (u32, Time)>,
    /// When the store last returned from an older copy.
    restored_at: Option<Time>,
    /// Number of the last revision held.
    revision: Option<u64>,
    rng: Pcg64Mcg,
    /// End of the delay after the last change.
    batch_end: Time,
    published: Published,
    /// Whether the contents must be read because the changes can't be.
    reload: bool,
    sources: Sources,
    /// Whether the store must be read because peers can't supply the missing changes.
    store_first: bool,
    /// End of the backoff after failed calls to the store.
    store_due: Time,
    /// End of the backoff while a removal that a peer reported has to be verified.
    verify_due: Time,
    /// Whether no call has ended yet.
    first_call: bool,
}

impl StoreSync {
    /// A state in which nothing has been read; `seed` determines the random jitter.
    pub fn new(seed: u64) -> Self {
        Self {
            due: Time::ZERO,
            era: 0,
            failures: 0,
            failing_since: None,
            answered: None,
            awaited_era: None,
            hinted_era: 0,
            known_era: 0,
            loaded: Time::ZERO,
            outage_end: None,
            confirmed_at: None,
            peer_backoff: BTreeMap::new(),
            restored_at: None,
            revision: None,
            rng: Pcg64Mcg::seed_from_u64(seed),
            batch_end: Time::ZERO,
            published: Published::default(),
            reload: false,
            sources: Sources::default(),
            store_due: Time::ZERO,
            verify_due: Time::ZERO,
            store_first: false,
            first_call: true,
        }
    }

    /// Sets what is published and the peers to query.
    pub fn set_sources(&mut self, published: Published, sources: Sources) {
        self.published = published;
        self.peer_backoff
            .retain(|peer, _| sources.parents.contains(peer));
        self.sources = sources;
    }

    /// Whether the store has confirmed the revision held here.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// When the store last confirmed the revision held here; `None` while it hasn't.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// The last revision held here, with the number 0 while there is none.
    pub fn revision(&self) -> Revision {
        Revision::new(self.era, self.revision.unwrap_or(0))
    }

    /// When the store last returned from an older copy, as far as is known here; `None` if the contents held here
    /// were all of one era.
    pub fn restored_at(&self) -> Option<Time> {
        self.restored_at
    }

    /// Compares the era of an answer of the store, also of a rejection, with the latest one known. An answer of a
    /// later era makes a read of all contents necessary.
    ///
    /// ```
    /// use hawthornwall_core::catalog::{Call, CallEnd, EraOrder, Revision, StoreSync};
    /// use hawthornwall_core::time::Time;
    ///
    /// let now = Time::ZERO;
    /// let mut store_sync = StoreSync::new(1);
    /// store_sync.end(CallEnd::Read { revision: Revision::new(1, 41) }, now);
    /// assert_eq!(store_sync.receive_era(1, now), EraOrder::Same);
    /// assert_eq!(store_sync.receive_era(2, now), EraOrder::Later);
    /// assert_eq!(store_sync.next(now).1, Call::Load { stale: false });
    /// assert_eq!(store_sync.receive_era(1, now), EraOrder::Earlier);
    /// ```
    pub fn receive_era(&mut self, era: u64, now: Time) -> EraOrder {
        if era < self.known_era {
            return EraOrder::Earlier;
        }
        self.known_era = era;
        if self.revision.is_none() || era == self.era {
            return EraOrder::Same;
        }
        self.await_era(era, now);
        EraOrder::Later
    }

    /// Takes note of the era that a peer holds. A later one than any known is a reason to read the store, but only
    /// once, as the store alone states its era.
    pub fn receive_hint(&mut self, era: u64, now: Time) {
        if self.revision.is_some() && era > self.known_era.max(self.hinted_era) {
            self.hinted_era = era;
            self.await_era(era, now);
        }
    }

    /// The revision held here and its age, sent along when a peer is queried.
    pub fn position(&self, now: Time) -> StorePosition {
        StorePosition {
            age: self.confirmed_at.map(|confirmed_at| now - confirmed_at),
            revision: self.revision(),
        }
    }

    /// The update for a peer at the given position; `None` while there is nothing newer for it.
    pub fn update_for(&self, position: &StorePosition, now: Time) -> Option<UpdateHead> {
        let (confirmed_at, _) = self.confirmed_at.zip(self.revision)?;
        let revision = self.revision();
        let age = now - confirmed_at;
        let fresher = position.age.is_none_or(|held| age + MIN_AGE_GAIN <= held);
        let newer = revision > position.revision;
        (newer || fresher && revision == position.revision).then(|| UpdateHead {
            age,
            outage: self.outage_end.map(|at| now - at),
            revision,
        })
    }

    /// Whether a peer's update is newer than the state held here, and recent enough if nothing has confirmed
    /// that.
    pub fn is_newer(&self, head: &UpdateHead, now: Time) -> bool {
        let later_era = head.revision.era > self.era;
        let fresher = match self.confirmed_at {
            Some(confirmed_at) => later_era || now - head.age > confirmed_at,
            None => head.age <= CONFIRM_MAX_AGE,
        };
        fresher && head.revision >= self.revision()
    }

    /// Whether the store must be reached before a removal reported by a peer takes effect. A daemon that
    /// is cut off from the store must not drop targets that are cut off with it.
    pub fn must_check(&self, now: Time) -> bool {
        let answered = self.answered.is_some_and(|at| now - at < ANSWER_MAX_AGE);
        self.failing_since.is_none() && !answered
    }

    /// How entries that are missing now must be interpreted.
    pub fn absence(&self) -> Absence {
        match (self.failing_since, self.outage_end) {
            (Some(_), _) => Absence::Unverified,
            (None, Some(ended)) => Absence::Lapsed(ended),
            (None, None) => Absence::Left,
        }
    }

    /// The next call and when it is due.
    pub fn next(&self, now: Time) -> (Time, Call) {
        let at_store = self.due.max(self.backoff_end()).max(self.batch_end);
        let Some(after) = self.revision else {
            let stale = self.first_call;
            return (at_store, Call::Load { stale });
        };
        let backing_off = self.backoff_end() > now;
        let fresh = now < self.stale_at();
        let ask_peer = !self.store_first && (backing_off || fresh);
        match self.peer(now, backing_off) {
            Some(_) if ask_peer && !backing_off && self.failing_since.is_some() => {
                (at_store, Call::Check)
            }
            Some(peer) if ask_peer => {
                let until = self.query_end();
                (self.due, Call::Ask { after, peer, until })
            }
            Some(_) => (at_store, self.store_read(after, Duration::ZERO)),
            None => (at_store, self.store_read(after, self.wait(at_store))),
        }
    }

    /// Updates the state after a call.
    pub fn end(&mut self, end: CallEnd, now: Time) {
        self.first_call = false;
        match end {
            CallEnd::Failed => self.fail(BACKOFF_LIMIT, now),
            CallEnd::HistoryGone => {
                self.revision = None;
                self.due = now;
            }
            CallEnd::Incomplete => self.require_load(now),
            CallEnd::NoUpdate(peer) => self.end_query(peer, now),
            CallEnd::Reached => {
                self.due = now;
                self.store_first |= self.awaited_era.is_some();
                self.recover(now);
            }
            CallEnd::Read { revision } => self.apply_read(revision, now),
            CallEnd::ReadStale { revision } => {
                self.answered = Some(now);
                self.hold(revision);
                self.loaded = now;
                self.due = now;
            }
            CallEnd::Refused => self.fail(REFUSED_BACKOFF_LIMIT, now),
            CallEnd::Unusable(peer) => {
                self.peer_backoff.remove(&peer);
                self.due = now;
                self.store_first = true;
            }
            CallEnd::Update(peer, head) => self.apply_update(peer, &head, now),
        }
    }

    /// The call that reads the store once `after` is held, with the longest time that a watch waits.
    fn store_read(&self, after: u64, wait: Duration) -> Call {
        if self.reload {
            return Call::Load { stale: false };
        }
        let wait = if self.confirmed_at.is_none() && self.published.is_usable() {
            Duration::ZERO
        } else {
            wait
        };
        Call::Watch { after, wait }
    }

    /// Duration of a watch that starts at `at`, reduced by the time since the last confirmation, so that
    /// the delay after a change doesn't make confirmations less frequent.
    fn wait(&self, at: Time) -> Duration {
        let passed = self
            .confirmed_at
            .map_or(Duration::ZERO, |confirmed_at| at - confirmed_at);
        WATCH_WAIT.saturating_sub(passed).max(WATCH_WAIT / 2)
    }

    /// When the store must be read even if a peer is available.
    fn stale_at(&self) -> Time {
        match self.confirmed_at {
            Some(confirmed_at) => confirmed_at + WATCH_WAIT + self.sources.level.margin(),
            None if self.published.is_usable() => self.loaded + CONFIRM_WAIT,
            None => self.loaded + WATCH_WAIT + self.sources.level.margin(),
        }
    }

    /// When a query of a peer that starts now times out.
    fn query_end(&self) -> Time {
        match self.failing_since {
            Some(_) => self.backoff_end(),
            None => self.stale_at(),
        }
    }

    /// The peer to query: the first that isn't backing off, or any of them while the store backs off too.
    fn peer(&self, now: Time, backing_off: bool) -> Option<SocketAddr> {
        let parents = &self.sources.parents;
        let backs_off = |p: &&SocketAddr| {
            self.peer_backoff
                .get(*p)
                .is_some_and(|(_, until)| *until > now)
        };
        let usable = parents.iter().find(|p| !backs_off(p));
        usable.or(parents.first().filter(|_| backing_off)).copied()
    }

    fn apply_read(&mut self, revision: Revision, now: Time) {
        if revision.era < self.known_era {
            return self.fail(REFUSED_BACKOFF_LIMIT, now);
        }
        // Changes that happened during a load are requested at once, without a delay.
        let changed = self.revision.is_some_and(|_| self.revision() != revision);
        self.due = now;
        self.batch_end = now
            + if changed {
                self.published.batch_delay()
            } else {
                Duration::ZERO
            };
        if let Some(failed) = self.failing_since
            && now - self.unreachable_since(failed) >= OUTAGE
        {
            self.outage_end = Some(now);
        }
        if self.begins_era(revision) {
            self.begin_era(now);
        }
        self.hold(revision);
        self.confirmed_at = Some(now);
        self.awaited_era = None;
        self.reload = false;
        self.store_first = false;
        self.recover(now);
    }

    fn hold(&mut self, revision: Revision) {
        self.era = revision.era;
        self.known_era = self.known_era.max(revision.era);
        self.revision = Some(revision.number);
    }

    /// Whether contents at a revision are the first of an era after contents of an earlier one.
    fn begins_era(&self, revision: Revision) -> bool {
        let held_before = self.revision.is_some() || self.confirmed_at.is_some();
        held_before && revision.era > self.era
    }

    fn begin_era(&mut self, at: Time) {
        self.outage_end = Some(at);
        self.restored_at = Some(at);
    }

    /// Requires a read of all contents from the store, as there are newer ones of a later era.
    fn await_era(&mut self, era: u64, now: Time) {
        self.awaited_era = Some(era);
        self.reload = true;
        self.store_first = true;
        self.due = now;
        self.batch_end = now;
    }

    /// When the store became unreachable, given the time of the first failed call. A call without an
    /// answer fails only at its timeout, by when entries may have lapsed already. A confirmation that
    /// peers received after the failure moves the time forward.
    fn unreachable_since(&self, failed: Time) -> Time {
        match self.confirmed_at {
            Some(confirmed_at) if confirmed_at > failed => confirmed_at,
            Some(confirmed_at) => failed.min(confirmed_at + WATCH_WAIT),
            None => failed,
        }
    }

    fn apply_update(&mut self, peer: SocketAddr, head: &UpdateHead, now: Time) {
        if !self.is_newer(head, now) {
            return self.back_off_peer(peer, now);
        }
        self.peer_backoff.remove(&peer);
        self.due = now;
        // Whether there was an outage is taken from the peer only if this daemon lacked confirmations
        // itself.
        let gap = self
            .confirmed_at
            .is_none_or(|held| now - held >= OUTAGE + WATCH_WAIT);
        if self.begins_era(head.revision) {
            self.begin_era(head.outage.map_or(now, |ended| now - ended));
        } else if let Some(ended) = head.outage.filter(|_| gap) {
            self.outage_end = Some(now - ended);
        }
        self.hold(head.revision);
        self.confirmed_at = Some(now - head.age);
        self.awaited_era = self.awaited_era.filter(|era| *era > self.era);
        self.reload = self.awaited_era.is_some();
        self.store_first = false;
    }

    /// Ends a query without an update. If the end of the backoff after a failed call cut it short, that shows
    /// nothing about the peer.
    fn end_query(&mut self, peer: SocketAddr, now: Time) {
        let cut_short = self.failing_since.is_some() && now >= self.backoff_end();
        if cut_short && now < self.stale_at() {
            self.due = now;
        } else {
            self.back_off_peer(peer, now);
        }
    }

    /// Backs off a peer that had no update, so that others are queried first.
    fn back_off_peer(&mut self, peer: SocketAddr, now: Time) {
        self.due = now + NEXT_PEER_DELAY;
        let (times, until) = self.peer_backoff.entry(peer).or_insert((0, now));
        let backoff = PEER_BACKOFF_FIRST * (1 << (*times).min(8));
        *until = now + backoff.min(PEER_BACKOFF_LIMIT);
        *times += 1;
    }

    /// Requires a load in place of changes that couldn't be read. The store can be reached, so that earlier
    /// failures don't delay the first load.
    fn require_load(&mut self, now: Time) {
        if !std::mem::replace(&mut self.reload, true) {
            self.failures = 0;
        }
        self.fail(BACKOFF_LIMIT, now);
    }

    fn fail(&mut self, limit: Duration, now: Time) {
        self.failing_since.get_or_insert(now);
        // Peers may have the contents of the later era meanwhile.
        self.store_first &= self.awaited_era.is_none();
        let level_limit = match self.sources.level {
            Level::Head | Level::Root => limit,
            Level::Member => MEMBER_BACKOFF_LIMIT,
        };
        let backoff = BACKOFF_FIRST * (1 << self.failures.min(8));
        let jitter = self.rng.random_range(0.5..1.0);
        self.failures += 1;
        self.due = now;
        self.store_due = now + backoff.min(level_limit).mul_f64(jitter);
        self.verify_due = now + backoff.min(limit).mul_f64(jitter);
    }

    /// When the store may be called again after failed calls.
    fn backoff_end(&self) -> Time {
        if self.published.unverified {
            self.verify_due
        } else {
            self.store_due
        }
    }

    fn recover(&mut self, now: Time) {
        self.failing_since = None;
        self.failures = 0;
        self.answered = Some(now);
        self.store_due = now;
        self.verify_due = now;
    }
}
