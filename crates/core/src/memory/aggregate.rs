//! The budget of buffered bytes and of connections.

use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;
use std::time::Duration;

use super::{
    Activity, BufferLimits, CONNECTION_BYTES, ClaimId, Effect, Event, FRESH_TIME, HolderId,
    KERNEL_BYTES, ORDINARY_BYTES, Owner, STALL_TIME, TRANSIT_TIME,
};
use crate::time::Time;

/// Time without an eviction or a refusal after which there is room again.
const CALM_TIME: Duration = Duration::from_secs(5);

/// A connection and what it holds.
#[derive(Clone, Copy, Debug)]
struct Holder {
    activity: Activity,
    bytes: usize,
    /// Whether it has been told to close.
    evicted: bool,
    owner: Owner,
    /// When it last got bytes, wrote bytes or changed its activity.
    progress: Time,
    /// Whether a request on it has been complete.
    served: bool,
}

impl Holder {
    fn cost(&self) -> usize {
        cost(self.bytes)
    }

    fn stalled_for(&self, now: Time) -> Duration {
        now - self.progress
    }
}

/// Memory of a connection that holds this many bytes.
fn cost(bytes: usize) -> usize {
    let kernel = if bytes > 0 { KERNEL_BYTES } else { 0 };
    CONNECTION_BYTES + kernel + bytes
}

/// A claim that waits until evicted connections have closed.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    claim: ClaimId,
    holder: HolderId,
    need: Need,
}

/// What is claimed.
#[derive(Clone, Copy, Debug)]
enum Need {
    /// Bytes of an answer.
    Answer(usize),
    Bytes(usize),
    Connection(Owner),
}

/// What a claim lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Lack {
    /// Bytes of this caller address.
    Address(IpAddr, usize),
    /// A connection of any kind.
    Connection,
    /// A connection of the claimant's kind.
    OfKind,
    /// Bytes.
    Total(usize),
}

/// The budget of one process.
///
/// Invariants: what is granted never exceeds the limits; a closed connection holds nothing; each claim is granted or
/// refused once, at the latest when all evicted connections have closed.
#[derive(Clone, Debug)]
pub struct Budget {
    holders: BTreeMap<HolderId, Holder>,
    limits: BufferLimits,
    /// When the last claim found no room; `None` if there has been room for a while.
    pressed: Option<Time>,
    /// Lengths of the answers that have been passed on and not yet claimed, with the time of each.
    transit: VecDeque<(Time, usize)>,
    used: usize,
    waiting: VecDeque<Waiting>,
}

impl Budget {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: BufferLimits) -> Self {
        Self {
            holders: BTreeMap::new(),
            limits,
            pressed: None,
            transit: VecDeque::new(),
            used: 0,
            waiting: VecDeque::new(),
        }
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.holders.len()
    }

    /// Applies one event and returns what follows.
    pub fn on(&mut self, event: Event, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.expire_transit(now, &mut effects);
        match event {
            Event::Active(holder, activity) => self.set_activity(holder, activity, now),
            Event::Claim {
                answer,
                bytes,
                claim,
                holder,
            } => {
                let need = if answer {
                    Need::Answer(bytes)
                } else {
                    Need::Bytes(bytes)
                };
                let waiting = Waiting {
                    claim,
                    holder,
                    need,
                };
                self.claim(waiting, now, &mut effects);
            }
            Event::Closed(holder) => {
                if let Some(closed) = self.holders.remove(&holder) {
                    self.used -= closed.cost();
                }
                self.refuse_waiting(holder, &mut effects);
                self.settle(now, &mut effects);
            }
            Event::HandOver { bytes, holder } => {
                let moved = self.release(holder, bytes);
                self.transit.push_back((now, moved));
                self.used += moved;
                self.settle(now, &mut effects);
            }
            Event::Open {
                claim,
                holder,
                owner,
            } => self.claim(
                Waiting {
                    claim,
                    holder,
                    need: Need::Connection(owner),
                },
                now,
                &mut effects,
            ),
            Event::Progress(holder) => {
                if let Some(holder) = self.holders.get_mut(&holder) {
                    holder.progress = now;
                }
            }
            Event::Release { bytes, holder } => {
                self.release(holder, bytes);
                self.settle(now, &mut effects);
            }
            Event::Tick => self.calm(now, &mut effects),
        }
        effects
    }

    /// Checks the invariants and returns a description of each violation.
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let held: usize = self.holders.values().map(Holder::cost).sum();
        let used = held + self.in_transit();
        if used != self.used {
            faults.push(format!("{used} bytes are held, {} counted", self.used));
        }
        if used > self.limits.total {
            faults.push(format!("{used} bytes of {} are held", self.limits.total));
        }
        let count = self.holders.len();
        if count > self.limits.connections {
            faults.push(format!(
                "{count} of {} connections",
                self.limits.connections
            ));
        }
        let evicted = self.holders.values().any(|h| h.evicted);
        if !evicted && !self.waiting.is_empty() {
            faults.push(format!("{} claims wait for nothing", self.waiting.len()));
        }
        faults
    }

    fn set_activity(&mut self, id: HolderId, activity: Activity, now: Time) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.activity = activity;
            holder.progress = now;
            holder.served |= matches!(activity, Activity::Running | Activity::Sending);
        }
    }

    fn claim(&mut self, waiting: Waiting, now: Time, effects: &mut Vec<Effect>) {
        let claim = waiting.claim;
        let is_evicted = self.holders.get(&waiting.holder).is_some_and(|h| h.evicted);
        let is_known = match waiting.need {
            Need::Answer(_) | Need::Bytes(_) => self.holders.contains_key(&waiting.holder),
            Need::Connection(_) => true,
        };
        if is_evicted || !is_known {
            return effects.push(Effect::Refuse(claim));
        }
        let Some(lack) = self.lack(&waiting) else {
            self.grant(&waiting, now);
            return effects.push(Effect::Grant(claim));
        };
        if self.pressed.replace(now).is_none() {
            effects.push(Effect::PressureStarted);
        }
        if self.make_room(&waiting, lack, now, effects) {
            self.waiting.push_back(waiting);
        } else {
            effects.push(Effect::Refuse(claim));
        }
    }

    /// What a claim lacks; `None` if it can be granted.
    fn lack(&self, waiting: &Waiting) -> Option<Lack> {
        match waiting.need {
            Need::Connection(owner) => self.lack_of_connection(owner),
            Need::Answer(bytes) => {
                let holder = self.holders.get(&waiting.holder)?;
                self.lack_of_bytes(holder, bytes, self.in_transit().min(bytes))
            }
            Need::Bytes(bytes) => {
                let holder = self.holders.get(&waiting.holder)?;
                self.lack_of_bytes(holder, bytes, 0)
            }
        }
    }

    fn lack_of_connection(&self, owner: Owner) -> Option<Lack> {
        let of_kind = self.holders.values();
        let of_kind = of_kind.filter(|h| same_kind(h.owner, owner)).count();
        let limit = match owner {
            Owner::Caller(_) => self.limits.callers,
            Owner::Peer => self.limits.peers,
            Owner::Target => self.limits.connections,
        };
        if of_kind >= limit {
            return Some(Lack::OfKind);
        }
        if self.holders.len() >= self.limits.connections {
            return Some(Lack::Connection);
        }
        let limit = self.limits.total - self.limits.reserve;
        let over = (self.used + CONNECTION_BYTES).saturating_sub(limit);
        (over > 0).then_some(Lack::Total(over))
    }

    /// What a claim lacks of which `counted` bytes are in use already.
    fn lack_of_bytes(&self, holder: &Holder, bytes: usize, counted: usize) -> Option<Lack> {
        let after = holder.bytes.saturating_add(bytes);
        let more = cost(after) - holder.cost();
        let ordinary = after <= ORDINARY_BYTES;
        let limit = if ordinary {
            self.limits.total
        } else {
            self.limits.total - self.limits.reserve
        };
        let used = (self.used - counted).saturating_add(more);
        let over = used.saturating_sub(limit);
        if over > 0 {
            return Some(Lack::Total(over));
        }
        match holder.owner {
            Owner::Caller(address) if !ordinary => {
                let held = self.held_by(address).saturating_add(more);
                let over = held.saturating_sub(self.limits.address);
                (over > 0).then_some(Lack::Address(address, over))
            }
            Owner::Caller(_) | Owner::Peer | Owner::Target => None,
        }
    }

    fn held_by(&self, address: IpAddr) -> usize {
        let own = self.holders.values();
        let own = own.filter(|h| h.owner == Owner::Caller(address));
        own.map(Holder::cost).sum()
    }

    fn grant(&mut self, waiting: &Waiting, now: Time) {
        match waiting.need {
            Need::Connection(owner) => {
                let holder = Holder {
                    activity: Activity::Idle,
                    bytes: 0,
                    evicted: false,
                    owner,
                    progress: now,
                    served: false,
                };
                self.used += holder.cost();
                self.holders.insert(waiting.holder, holder);
            }
            Need::Answer(bytes) => {
                self.take_transit(bytes);
                self.add_bytes(waiting.holder, bytes, now);
            }
            Need::Bytes(bytes) => self.add_bytes(waiting.holder, bytes, now),
        }
    }

    fn add_bytes(&mut self, id: HolderId, bytes: usize, now: Time) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let before = holder.cost();
            holder.bytes += bytes;
            holder.progress = now;
            self.used += holder.cost() - before;
        }
    }

    /// Takes bytes from a connection and returns how many it had of them.
    fn release(&mut self, id: HolderId, bytes: usize) -> usize {
        let Some(holder) = self.holders.get_mut(&id) else {
            return 0;
        };
        let before = holder.cost();
        let released = bytes.min(holder.bytes);
        holder.bytes -= released;
        self.used -= before - holder.cost();
        released
    }

    fn in_transit(&self) -> usize {
        self.transit.iter().map(|(_, bytes)| bytes).sum()
    }

    /// Answers are taken in their order; which of them a claim is for makes no difference to the sum.
    fn take_transit(&mut self, mut bytes: usize) {
        while bytes > 0
            && let Some((_, first)) = self.transit.front_mut()
        {
            let taken = bytes.min(*first);
            *first -= taken;
            bytes -= taken;
            self.used -= taken;
            if *first == 0 {
                self.transit.pop_front();
            }
        }
    }

    fn expire_transit(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let mut expired = false;
        while let Some(&(since, bytes)) = self.transit.front()
            && now - since >= TRANSIT_TIME
        {
            self.transit.pop_front();
            self.used -= bytes;
            expired = true;
        }
        if expired {
            self.settle(now, effects);
        }
    }

    /// Evicts connections until the claim will fit once they have closed. If there aren't enough, none is evicted.
    fn make_room(
        &mut self,
        waiting: &Waiting,
        lack: Lack,
        now: Time,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let useful = |h: &Holder| match (lack, waiting.need) {
            (Lack::Address(address, _), _) => h.owner == Owner::Caller(address),
            (Lack::OfKind, Need::Connection(owner)) => same_kind(h.owner, owner),
            (Lack::OfKind, Need::Answer(_) | Need::Bytes(_))
            | (Lack::Connection | Lack::Total(_), _) => true,
        };
        let mut needed = match lack {
            Lack::Address(_, bytes) | Lack::Total(bytes) => bytes,
            Lack::Connection | Lack::OfKind => 1,
        };
        let yields = |h: &Holder| match lack {
            Lack::Address(..) | Lack::Total(_) => h.cost(),
            Lack::Connection | Lack::OfKind => 1,
        };
        // What is on its way out is for the claims that wait already.
        needed += self
            .waiting
            .iter()
            .map(|w| self.weight(w, lack))
            .sum::<usize>();
        let leaving = self.holders.values().filter(|h| h.evicted && useful(h));
        needed = needed.saturating_sub(leaving.map(yields).sum());
        let mut candidates: Vec<_> = self
            .holders
            .iter()
            .filter(|(id, h)| **id != waiting.holder && !h.evicted && useful(h))
            .filter_map(|(id, h)| Some((rank(h, now)?, h.progress, *id)))
            .collect();
        candidates.sort_unstable();
        let mut victims = Vec::new();
        for (_, _, id) in candidates {
            if needed == 0 {
                break;
            }
            needed = needed.saturating_sub(yields(&self.holders[&id]));
            victims.push(id);
        }
        if needed > 0 {
            return false;
        }
        for id in victims {
            self.evict(id, effects);
        }
        true
    }

    /// What a waiting claim will take of that which another one lacks.
    fn weight(&self, waiting: &Waiting, lack: Lack) -> usize {
        match (lack, waiting.need) {
            (Lack::Address(..) | Lack::Total(_), Need::Answer(bytes) | Need::Bytes(bytes)) => {
                let held = self.holders.get(&waiting.holder).map_or(0, |h| h.bytes);
                cost(held + bytes) - cost(held)
            }
            (Lack::Address(..) | Lack::Total(_), Need::Connection(_)) => CONNECTION_BYTES,
            (Lack::Connection | Lack::OfKind, Need::Connection(_)) => 1,
            (Lack::Connection | Lack::OfKind, Need::Answer(_) | Need::Bytes(_)) => 0,
        }
    }

    fn evict(&mut self, id: HolderId, effects: &mut Vec<Effect>) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.evicted = true;
        }
        self.refuse_waiting(id, effects);
        effects.push(Effect::Evict(id));
    }

    fn refuse_waiting(&mut self, id: HolderId, effects: &mut Vec<Effect>) {
        let claims = self.waiting.iter().filter(|w| w.holder == id);
        effects.extend(claims.map(|w| Effect::Refuse(w.claim)));
        self.waiting.retain(|w| w.holder != id);
    }

    /// Grants the waiting claims that fit now, in their order. The others are refused once nothing is left to
    /// wait for.
    fn settle(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let waiting = std::mem::take(&mut self.waiting);
        for waiting in waiting {
            if self.lack(&waiting).is_none() {
                self.grant(&waiting, now);
                effects.push(Effect::Grant(waiting.claim));
            } else if self.holders.values().any(|h| h.evicted) {
                self.waiting.push_back(waiting);
            } else {
                effects.push(Effect::Refuse(waiting.claim));
            }
        }
    }

    fn calm(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let calm = self.pressed.is_some_and(|at| now - at >= CALM_TIME);
        if calm {
            self.pressed = None;
            effects.push(Effect::PressureEnded);
        }
    }
}

fn same_kind(one: Owner, other: Owner) -> bool {
    match one {
        Owner::Caller(_) => matches!(other, Owner::Caller(_)),
        Owner::Peer => other == Owner::Peer,
        Owner::Target => other == Owner::Target,
    }
}

/// Whether a caller has had time for a first request and sent none.
fn is_silent_caller(holder: &Holder, now: Time) -> bool {
    match holder.owner {
        Owner::Caller(_) => !holder.served && holder.stalled_for(now) >= FRESH_TIME,
        Owner::Peer | Owner::Target => false,
    }
}

/// The order in which connections are evicted; `None` for one that isn't. What runs is finished, and a message that
/// makes progress is received or sent to its end.
fn rank(holder: &Holder, now: Time) -> Option<u8> {
    let stalled = holder.stalled_for(now) >= STALL_TIME;
    match holder.activity {
        Activity::Receiving | Activity::Sending if stalled => Some(0),
        Activity::Idle if is_silent_caller(holder, now) => Some(1),
        Activity::Idle if stalled => Some(2),
        Activity::Idle | Activity::Receiving | Activity::Running | Activity::Sending => None,
    }
}
