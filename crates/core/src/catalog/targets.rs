//! Targets, and which of them take work.
//!
//! Evidence of a target's state comes from the store, from the store's older copies and from other daemons, late or
//! out of order. It is compared here and nowhere else: [`Record::compare`] for an entry, [`Targets::mark_missing`] for
//! the absence of one. `docs/design/target-state.md` lists each piece of evidence against each state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::{CatalogEvent, PublishedTarget};
use crate::ids::TargetId;
use crate::time::Time;

/// Time for which an entry that is missing after an outage of the store counts as present, and for which an
/// entry from an older copy doesn't put a target back in use. Targets write their entries again within two
/// seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Time for which an entry that may be out of date is held back. An entry that nobody writes lapses after three
/// missed heartbeats, 4.5 s, so that one which is still listed then is that of a target that runs. Half a second is
/// for the removal to be read.
pub const LAPSE_TIME: Duration = Duration::from_secs(5);

/// Time for which a target that left stays in the catalog, so that its last answers are still processed.
const LEFT_RETENTION: Duration = Duration::from_secs(30);

/// Difference between two stated ends of a target's cold time up to which they are the same one. Entries take up
/// to a second from the target to this daemon.
const COLD_STEP: Duration = Duration::from_secs(1);

/// How the absence of an entry is interpreted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Absence {
    /// The entry may have lapsed during an outage of the store, which ended at this time.
    Lapsed(Time),
    /// The target has left.
    #[default]
    Left,
    /// This daemon can't reach the store. Peers report that the entry is gone, which doesn't show
    /// whether the target has left or runs and is cut off from the store as well.
    Unverified,
}

/// How long a missing entry counts as present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Missing {
    /// Until this daemon reaches the store again.
    StoreUnreachable,
    Until(Time),
}

/// Whether a target takes new work, with the times that belong to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Listed by an earlier report, which says that it takes no work, than one that says it does; takes work. If the
    /// target hasn't reported again until this time, it doesn't take work now.
    Disputed(Time),
    /// Listed as ready, and not used: the entry may have been written before the target left. `since` is when it
    /// left; the entry is followed if it is still listed at `until`.
    HeldBack { since: Time, until: Time },
    /// Not listed, and takes no new work from this time on: its entry was missing for too long. Nobody has seen the
    /// target leave.
    Lapsed(Time),
    /// Listed, and takes no new work from this time on.
    Leaving(Time),
    /// Not listed, and takes no new work from this time on.
    Left(Time),
    /// Not listed, but may still run; takes work.
    Missing(Missing),
    /// Listed, and takes work.
    Ready,
}

impl State {
    const fn takes_work(self) -> bool {
        match self {
            Self::HeldBack { .. } | Self::Lapsed(_) | Self::Leaving(_) | Self::Left(_) => false,
            Self::Disputed(_) | Self::Missing(_) | Self::Ready => true,
        }
    }

    /// Whether the entry is in the contents last received.
    const fn is_listed(self) -> bool {
        match self {
            Self::Disputed(_) | Self::HeldBack { .. } | Self::Leaving(_) | Self::Ready => true,
            Self::Lapsed(_) | Self::Left(_) | Self::Missing(_) => false,
        }
    }

    /// Since when the target takes no new work; `None` if it takes work.
    const fn left_at(self) -> Option<Time> {
        match self {
            Self::HeldBack { since, .. }
            | Self::Lapsed(since)
            | Self::Leaving(since)
            | Self::Left(since) => Some(since),
            Self::Disputed(_) | Self::Missing(_) | Self::Ready => None,
        }
    }

    /// Until when an entry is held back; `None` if it isn't.
    const fn held_until(self) -> Option<Time> {
        match self {
            Self::HeldBack { until, .. } => Some(until),
            Self::Disputed(_)
            | Self::Lapsed(_)
            | Self::Leaving(_)
            | Self::Left(_)
            | Self::Missing(_)
            | Self::Ready => None,
        }
    }

    /// Whether the entry is gone, and the target takes no new work.
    const fn is_gone(self) -> bool {
        !self.is_listed() && !self.takes_work()
    }

    /// The state once the entry was removed because the target has left.
    fn left(self, now: Time) -> Self {
        Self::Left(self.left_at().unwrap_or(now))
    }

    /// The state once another target has started at the same address.
    fn replaced(self, now: Time) -> Self {
        match self {
            Self::HeldBack { since, .. } | Self::Leaving(since) => Self::Leaving(since),
            Self::Lapsed(since) | Self::Left(since) => Self::Left(since),
            Self::Missing(_) => Self::Left(now),
            Self::Disputed(_) | Self::Ready => Self::Leaving(now),
        }
    }

    /// When a missing entry no longer counts as present; `None` if it isn't missing, or if the store has to be reached
    /// first.
    const fn expiry(self) -> Option<Time> {
        match self {
            Self::Missing(Missing::Until(at)) => Some(at),
            Self::Disputed(_)
            | Self::HeldBack { .. }
            | Self::Lapsed(_)
            | Self::Leaving(_)
            | Self::Left(_)
            | Self::Missing(Missing::StoreUnreachable)
            | Self::Ready => None,
        }
    }
}

/// One target.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// End of the cold time according to the entry; [`Time::ZERO`] if it states none.
    cold_until: Time,
    entry: PublishedTarget,
    id: TargetId,
    state: State,
}

impl Record {
    pub fn cold_until(&self) -> Time {
        self.cold_until
    }

    pub fn entry(&self) -> &PublishedTarget {
        &self.entry
    }

    pub fn id(&self) -> TargetId {
        self.id
    }

    pub fn takes_work(&self) -> bool {
        self.state.takes_work()
    }

    /// What an entry shows about the target. While the store is `restoring` what it has lost, an entry may state less
    /// than is known here.
    fn compare(&self, entry: &PublishedTarget, restoring: bool) -> Evidence {
        if restoring && is_earlier_run(entry, &self.entry) {
            return Evidence::EarlierRun;
        }
        if !is_same_run(entry, &self.entry) {
            return Evidence::Current;
        }
        let ready = entry.state.takes_work();
        let order = entry.sequence.cmp(&self.entry.sequence);
        let numbered = entry.started_ms.is_some();
        // Each status report of a target that runs has a higher number than all before it.
        let doubtful = match self.state {
            State::HeldBack { .. } => restoring || order.is_le(),
            State::Lapsed(_) => restoring,
            // Once the store lists an earlier report, it shows no change when the target takes work again.
            State::Leaving(_) => restoring || numbered && order.is_lt(),
            State::Left(_) => restoring || numbered && order.is_le(),
            State::Disputed(_) | State::Missing(_) | State::Ready => false,
        };
        // A target that is missing may have reported again what an earlier report states: only an entry that changes
        // is read.
        let overwritten = self.state.is_listed() && numbered && order.is_lt() && !restoring;
        if ready && doubtful {
            Evidence::Doubtful(self.entry.sequence)
        } else if overwritten {
            Evidence::Overwritten
        } else {
            Evidence::Current
        }
    }
}

/// What an entry shows about a target that is known.
#[derive(Clone, Copy, Debug)]
enum Evidence {
    /// What the target states now.
    Current,
    /// That it takes work, although it left: the entry may have been written before that. With the number of the
    /// latest status report known.
    Doubtful(u64),
    /// An earlier run, which the store's older copy lists.
    EarlierRun,
    /// An earlier status report of the run than the one that is listed. The store may do a write late.
    Overwritten,
}

/// All targets, by name.
#[derive(Clone, Debug, Default)]
pub(super) struct Targets {
    last_id: u32,
    records: BTreeMap<String, Record>,
    /// When the store last returned from an older copy; `None` once everybody has had time to write again what it has
    /// lost.
    returned_at: Option<Time>,
}

impl Targets {
    pub fn get(&self, name: &str) -> Option<&Record> {
        self.records.get(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&str, &Record)> {
        self.records.iter().map(|(name, r)| (name.as_str(), r))
    }

    /// The last id that was assigned.
    pub fn last_id(&self) -> TargetId {
        TargetId(self.last_id)
    }

    /// The newest target at an address; targets that have left come last.
    pub fn at(&self, address: SocketAddr) -> Option<TargetId> {
        let all = self.records.values();
        all.filter(|r| r.entry.address == address)
            .max_by_key(|r| (r.takes_work(), r.id))
            .map(|r| r.id)
    }

    /// Names of the targets whose absence from `present` is news.
    pub fn absent(&self, present: &BTreeMap<String, PublishedTarget>) -> Vec<String> {
        let all = self.records.iter();
        all.filter(|(name, r)| !present.contains_key(*name) && !r.state.is_gone())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Records that the store has returned from an older copy at a time: no entry that is missing expires before
    /// everybody has written again.
    pub fn begin_era(&mut self, at: Time) {
        let at = self.returned_at.map_or(at, |earlier| earlier.max(at));
        self.returned_at = Some(at);
        for record in self.records.values_mut() {
            if let State::Missing(Missing::Until(end)) = &mut record.state {
                *end = (at + RETURN_GRACE).max(*end);
            }
        }
    }

    /// Whether the store may still lack what was written before its return from an older copy.
    pub fn is_restoring(&self, now: Time) -> bool {
        self.returned_at.is_some_and(|at| now < at + RETURN_GRACE)
    }

    /// Ends the time after the store's return if a read of the store, at `read`, is later; returns whether it ended now.
    pub fn end_return(&mut self, read: Time) -> bool {
        let ended = self.returned_at.take_if(|at| *at + RETURN_GRACE <= read);
        ended.is_some()
    }

    /// Whether a target is used until this daemon reaches the store, as a peer has reported its removal.
    pub fn has_unverified(&self) -> bool {
        let unverified = State::Missing(Missing::StoreUnreachable);
        self.records.values().any(|r| r.state == unverified)
    }

    /// Records that this daemon reaches the store again.
    pub fn reconnect(&mut self, now: Time) {
        for record in self.records.values_mut() {
            if record.state == State::Missing(Missing::StoreUnreachable) {
                record.state = State::Missing(Missing::Until(now + RETURN_GRACE));
            }
        }
    }

    /// When [`Targets::expire`] next changes a target.
    pub fn next_expiry(&self) -> Option<Time> {
        let all = self.records.values();
        all.filter_map(|r| r.state.expiry()).min()
    }

    /// Takes targets out of use whose missing entries have expired, and removes those that left long ago.
    pub fn expire(&mut self, now: Time) -> Vec<CatalogEvent> {
        let old = |state: State| state.left_at().is_some_and(|at| now - at >= LEFT_RETENTION);
        self.records
            .retain(|_, r| !r.state.is_gone() || !old(r.state));
        let mut events = Vec::new();
        for (name, record) in &mut self.records {
            if record.state.expiry().is_some_and(|at| at <= now) {
                record.state = State::Lapsed(now);
                events.push(CatalogEvent::TargetLeaving(name.clone()));
            }
        }
        events
    }

    /// Follows the entries that were in doubt and that a read of the store, at `read`, still lists after their time.
    pub fn settle(&mut self, read: Time, now: Time) -> Vec<CatalogEvent> {
        let (mut leaving, mut released) = (Vec::new(), Vec::new());
        for (name, record) in &mut self.records {
            if record.state.held_until().is_some_and(|until| until <= read) {
                record.state = State::Ready;
                released.push(name.clone());
            } else if let State::Disputed(until) = record.state
                && until <= read
            {
                record.state = State::Leaving(now);
                leaving.push(CatalogEvent::TargetLeaving(name.clone()));
            }
        }
        for name in &released {
            self.retire_replaced(name, now);
        }
        released.retain(|name| self.records[name].takes_work());
        let released = released.into_iter().map(CatalogEvent::TargetReady);
        leaving.into_iter().chain(released).collect()
    }

    /// Handles an entry. A change of the cold time is reported if `limits_cold` says that it matters.
    pub fn upsert(
        &mut self,
        name: &str,
        mut entry: PublishedTarget,
        limits_cold: bool,
        now: Time,
    ) -> Option<CatalogEvent> {
        let restoring = self.is_restoring(now);
        let known = self.records.get(name);
        let evidence = known.map_or(Evidence::Current, |r| r.compare(&entry, restoring));
        let before = known.filter(|r| is_same_run(&r.entry, &entry));
        let since = before.and_then(|r| r.state.left_at()).unwrap_or(now);
        let state = match evidence {
            Evidence::Current if entry.state.takes_work() => State::Ready,
            Evidence::Current => State::Leaving(since),
            Evidence::Doubtful(sequence) => {
                entry.sequence = entry.sequence.max(sequence);
                let until = self.held_until(before, now);
                State::HeldBack { since, until }
            }
            Evidence::EarlierRun => return self.mark_missing(name, Absence::Left, now),
            Evidence::Overwritten => {
                self.overwrite(name, entry.state.takes_work(), now);
                return Some(CatalogEvent::OlderEntry(name.to_owned()));
            }
        };
        let earlier = before.map(|r| r.state);
        let id = before.map_or(TargetId(self.last_id + 1), |r| r.id);
        let cold_until = cold_until(before, &entry, now);
        let cold_changed = limits_cold && before.is_some_and(|r| r.cold_until != cold_until);
        self.last_id = self.last_id.max(id.0);
        let record = Record {
            cold_until,
            entry,
            id,
            state,
        };
        self.records.insert(name.to_owned(), record);
        self.retire_replaced(name, now);
        self.change(name, earlier)
            .or_else(|| cold_changed.then(|| CatalogEvent::TargetCold(name.to_owned())))
    }

    /// Takes note of an earlier report that the store has done late. It states nothing about the target, but a later
    /// report that states the same doesn't change the entry and isn't read.
    fn overwrite(&mut self, name: &str, ready: bool, now: Time) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        record.state = match record.state {
            State::Disputed(_) if ready => State::Ready,
            State::HeldBack { since, .. } if !ready => State::Leaving(since),
            State::Ready if !ready => State::Disputed(now + RETURN_GRACE),
            State::Disputed(_)
            | State::HeldBack { .. }
            | State::Lapsed(_)
            | State::Leaving(_)
            | State::Left(_)
            | State::Missing(_)
            | State::Ready => record.state,
        };
    }

    /// Until when an entry that is received now is held back: until the entries that the store's copy had have
    /// lapsed, or this entry has. One that is held back already isn't held longer because it was read once more.
    fn held_until(&self, before: Option<&Record>, now: Time) -> Time {
        let returned = self.returned_at.filter(|_| self.is_restoring(now));
        let until = returned.unwrap_or(now) + LAPSE_TIME;
        match (before.and_then(|r| r.state.held_until()), returned) {
            (Some(held), None) => held,
            (Some(held), Some(_)) => held.max(until),
            (None, Some(_) | None) => until,
        }
    }

    /// The event that results from a target's state after an entry; `None` if it is the same as before.
    fn change(&self, name: &str, earlier: Option<State>) -> Option<CatalogEvent> {
        let state = self.records[name].state;
        let is_held = |state: State| state.held_until().is_some();
        let event = match (earlier.map(State::takes_work), state.takes_work()) {
            (Some(_) | None, false) if is_held(state) && !earlier.is_some_and(is_held) => {
                CatalogEvent::TargetHeldBack
            }
            (Some(true) | None, false) => CatalogEvent::TargetLeaving,
            (Some(false) | None, true) => CatalogEvent::TargetReady,
            (Some(true), true) | (Some(false), false) => return None,
        };
        Some(event(name.to_owned()))
    }

    /// Marks all targets at the address of `name` as left except the one that started last, since only
    /// that target can still run. The entries of the other targets lapse seconds later.
    fn retire_replaced(&mut self, name: &str, now: Time) {
        let Some(address) = self.records.get(name).map(|r| r.entry.address) else {
            return;
        };
        let at_address = |r: &Record| r.entry.address == address && r.entry.started_ms.is_some();
        let all = self.records.values().filter(|r| at_address(r));
        let Some(last) = all.map(|r| r.entry.started_ms).max() else {
            return;
        };
        let replaced = |r: &&mut Record| at_address(r) && r.entry.started_ms < last;
        for record in self.records.values_mut().filter(replaced) {
            record.state = record.state.replaced(now);
        }
    }

    /// Handles a missing entry: marks the target as left, or only as missing if it may still run.
    pub fn mark_missing(
        &mut self,
        name: &str,
        absence: Absence,
        now: Time,
    ) -> Option<CatalogEvent> {
        let returned = self.returned_at.filter(|_| self.is_restoring(now));
        let missing = match absence {
            Absence::Lapsed(_) | Absence::Left if let Some(at) = returned => {
                Some(Missing::Until(at + RETURN_GRACE))
            }
            Absence::Lapsed(at) if at + RETURN_GRACE > now => {
                Some(Missing::Until(at + RETURN_GRACE))
            }
            Absence::Lapsed(_) | Absence::Left => None,
            Absence::Unverified => Some(Missing::StoreUnreachable),
        };
        let record = self.records.get_mut(name)?;
        let name = name.to_owned();
        let Some(missing) = missing else {
            let used = record.state.takes_work();
            record.state = record.state.left(now);
            return used.then_some(CatalogEvent::TargetLeaving(name));
        };
        match record.state {
            State::Disputed(_) | State::Ready => {
                record.state = State::Missing(missing);
                Some(CatalogEvent::TargetMissing(name))
            }
            State::HeldBack { .. } | State::Leaving(_) | State::Left(_) => {
                record.state = record.state.left(now);
                None
            }
            State::Lapsed(_) | State::Missing(_) => None,
        }
    }
}

/// Whether two entries describe the same run of a target. A restarted target may keep its name, and no
/// state of the previous run applies to it.
fn is_same_run(a: &PublishedTarget, b: &PublishedTarget) -> bool {
    a.started_ms == b.started_ms && a.address == b.address && a.service == b.service
}

/// Whether `a` describes an earlier run than `b` of a target that keeps its name.
fn is_earlier_run(a: &PublishedTarget, b: &PublishedTarget) -> bool {
    a.started_ms.is_some() && a.started_ms < b.started_ms
}

/// End of the cold time after an entry was read. An entry that is read once more states nothing new, and nearly
/// the same end is kept, since it differs only by the time that the entries took.
fn cold_until(before: Option<&Record>, entry: &PublishedTarget, now: Time) -> Time {
    let stated = if entry.cold.is_zero() {
        Time::ZERO
    } else {
        now + entry.cold
    };
    let Some(before) = before else {
        return stated;
    };
    let known = before.cold_until;
    let step = stated.max(now) - known.max(now) + (known.max(now) - stated.max(now));
    if before.entry == *entry || step <= COLD_STEP {
        known
    } else {
        stated
    }
}
