//! Bursts at a simulated target behind a gate.

#![allow(clippy::unwrap_used, reason = "a panic is how a test fails")]

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornwall_core::admission::{
    Arrival, Effect, Event, Gate, Limits, Priority, RunEnd, WorkId,
};
use hawthornwall_core::prelude::*;

const SLOTS: u32 = 9;
const OBJECTIVE: Duration = Duration::from_millis(500);

/// Service time by the slots taken when a request starts, as a factor of the usual.
#[derive(Clone, Copy)]
enum Speed {
    /// The same at any occupancy.
    Even,
    /// 1.7 times as long with eight or nine slots taken, as for the published targets.
    SlowNearFull,
    /// Like `SlowNearFull` until this time, then like `Even`.
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
    /// End times of the running requests.
    ends: BTreeMap<WorkId, Time>,
    objective_deadline: BTreeMap<WorkId, Time>,
    speed: Speed,
    figures: Figures,
}

#[derive(Debug, Default)]
struct Figures {
    in_time: u32,
    late: u32,
    max_running: usize,
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
            objective_deadline: BTreeMap::new(),
        }
    }

    /// Sends a request every `gap` for `length` from `start` on. Returns the figures of these
    /// requests and of earlier ones that were still running or waiting.
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
        self.objective_deadline.insert(id, now + OBJECTIVE);
        let arrival = Arrival {
            deadline: now + OBJECTIVE * 4,
            id,
            max_wait: Duration::MAX,
            priority: Priority {
                objective: OBJECTIVE,
                rank: 2,
            },
            objective_deadline: Some(now + OBJECTIVE),
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
            if end <= self.objective_deadline[&id] {
                self.figures.in_time += 1;
            } else {
                self.figures.late += 1;
            }
            self.apply(
                &Event::Finish {
                    end: RunEnd::Completed,
                    id,
                },
                end,
            );
        }
    }

    fn apply(&mut self, event: &Event, now: Time) {
        for effect in self.gate.on(event, now) {
            match effect {
                Effect::Start(id) => {
                    let taken = self.ends.len() + 1;
                    let factor = self.speed.factor(taken, now);
                    self.ends.insert(id, now + service_time(id).mul_f64(factor));
                    self.figures.max_running = self.figures.max_running.max(taken);
                }
                Effect::Refuse(..) => self.figures.refused += 1,
                Effect::Abort(_) | Effect::CheckLoad | Effect::Drained => {}
            }
        }
        assert_eq!(self.gate.verify(), Vec::<String>::new());
    }
}

/// Service time between 140 and 260 ms, derived from the id; one in eight requests is answered
/// without work.
fn service_time(id: WorkId) -> Duration {
    let spread = id.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
    if spread.is_multiple_of(8) {
        return Duration::from_millis(1);
    }
    Duration::from_millis(140 + spread % 121)
}

fn second(n: u64) -> Time {
    Time::ZERO + Duration::from_secs(n)
}

/// Two seconds of low load, then a burst of 42 requests per second for four seconds.
fn quiet_then_burst(speed: Speed) -> String {
    let mut target = Target::new(speed);
    let quiet = target.send(second(0), Duration::from_secs(2), Duration::from_millis(60));
    let burst = target.send(second(2), Duration::from_secs(4), Duration::from_millis(24));
    format!("quiet: {quiet:?}\nburst: {burst:?}")
}

/// Guards against using all slots during a burst when the last ones reduce the completion rate.
#[test]
fn a_target_that_slows_down_near_full_keeps_slots_free() {
    insta::assert_snapshot!(quiet_then_burst(Speed::SlowNearFull), @r"
    quiet: Figures { in_time: 28, late: 0, max_running: 5, refused: 0 }
    burst: Figures { in_time: 132, late: 10, max_running: 9, refused: 14 }
    ");
}

/// Guards against leaving slots free at a target that is as fast with all of them.
#[test]
fn a_target_that_does_not_slow_down_uses_all_slots() {
    insta::assert_snapshot!(quiet_then_burst(Speed::Even), @r"
    quiet: Figures { in_time: 28, late: 0, max_running: 5, refused: 0 }
    burst: Figures { in_time: 161, late: 0, max_running: 9, refused: 0 }
    ");
}

/// Guards against slots that stay free for good after a target has stopped slowing down.
#[test]
fn slots_are_used_again_after_a_slowdown() {
    let mut target = Target::new(Speed::SlowUntil(second(6)));
    let gap = Duration::from_millis(24);
    let quiet = target.send(second(0), Duration::from_secs(2), Duration::from_millis(60));
    let slow = target.send(second(2), Duration::from_secs(4), gap);
    let _soon_after = target.send(second(6), Duration::from_secs(12), gap);
    let later = target.send(second(18), Duration::from_secs(4), gap);
    let figures = format!("quiet: {quiet:?}\nslow: {slow:?}\nlater: {later:?}");
    insta::assert_snapshot!(figures, @r"
    quiet: Figures { in_time: 28, late: 0, max_running: 5, refused: 0 }
    slow: Figures { in_time: 132, late: 10, max_running: 9, refused: 14 }
    later: Figures { in_time: 166, late: 0, max_running: 9, refused: 0 }
    ");
}
