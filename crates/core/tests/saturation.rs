//! A burst at a simulated target, with the gate in front of it.

#![allow(clippy::unwrap_used, reason = "a panic is how a test fails")]

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornwall_core::admission::{Arrival, Effect, Event, Gate, Limits, Urgency, WorkId};
use hawthornwall_core::prelude::*;

const SLOTS: u32 = 9;
const OBJECTIVE: Duration = Duration::from_millis(500);

/// How long work takes by the slots taken when it starts, as a factor of the usual.
#[derive(Clone, Copy)]
enum Speed {
    /// The same at any occupancy.
    Even,
    /// 1.7 times as long with eight or nine slots taken, as the published targets do it.
    SlowNearFull,
    /// As `SlowNearFull` until this time, then as `Even`.
    SlowUntil(Time),
}

impl Speed {
    fn factor(self, taken: usize, now: Time) -> f64 {
        let near_full = taken > 7;
        match self {
            Self::SlowNearFull if near_full => 1.7,
            Self::SlowUntil(end) if near_full && now < end => 1.7,
            Self::Even | Self::SlowNearFull | Self::SlowUntil(_) => 1.0,
        }
    }
}

struct Target {
    gate: Gate,
    /// When running requests end.
    ends: BTreeMap<WorkId, Time>,
    wanted: BTreeMap<WorkId, Time>,
    speed: Speed,
    figures: Figures,
}

#[derive(Debug, Default)]
struct Figures {
    in_time: u32,
    late: u32,
    most_running: usize,
    refused: u32,
}

impl Target {
    fn new(speed: Speed) -> Self {
        let limits = Limits {
            queue_wait: Duration::from_millis(250),
            slots: SLOTS,
        };
        Self {
            ends: BTreeMap::new(),
            figures: Figures::default(),
            gate: Gate::new(InstanceId(1), limits),
            speed,
            wanted: BTreeMap::new(),
        }
    }

    /// Sends a request every `gap` in a time of `length` that begins at `start`, and returns what became
    /// of those sent and of those that had not ended before.
    fn send(&mut self, start: Time, length: Duration, gap: Duration) -> Figures {
        self.figures = Figures::default();
        let count = (length.as_secs_f64() / gap.as_secs_f64()) as u32;
        for n in 0..count {
            let now = start + gap * n;
            self.finish_until(now);
            self.arrive(now);
        }
        std::mem::take(&mut self.figures)
    }

    fn arrive(&mut self, now: Time) {
        let id = WorkId(now.as_micros());
        self.wanted.insert(id, now + OBJECTIVE);
        let arrival = Arrival {
            deadline: now + OBJECTIVE * 4,
            id,
            patience: Duration::MAX,
            urgency: Urgency {
                objective: OBJECTIVE,
                rank: 2,
            },
            wanted: Some(now + OBJECTIVE),
        };
        self.apply(&Event::Arrive(arrival), now);
    }

    fn finish_until(&mut self, now: Time) {
        loop {
            let first = self.ends.iter().min_by_key(|(_, end)| **end);
            let Some((id, end)) = first.map(|(id, end)| (*id, *end)) else {
                return;
            };
            if end > now {
                return;
            }
            self.ends.remove(&id);
            if end <= self.wanted[&id] {
                self.figures.in_time += 1;
            } else {
                self.figures.late += 1;
            }
            self.apply(&Event::Finish { failed: false, id }, end);
        }
    }

    fn apply(&mut self, event: &Event, now: Time) {
        for effect in self.gate.on(event, now) {
            match effect {
                Effect::Start(id) => {
                    let taken = self.ends.len() + 1;
                    let factor = self.speed.factor(taken, now);
                    self.ends.insert(id, now + work(id).mul_f64(factor));
                    self.figures.most_running = self.figures.most_running.max(taken);
                }
                Effect::Refuse(..) => self.figures.refused += 1,
                Effect::Abort(_) | Effect::Ask | Effect::Drained => {}
            }
        }
        assert_eq!(self.gate.verify(), Vec::<String>::new());
    }
}

/// Between 140 and 260 ms, spread by the id; one in eight requests is answered without work.
fn work(id: WorkId) -> Duration {
    let spread = id.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
    if spread.is_multiple_of(8) {
        return Duration::from_millis(1);
    }
    Duration::from_millis(140 + spread % 121)
}

fn second(n: u64) -> Time {
    Time::ZERO + Duration::from_secs(n)
}

/// A quiet time of two seconds, then a burst of four seconds with 42 requests a second.
fn quiet_then_burst(speed: Speed) -> String {
    let mut target = Target::new(speed);
    let quiet = target.send(second(0), Duration::from_secs(2), Duration::from_millis(60));
    let burst = target.send(second(2), Duration::from_secs(4), Duration::from_millis(24));
    format!("quiet: {quiet:?}\nburst: {burst:?}")
}

/// Guards against bursts that are served with all slots where the last ones cost more than they give.
#[test]
fn a_target_that_slows_down_near_full_keeps_slots_free() {
    insta::assert_snapshot!(quiet_then_burst(Speed::SlowNearFull), @r"
    quiet: Figures { in_time: 28, late: 0, most_running: 5, refused: 0 }
    burst: Figures { in_time: 132, late: 10, most_running: 9, refused: 14 }
    ");
}

/// Guards against slots that are left free at a target that works as fast with all of them.
#[test]
fn a_target_that_does_not_slow_down_uses_all_slots() {
    insta::assert_snapshot!(quiet_then_burst(Speed::Even), @r"
    quiet: Figures { in_time: 28, late: 0, most_running: 5, refused: 0 }
    burst: Figures { in_time: 161, late: 0, most_running: 9, refused: 0 }
    ");
}

/// Guards against slots that are left free for good because of what was once seen.
#[test]
fn slots_come_back_into_use() {
    let mut target = Target::new(Speed::SlowUntil(second(6)));
    let gap = Duration::from_millis(24);
    let quiet = target.send(second(0), Duration::from_secs(2), Duration::from_millis(60));
    let slow = target.send(second(2), Duration::from_secs(4), gap);
    let _soon_after = target.send(second(6), Duration::from_secs(12), gap);
    let later = target.send(second(18), Duration::from_secs(4), gap);
    let figures = format!("quiet: {quiet:?}\nslow: {slow:?}\nlater: {later:?}");
    insta::assert_snapshot!(figures, @r"
    quiet: Figures { in_time: 28, late: 0, most_running: 5, refused: 0 }
    slow: Figures { in_time: 132, late: 10, most_running: 9, refused: 14 }
    later: Figures { in_time: 166, late: 0, most_running: 9, refused: 0 }
    ");
}
