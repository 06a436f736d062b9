//! Properties of the budget of buffered bytes under random sequences of events, compared with a plain model of what
//! the connections hold.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use hawthornwall_core::memory::{
    Activity, Budget, BufferLimits, CONNECTION_BYTES, ClaimId, Effect, Event, HolderId,
    KERNEL_BYTES, ORDINARY_BYTES, Owner, STALL_TIME, TRANSIT_TIME,
};
use hawthornwall_core::time::Time;
use proptest::prelude::*;

const LIMITS: BufferLimits = BufferLimits {
    address: 700_000,
    callers: 6,
    connections: 8,
    peers: 3,
    reserve: CONNECTION_BYTES + KERNEL_BYTES + ORDINARY_BYTES,
    total: 1_000_000,
};

/// Something that a connection may do next; the first number chooses the connection.
#[derive(Clone, Copy, Debug)]
enum Step {
    Active(usize, Activity),
    Claim(usize, usize),
    Close(usize),
    /// The nth of the evicted connections closes.
    CloseEvicted(usize),
    /// A connection passes an answer on.
    HandOver(usize, usize),
    Open(Owner),
    Progress(usize),
    Release(usize, usize),
    Wait(u64),
}

fn owner() -> impl Strategy<Value = Owner> {
    prop_oneof![
        4 => (1..3u8).prop_map(|n| Owner::Caller(IpAddr::V4(Ipv4Addr::new(10, 0, 0, n)))),
        1 => Just(Owner::Peer),
        1 => Just(Owner::Target),
    ]
}

fn activity() -> impl Strategy<Value = Activity> {
    prop_oneof![
        Just(Activity::Idle),
        Just(Activity::Receiving),
        Just(Activity::Running),
        Just(Activity::Sending),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..8usize, activity()).prop_map(|(n, a)| Step::Active(n, a)),
        8 => (0..8usize, 1..400_000usize).prop_map(|(n, bytes)| Step::Claim(n, bytes)),
        2 => (0..8usize).prop_map(Step::Close),
        4 => (0..4usize).prop_map(Step::CloseEvicted),
        2 => (0..8usize, 1..400_000usize).prop_map(|(n, bytes)| Step::HandOver(n, bytes)),
        6 => owner().prop_map(Step::Open),
        1 => (0..8usize).prop_map(Step::Progress),
        3 => (0..8usize, 1..400_000usize).prop_map(|(n, bytes)| Step::Release(n, bytes)),
        2 => (1..5_000u64).prop_map(Step::Wait),
    ]
}

/// What a claim asks for.
#[derive(Clone, Copy, Debug)]
enum Asked {
    Answer(HolderId, usize),
    Bytes(HolderId, usize),
    Connection(HolderId),
}

/// What the connections hold according to the effects.
struct Model {
    asked: BTreeMap<ClaimId, Asked>,
    budget: Budget,
    evicted: BTreeSet<HolderId>,
    held: BTreeMap<HolderId, usize>,
    next: u64,
    now: Time,
    /// Answers that have been passed on and not claimed.
    transit: VecDeque<(Time, usize)>,
}

impl Model {
    fn new() -> Self {
        Self {
            asked: BTreeMap::new(),
            budget: Budget::new(LIMITS),
            evicted: BTreeSet::new(),
            held: BTreeMap::new(),
            next: 0,
            now: Time::ZERO,
            transit: VecDeque::new(),
        }
    }

    fn next(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn holder(&self, n: usize) -> Option<HolderId> {
        self.held.keys().nth(n % self.held.len().max(1)).copied()
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Active(n, activity) => {
                if let Some(holder) = self.holder(n) {
                    self.on(Event::Active(holder, activity));
                }
            }
            Step::Claim(n, bytes) => {
                if let Some(holder) = self.holder(n) {
                    self.claim(holder, bytes);
                }
            }
            Step::Close(n) => {
                if let Some(holder) = self.holder(n) {
                    self.close(holder);
                }
            }
            Step::CloseEvicted(n) => {
                if let Some(&holder) = self.evicted.iter().nth(n) {
                    self.close(holder);
                }
            }
            Step::HandOver(n, bytes) => {
                if let Some(holder) = self.holder(n) {
                    let bytes = bytes.min(self.held[&holder]);
                    *self.held.get_mut(&holder).expect("it is open") -= bytes;
                    self.transit.push_back((self.now, bytes));
                    self.on(Event::HandOver { bytes, holder });
                }
            }
            Step::Open(owner) => {
                let (holder, claim) = (HolderId(self.next()), ClaimId(self.next()));
                self.asked.insert(claim, Asked::Connection(holder));
                self.on(Event::Open {
                    claim,
                    holder,
                    owner,
                });
            }
            Step::Progress(n) => {
                if let Some(holder) = self.holder(n) {
                    self.on(Event::Progress(holder));
                }
            }
            Step::Release(n, bytes) => {
                if let Some(holder) = self.holder(n) {
                    let bytes = bytes.min(self.held[&holder]);
                    *self.held.get_mut(&holder).expect("it is open") -= bytes;
                    self.on(Event::Release { bytes, holder });
                }
            }
            Step::Wait(ms) => {
                self.now = self.now + Duration::from_millis(ms);
                self.on(Event::Tick);
            }
        }
    }

    /// Claims bytes and returns the claim.
    fn claim(&mut self, holder: HolderId, bytes: usize) -> ClaimId {
        let claim = ClaimId(self.next());
        let answer = self.next.is_multiple_of(2);
        let asked = if answer {
            Asked::Answer(holder, bytes)
        } else {
            Asked::Bytes(holder, bytes)
        };
        self.asked.insert(claim, asked);
        self.on(Event::Claim {
            answer,
            bytes,
            claim,
            holder,
        });
        claim
    }

    fn close(&mut self, holder: HolderId) {
        self.held.remove(&holder);
        self.evicted.remove(&holder);
        self.on(Event::Closed(holder));
    }

    /// Claims `bytes` of the answers in transit, the oldest first.
    fn take_transit(&mut self, mut bytes: usize) {
        for (_, left) in &mut self.transit {
            let taken = bytes.min(*left);
            *left -= taken;
            bytes -= taken;
        }
    }

    fn on(&mut self, event: Event) {
        self.transit
            .retain(|(since, _)| self.now - *since < TRANSIT_TIME);
        for effect in self.budget.on(event, self.now) {
            match effect {
                Effect::Evict(holder) => {
                    assert!(self.held.contains_key(&holder), "{holder:?} isn't open");
                    assert!(self.evicted.insert(holder), "{holder:?} is evicted twice");
                }
                Effect::Grant(claim) => match self.asked.remove(&claim).expect("it was asked") {
                    Asked::Answer(holder, bytes) => {
                        self.take_transit(bytes);
                        *self.held.get_mut(&holder).expect("it is open") += bytes;
                    }
                    Asked::Bytes(holder, bytes) => {
                        *self.held.get_mut(&holder).expect("it is open") += bytes;
                    }
                    Asked::Connection(holder) => {
                        self.held.insert(holder, 0);
                    }
                },
                Effect::Refuse(claim) => {
                    self.asked.remove(&claim).expect("it was asked");
                }
                Effect::PressureEnded | Effect::PressureStarted => {}
            }
        }
        assert_eq!(self.budget.verify(), Vec::<String>::new());
        let costs = self.held.values();
        let costs = costs.map(|&b| CONNECTION_BYTES + b + if b > 0 { KERNEL_BYTES } else { 0 });
        let in_transit: usize = self.transit.iter().map(|(_, bytes)| bytes).sum();
        let used = costs.sum::<usize>() + in_transit;
        assert_eq!(used, self.budget.used());
        assert!(used <= LIMITS.total && self.held.len() <= LIMITS.connections);
    }

    fn close_all(&mut self) {
        while let Some(&holder) = self.held.keys().next() {
            self.close(holder);
        }
    }
}

proptest! {
    /// Guards against a budget that is exceeded, a claim that is never decided, and bytes that stay allocated after
    /// all connections have closed.
    #[test]
    fn no_sequence_exceeds_or_leaks(steps in prop::collection::vec(step(), 0..200)) {
        let mut model = Model::new();
        for step in steps {
            model.apply(step);
        }
        model.close_all();
        model.apply(Step::Wait(TRANSIT_TIME.as_millis() as u64));
        prop_assert_eq!(model.budget.used(), 0);
        prop_assert_eq!(model.budget.connections(), 0);
        prop_assert!(model.asked.is_empty(), "{:?}", model.asked);
    }

    /// Guards against an ordinary request that is refused although there is room for it.
    #[test]
    fn an_ordinary_request_is_admitted_without_overload(
        steps in prop::collection::vec(step(), 0..200),
        n in 0..8usize,
    ) {
        let mut model = Model::new();
        for step in steps {
            model.apply(step);
        }
        let Some(holder) = model.holder(n) else {
            return Ok(());
        };
        let fits = LIMITS.total - model.budget.used() >= KERNEL_BYTES + ORDINARY_BYTES;
        if fits && model.held[&holder] == 0 && !model.evicted.contains(&holder) {
            model.claim(holder, ORDINARY_BYTES);
            prop_assert_eq!(model.held[&holder], ORDINARY_BYTES);
        }
    }

    /// Guards against an ordinary request that is refused beside connections that hold all bytes and stall.
    #[test]
    fn stalled_connections_give_way_to_an_ordinary_request(
        sizes in prop::collection::vec(1..400_000usize, 1..6),
    ) {
        let mut model = Model::new();
        for size in sizes {
            model.apply(Step::Open(Owner::Caller(IpAddr::V4(Ipv4Addr::LOCALHOST))));
            let Some(holder) = model.held.keys().last().copied() else {
                continue;
            };
            model.on(Event::Active(holder, Activity::Receiving));
            model.claim(holder, size);
        }
        model.now = model.now + STALL_TIME;
        model.apply(Step::Open(Owner::Caller(IpAddr::V4(Ipv4Addr::LOCALHOST))));
        while let Some(&holder) = model.evicted.iter().next() {
            model.close(holder);
        }
        let holder = model.held.keys().last().copied().expect("the last one is open");
        model.claim(holder, ORDINARY_BYTES);
        while let Some(&evicted) = model.evicted.iter().next() {
            model.close(evicted);
        }
        prop_assert!(model.held[&holder] >= ORDINARY_BYTES);
    }
}
