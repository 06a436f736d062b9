//! When a daemon learns what the store holds, and from whom.
//!
//! Rules kept here:
//! - everything is read at the start and after the history is lost, changes otherwise;
//! - what a stale read has shown counts only once something newer confirms it;
//! - before a peer's word is taken that an entry is gone, the store is reached, at least by a check;
//! - a daemon that asks another reads the store itself as soon as nothing newer has come for the longest
//!   watch and the margin of its level: the other one may have lost the store without noticing it;
//! - no watch is long, since one that the store takes right after it has cut all others may never hear
//!   anything;
//! - after failures the pauses double, and differ between daemons, so that a store that returns is
//!   not met by all at once;
//! - a failure is an outage of the store only once it has lasted [`OUTAGE`]: a single lost call says
//!   nothing of what happened meanwhile.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::Absence;
use super::sources::{Level, Sources};
use crate::time::Time;
use crate::units::Micros;

/// Longest time that the store holds a watch open. The end of each watch shows that the store is still
/// heard, well within the two seconds in which a change must be in force.
pub const WATCH_WAIT: Duration = Duration::from_millis(800);
/// First pause after a failed call; doubles with each further one.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
/// Longest pause of a daemon that others ask while the store can't be reached. It must be noticed soon
/// when it can: targets that left meanwhile still get work.
const PAUSE_LIMIT: Duration = Duration::from_millis(400);
/// The same while the store turns calls away, which it counts like served ones.
const REFUSED_LIMIT: Duration = Duration::from_millis(800);
/// Longest pause of a daemon that asks others, which notice the store's return for it.
const MEMBER_LIMIT: Duration = Duration::from_secs(2);
/// Pause after a change before the next watch, for each target: in a large fleet changes come in quick
/// succession, and each news reaches every daemon.
const SETTLE_EACH: Duration = Duration::from_millis(4);
/// Longest such pause; what is left of [`WATCH_WAIT`] follows it.
const SETTLE_LIMIT: Duration = Duration::from_millis(400);
/// Time without a proper answer after which entries may have lapsed unseen. Entries lapse after
/// three missed heartbeats, so a shorter failure removes none.
const OUTAGE: Duration = Duration::from_secs(1);
/// Wait for news that confirm a stale read, before the store is read once more.
const CONFIRM_WAIT: Duration = Duration::from_millis(100);
/// Least difference in age by which what is known here is newer. What a peer was told just now is older
/// by the way there, which is no news to it.
const NEWER: Duration = Duration::from_millis(50);
/// Time after an answer of the store in which it counts as reachable.
const HEARD_LIFE: Duration = Duration::from_millis(500);
/// Pause before another peer is asked after one that had no news.
const ASK_PAUSE: Duration = Duration::from_millis(20);
/// Time for which a peer without news isn't asked again; doubles each time.
const REST_FIRST: Duration = Duration::from_millis(500);
/// Longest such time.
const REST_LIMIT: Duration = Duration::from_secs(4);

/// The next call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// Ask a peer for what it has learnt after a revision.
    Ask {
        /// The revision.
        after: u64,
        /// The peer.
        peer: SocketAddr,
        /// When the wait for its news is over.
        until: Time,
    },
    /// Find out whether the store can be reached, as cheaply as can be.
    Check,
    /// Read everything from the store.
    Load {
        /// Whether the contents may be seconds old, which is cheaper.
        stale: bool,
    },
    /// Have the store wait for changes after a revision.
    Watch {
        /// The revision.
        after: u64,
        /// The longest wait.
        wait: Duration,
    },
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The store gave no answer.
    Failed,
    /// A peer knows more than it can tell.
    Gap(SocketAddr),
    /// The history after the revision is no longer available.
    HistoryGone,
    /// A peer told what it knows.
    News(SocketAddr, NewsHead),
    /// A peer that was asked gave no answer.
    NoNews(SocketAddr),
    /// The contents or changes up to a revision were read from the store.
    Read {
        /// The revision.
        revision: u64,
    },
    /// The store was reached, and nothing else learnt.
    Reached,
    /// Contents that may be old were read from the store.
    ReadStale {
        /// The revision.
        revision: u64,
    },
    /// The store has turned the call away.
    Refused,
}

/// What a daemon that asks another already knows of the store's contents.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Knowledge {
    /// Time since the store confirmed it; `None` for what a stale read has shown.
    #[serde_as(as = "Option<Micros>")]
    pub age: Option<Duration>,
    /// The revision.
    pub revision: u64,
}

/// How fresh a peer's news are.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct NewsHead {
    /// Time since the store confirmed the revision.
    #[serde_as(as = "Micros")]
    pub age: Duration,
    /// Time since the store came back from its last outage.
    #[serde_as(as = "Option<Micros>")]
    pub outage: Option<Duration>,
    /// The revision known to the peer.
    pub revision: u64,
}

/// Follows the contents of the store.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::catalog::{Call, CallEnd, Follower};
/// use hawthornwall_core::time::Time;
///
/// let mut follower = Follower::new(1);
/// assert_eq!(follower.next(Time::ZERO), (Time::ZERO, Call::Load { stale: true }));
/// follower.end(CallEnd::ReadStale { revision: 7 }, Time::ZERO);
/// assert!(!follower.is_confirmed());
/// let confirm = Call::Watch { after: 7, wait: Duration::ZERO };
/// assert_eq!(follower.next(Time::ZERO), (Time::ZERO, confirm));
/// follower.end(CallEnd::Read { revision: 8 }, Time::ZERO);
/// assert!(follower.is_confirmed());
/// follower.end(CallEnd::HistoryGone, Time::ZERO);
/// assert_eq!(follower.next(Time::ZERO).1, Call::Load { stale: false });
/// ```
#[derive(Clone, Debug)]
pub struct Follower {
    due: Time,
    failures: u32,
    /// The first failure since the store's last proper answer.
    failing: Option<Time>,
    /// The store's last proper answer.
    heard: Option<Time>,
    /// When the contents were last read as a whole.
    loaded: Time,
    outage_end: Option<Time>,
    /// When the store last confirmed the revision.
    proof: Option<Time>,
    /// Peers that had no news: how often in a row, and until when they aren't asked.
    resting: BTreeMap<SocketAddr, (u32, Time)>,
    revision: Option<u64>,
    rng: Pcg64Mcg,
    /// Pause after a change.
    settle: Duration,
    /// When the pause after the last change is over.
    settled: Time,
    sources: Sources,
    /// Whether peers can't tell what is missing here.
    store_first: bool,
    /// When the store may be read next.
    store_due: Time,
    /// Whether anything has been read or has failed to be.
    untried: bool,
}

impl Follower {
    /// A follower that has read nothing.
    pub fn new(seed: u64) -> Self {
        Self {
            due: Time::ZERO,
            failures: 0,
            failing: None,
            heard: None,
            loaded: Time::ZERO,
            outage_end: None,
            proof: None,
            resting: BTreeMap::new(),
            revision: None,
            rng: Pcg64Mcg::seed_from_u64(seed),
            settle: Duration::ZERO,
            settled: Time::ZERO,
            sources: Sources::default(),
            store_due: Time::ZERO,
            store_first: false,
            untried: true,
        }
    }

    /// Takes over how many targets are known, and whom to ask.
    pub fn set_sources(&mut self, targets: usize, sources: Sources) {
        let targets = u32::try_from(targets).unwrap_or(u32::MAX);
        self.settle = SETTLE_EACH.saturating_mul(targets).min(SETTLE_LIMIT);
        self.resting
            .retain(|peer, _| sources.parents.contains(peer));
        self.sources = sources;
    }

    /// Whether the store has confirmed what is known.
    pub fn is_confirmed(&self) -> bool {
        self.proof.is_some()
    }

    /// The revision known, 0 while there is none.
    pub fn revision(&self) -> u64 {
        self.revision.unwrap_or(0)
    }

    /// What is known here, for a peer that is asked.
    pub fn knowledge(&self, now: Time) -> Knowledge {
        Knowledge {
            age: self.proof.map(|proof| now - proof),
            revision: self.revision(),
        }
    }

    /// The news for a peer that knows `theirs`; `None` while there are none for it.
    pub fn news_for(&self, theirs: &Knowledge, now: Time) -> Option<NewsHead> {
        let (proof, revision) = self.proof.zip(self.revision)?;
        let age = now - proof;
        let fresher = theirs.age.is_none_or(|known| age + NEWER <= known);
        let newer = revision > theirs.revision;
        (newer || fresher && revision == theirs.revision).then(|| NewsHead {
            age,
            outage: self.outage_end.map(|at| now - at),
            revision,
        })
    }

    /// Whether a peer's news say more than what is known here.
    pub fn is_newer(&self, head: &NewsHead, now: Time) -> bool {
        let fresher = self.proof.is_none_or(|known| now - head.age > known);
        fresher && head.revision >= self.revision()
    }

    /// Whether the store must be reached before a peer's word is taken that an entry is gone: who is cut
    /// off from the store must not give up the targets that are cut off with it.
    pub fn must_check(&self, now: Time) -> bool {
        let heard = self.heard.is_some_and(|at| now - at < HEARD_LIFE);
        self.failing.is_none() && !heard
    }

    /// What it means that an entry is gone.
    pub fn absence(&self) -> Absence {
        match (self.failing, self.outage_end) {
            (Some(_), _) => Absence::Unsure,
            (None, Some(ended)) => Absence::Lapsed(ended),
            (None, None) => Absence::Left,
        }
    }

    /// The next call and when it is due.
    pub fn next(&self, now: Time) -> (Time, Call) {
        let at_store = self.due.max(self.store_due).max(self.settled);
        let Some(after) = self.revision else {
            let stale = self.untried;
            return (at_store, Call::Load { stale });
        };
        let pausing = self.store_due > now;
        let fresh = now < self.stale_at();
        let asks = !self.store_first && (pausing || fresh);
        match self.peer(now, pausing) {
            Some(_) if asks && !pausing && self.failing.is_some() => (at_store, Call::Check),
            Some(peer) if asks => {
                let until = self.stale_at().max(self.store_due);
                (self.due, Call::Ask { after, peer, until })
            }
            Some(_) => (at_store, self.watch(after, Duration::ZERO)),
            None => (at_store, self.watch(after, self.wait(at_store))),
        }
    }

    /// Notes the end of a call.
    pub fn end(&mut self, end: CallEnd, now: Time) {
        self.untried = false;
        match end {
            CallEnd::Failed => self.fail(PAUSE_LIMIT, now),
            CallEnd::Gap(peer) => {
                self.resting.remove(&peer);
                self.due = now;
                self.store_first = true;
            }
            CallEnd::HistoryGone => {
                self.revision = None;
                self.due = now;
            }
            CallEnd::News(peer, head) => self.take_news(peer, &head, now),
            CallEnd::NoNews(peer) => self.rest(peer, now),
            CallEnd::Reached => {
                self.due = now;
                self.recover(now);
            }
            CallEnd::Read { revision } => self.take_read(revision, now),
            CallEnd::ReadStale { revision } => {
                self.heard = Some(now);
                self.revision = Some(revision);
                self.loaded = now;
                self.due = now;
            }
            CallEnd::Refused => self.fail(REFUSED_LIMIT, now),
        }
    }

    fn watch(&self, after: u64, wait: Duration) -> Call {
        let wait = if self.proof.is_none() {
            Duration::ZERO
        } else {
            wait
        };
        Call::Watch { after, wait }
    }

    /// What is left of the longest watch for one that begins at `at`, so that the pause after a change
    /// delays no sign of life.
    fn wait(&self, at: Time) -> Duration {
        let passed = self.proof.map_or(Duration::ZERO, |proof| at - proof);
        WATCH_WAIT.saturating_sub(passed).max(WATCH_WAIT / 2)
    }

    /// When the store must be read although a peer is asked.
    fn stale_at(&self) -> Time {
        match self.proof {
            Some(proof) => proof + WATCH_WAIT + self.sources.level.margin(),
            None => self.loaded + CONFIRM_WAIT,
        }
    }

    /// The peer to ask: the first that isn't resting, or any while the store can't be read either.
    fn peer(&self, now: Time, pausing: bool) -> Option<SocketAddr> {
        let parents = &self.sources.parents;
        let rests = |p: &&SocketAddr| self.resting.get(*p).is_some_and(|(_, until)| *until > now);
        let awake = parents.iter().find(|p| !rests(p));
        awake.or(parents.first().filter(|_| pausing)).copied()
    }

    fn take_read(&mut self, revision: u64, now: Time) {
        // Changes since a load are asked for at once: none may be missed in between.
        let changed = self.revision.is_some_and(|known| known != revision);
        self.due = now;
        self.settled = now + if changed { self.settle } else { Duration::ZERO };
        if let Some(failed) = self.failing
            && now - self.silent_since(failed) >= OUTAGE
        {
            self.outage_end = Some(now);
        }
        self.revision = Some(revision);
        self.proof = Some(now);
        self.store_first = false;
        self.recover(now);
    }

    /// When the store fell silent, given the first failed call. A call that gets no answer fails only
    /// after its whole wait, in which entries may have lapsed already; what peers have heard meanwhile
    /// was no silence.
    fn silent_since(&self, failed: Time) -> Time {
        match self.proof {
            Some(proof) if proof > failed => proof,
            Some(proof) => failed.min(proof + WATCH_WAIT),
            None => failed,
        }
    }

    fn take_news(&mut self, peer: SocketAddr, head: &NewsHead, now: Time) {
        if !self.is_newer(head, now) {
            return self.rest(peer, now);
        }
        self.resting.remove(&peer);
        self.due = now;
        // Who has heard all along knows better than a peer that was cut off whether there was an outage.
        let gap = self
            .proof
            .is_none_or(|known| now - known >= OUTAGE + WATCH_WAIT);
        if let Some(ended) = head.outage.filter(|_| gap) {
            self.outage_end = Some(now - ended);
        }
        self.revision = Some(head.revision);
        self.proof = Some(now - head.age);
        self.store_first = false;
    }

    /// Asks others before a peer that had no news.
    fn rest(&mut self, peer: SocketAddr, now: Time) {
        self.due = now + ASK_PAUSE;
        let (times, until) = self.resting.entry(peer).or_insert((0, now));
        let rest = REST_FIRST * (1 << (*times).min(8));
        *until = now + rest.min(REST_LIMIT);
        *times += 1;
    }

    fn fail(&mut self, limit: Duration, now: Time) {
        self.failing.get_or_insert(now);
        let limit = match self.sources.level {
            Level::Head | Level::Root => limit,
            Level::Member => MEMBER_LIMIT,
        };
        let pause = (PAUSE_FIRST * (1 << self.failures.min(8))).min(limit);
        self.failures += 1;
        self.due = now;
        self.store_due = now + pause.mul_f64(self.rng.random_range(0.5..1.0));
    }

    fn recover(&mut self, now: Time) {
        self.failing = None;
        self.failures = 0;
        self.heard = Some(now);
        self.store_due = now;
    }
}
