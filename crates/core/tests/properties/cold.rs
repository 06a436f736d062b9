//! Property of the limit on requests to a cold target, with a simulated target and a daemon that may be paused and
//! restarted.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use hawthornwall_core::admission::{
    Arrival, Effect, Event, Gate, Limits, Priority, RunEnd, WorkId,
};
use hawthornwall_core::catalog::ServiceLimits;
use hawthornwall_core::prelude::*;
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Times of the simulation are in microseconds.
const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
const SLOTS: u32 = 18;
/// Time for which the target is cold after a start, as configured.
const COLD: u64 = 3 * SECOND;
/// Longest time until a started request or check is written, and until it is then received.
const MAX_WRITE: u64 = 2 * MS;
const MAX_RECEIPT: u64 = 2 * MS;
/// Load checks that the platform allows in a second.
const MAX_CHECKS: usize = 60;

/// What happens at the start of a phase.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Load checks fail from now on, or no longer.
    Checks {
        fail: bool,
    },
    /// An entry of the store, which may be wrong, is read.
    Entry {
        remaining: u64,
    },
    Nothing,
    /// The daemon is paused.
    Pause {
        length: u64,
    },
    /// The daemon ends; another one starts after `gap` and reads the configuration after `unread`. Only the first
    /// restart counts.
    RestartGate {
        gap: u64,
        unread: u64,
    },
    /// The target restarts, which nothing but its answers to load checks shows.
    RestartTarget,
    /// The target turns cold without a restart.
    TurnCold {
        length: u64,
    },
}

/// A step, then arrivals for some time.
#[derive(Clone, Copy, Debug)]
struct Phase {
    length: u64,
    per_second: u64,
    step: Step,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => any::<bool>().prop_map(|fail| Step::Checks { fail }),
        2 => (0..4_000 * MS).prop_map(|remaining| Step::Entry { remaining }),
        2 => Just(Step::Nothing),
        4 => (MS..2_000 * MS).prop_map(|length| Step::Pause { length }),
        2 => (0..300 * MS, 0..2_000 * MS).prop_map(|(gap, unread)| Step::RestartGate { gap, unread }),
        1 => Just(Step::RestartTarget),
        6 => (1_000 * MS..3_000 * MS).prop_map(|length| Step::TurnCold { length }),
    ]
}

fn phase() -> impl Strategy<Value = Phase> {
    let length = prop_oneof![MS..30 * MS, 30 * MS..1_200 * MS];
    let per_second = prop_oneof![1..50u64, 50..1_500u64];
    (length, per_second, step()).prop_map(|(length, per_second, step)| Phase {
        length,
        per_second,
        step,
    })
}

/// A target that turns cold under many requests, `after` that time and then `step`.
fn cold_then(after: u64, step: Step, cold: u64, per_second: u64) -> Vec<Phase> {
    let phase = |step, length| Phase {
        length,
        per_second,
        step,
    };
    let turn_cold = Step::TurnCold { length: cold };
    vec![
        phase(Step::Nothing, 1_100 * MS),
        phase(turn_cold, after),
        phase(step, 1_100 * MS),
    ]
}

/// Random phases, or sequences in which one fault closely follows another.
fn phases() -> impl Strategy<Value = Vec<Phase>> {
    let busy = || 600..1_500u64;
    prop_oneof![
        prop::collection::vec(phase(), 1..6),
        // The daemon restarts when it has just sent what the target bears.
        (0..400 * MS, 0..40 * MS, 0..100 * MS, busy()).prop_map(
            |(after, gap, unread, per_second)| {
                let restart = Step::RestartGate { gap, unread };
                cold_then(after, restart, 3 * SECOND, per_second)
            }
        ),
        // The target turns cold again when it has just been found warm.
        (0..80 * MS, busy()).prop_map(|(after, per_second)| {
            let again = Step::TurnCold { length: SECOND };
            cold_then(SECOND + after, again, SECOND, per_second)
        }),
        // The target turns cold when the daemon resumes after a pause.
        (0..200 * MS, MS..300 * MS, 0..8 * MS, busy()).prop_map(
            |(warm, length, after, per_second)| {
                let phase = |step, length| Phase {
                    length,
                    per_second,
                    step,
                };
                vec![
                    phase(Step::Nothing, 1_100 * MS + warm),
                    phase(Step::Pause { length }, length + after),
                    phase(Step::TurnCold { length: SECOND }, SECOND),
                ]
            }
        ),
    ]
}

/// What is due at a time. The first five are done by the daemon, in the order that its pauses leave.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Due {
    Answer {
        run: u32,
        /// The stated remaining time; `None` if the load check failed.
        remaining: Option<u64>,
        /// Whether a target that is warm leaves the statement out.
        silent: bool,
    },
    Arrive,
    Configure {
        run: u32,
    },
    Finish {
        run: u32,
        id: u64,
    },
    Tick,
    Write {
        run: u32,
        id: u64,
    },
    WriteCheck {
        run: u32,
    },
    Receive {
        run: u32,
        id: u64,
    },
    ReceiveCheck {
        run: u32,
    },
}

impl Due {
    /// Whether the daemon has to run for it.
    fn needs_daemon(self) -> bool {
        match self {
            Self::Answer { .. }
            | Self::Arrive
            | Self::Configure { .. }
            | Self::Finish { .. }
            | Self::Tick
            | Self::Write { .. }
            | Self::WriteCheck { .. } => true,
            Self::Receive { .. } | Self::ReceiveCheck { .. } => false,
        }
    }
}

struct World {
    checks: Vec<u64>,
    checks_fail: bool,
    cold_until: u64,
    due: BinaryHeap<Reverse<(u64, u64, Due)>>,
    gate: Gate,
    /// When the daemon was started; its clock begins then.
    gate_start: u64,
    interval: Duration,
    last_tick: u64,
    next: u64,
    now: u64,
    paused_until: u64,
    /// When the cold target received requests.
    received: Vec<u64>,
    restarted: bool,
    rng: Pcg64Mcg,
    /// Number of the daemon's run; what an earlier run had to do is dropped.
    run: u32,
    service: u64,
    /// Starts while the gate knew the target to be cold.
    cold_starts: Vec<u64>,
}

impl World {
    fn new(interval: Duration, service: u64, seed: u64) -> Self {
        let mut world = Self {
            checks: Vec::new(),
            checks_fail: false,
            cold_until: 0,
            due: BinaryHeap::new(),
            gate: gate(),
            gate_start: 0,
            interval,
            last_tick: 0,
            next: 0,
            now: 0,
            paused_until: 0,
            received: Vec::new(),
            restarted: false,
            rng: Pcg64Mcg::seed_from_u64(seed),
            run: 0,
            service,
            cold_starts: Vec::new(),
        };
        world.push(0, Due::Configure { run: 0 });
        world.push(5 * MS, Due::Tick);
        world
    }

    fn push(&mut self, after: u64, due: Due) {
        self.next += 1;
        self.due.push(Reverse((self.now + after, self.next, due)));
    }

    fn clock(&self) -> Time {
        Time::from_micros(self.now - self.gate_start)
    }

    fn play(&mut self, phase: Phase) {
        self.step(phase.step);
        let end = self.now + phase.length;
        let interval = SECOND / phase.per_second;
        let first = self.rng.random_range(0..interval);
        for at in (first..phase.length).step_by(interval as usize) {
            self.push(at, Due::Arrive);
        }
        self.run_until(end);
    }

    fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, _, _))) = self.due.peek()
            && *at <= end
        {
            let Some(Reverse((at, _, due))) = self.due.pop() else {
                return;
            };
            self.now = self.now.max(at);
            if due.needs_daemon() && self.now < self.paused_until {
                let jitter = self.rng.random_range(0..MS);
                self.push(self.paused_until - self.now + jitter, due);
                continue;
            }
            self.perform(due);
        }
        self.now = end;
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Checks { fail } => self.checks_fail = fail,
            Step::Entry { remaining } => {
                if self.now >= self.paused_until {
                    let until = self.clock() + Duration::from_micros(remaining);
                    self.gate.observe_cold_entry(until, self.clock());
                }
            }
            Step::Nothing => {}
            Step::Pause { length } => self.paused_until = self.paused_until.max(self.now + length),
            Step::RestartGate { gap, unread } => {
                if std::mem::replace(&mut self.restarted, true) {
                    return;
                }
                self.run += 1;
                (self.gate, self.gate_start) = (gate(), self.now + gap);
                self.paused_until = self.gate_start;
                self.push(gap + unread, Due::Configure { run: self.run });
            }
            Step::RestartTarget => self.cold_until = self.now + COLD,
            Step::TurnCold { length } => self.cold_until = self.cold_until.max(self.now + length),
        }
    }

    fn perform(&mut self, due: Due) {
        match due {
            Due::Answer {
                run,
                remaining,
                silent,
            } if run == self.run => {
                if let Some(remaining) = remaining {
                    let stated = (remaining > 0 || !silent).then_some(remaining);
                    self.gate
                        .observe_cold(stated.map(Duration::from_micros), self.clock());
                }
                let load = TargetLoad {
                    slowdown: 100,
                    ..TargetLoad::default()
                };
                self.apply(&Event::LoadAnswer(remaining.map(|_| load)));
            }
            Due::Arrive => self.arrive(),
            Due::Configure { run } if run == self.run => {
                let limits = ServiceLimits {
                    cold: Duration::from_micros(COLD),
                    cold_interval: self.interval,
                };
                self.gate.limit_cold(Some(limits), self.clock());
                self.apply(&Event::Configure(slots()));
            }
            Due::Finish { run, id } if run == self.run => self.apply(&Event::Finish {
                end: RunEnd::Completed,
                id: WorkId(id),
            }),
            Due::Write { run, id } if run == self.run => {
                let delay = self.rng.random_range(0..MAX_RECEIPT);
                self.push(delay, Due::Receive { run, id });
            }
            Due::WriteCheck { run } if run == self.run => {
                self.checks.push(self.now);
                let delay = self.rng.random_range(0..MAX_RECEIPT);
                self.push(delay, Due::ReceiveCheck { run });
            }
            Due::Answer { .. }
            | Due::Configure { .. }
            | Due::Finish { .. }
            | Due::Write { .. }
            | Due::WriteCheck { .. } => {}
            Due::Receive { run, id } => {
                if self.now < self.cold_until {
                    self.received.push(self.now);
                }
                let service = self.rng.random_range(self.service / 2..self.service * 2);
                self.push(service, Due::Finish { run, id });
            }
            Due::ReceiveCheck { run } => self.answer(run),
            Due::Tick => self.tick(),
        }
    }

    /// The time for which the target states to be cold may be wrong, but not whether it is.
    fn answer(&mut self, run: u32) {
        let left = self.cold_until.saturating_sub(self.now);
        let stated = (left * self.rng.random_range(1..200) / 100).max(left.min(MS));
        let fails = self.checks_fail || self.rng.random_ratio(1, 20);
        let delay = if fails {
            20 * MS
        } else {
            self.rng.random_range(0..8 * MS)
        };
        let remaining = (!fails).then_some(stated);
        let silent = self.rng.random();
        let answer = Due::Answer {
            run,
            remaining,
            silent,
        };
        self.push(delay, answer);
    }

    fn arrive(&mut self) {
        self.next += 1;
        let max_wait = Duration::from_millis(self.rng.random_range(0..300));
        let arrival = Arrival {
            deadline: self.clock() + Duration::from_secs(2),
            id: WorkId(self.next),
            max_wait,
            priority: Priority {
                objective: Duration::from_millis(500),
                rank: self.rng.random_range(0..3),
            },
            objective_deadline: None,
        };
        self.apply(&Event::Arrive(arrival));
    }

    fn tick(&mut self) {
        if self.gate.waiting() > 0 || self.now - self.last_tick >= 200 * MS {
            self.last_tick = self.now;
            self.apply(&Event::Tick);
        }
        self.push(5 * MS, Due::Tick);
    }

    fn apply(&mut self, event: &Event) {
        let run = self.run;
        for effect in self.gate.on(event, self.clock()) {
            let delay = self.rng.random_range(0..MAX_WRITE);
            match effect {
                Effect::CheckLoad => self.push(delay, Due::WriteCheck { run }),
                Effect::Start(WorkId(id)) => {
                    if self.gate.is_cold() {
                        self.cold_starts.push(self.now);
                    }
                    self.push(delay, Due::Write { run, id });
                }
                Effect::Abort(_) | Effect::Drained | Effect::Refuse(..) => {}
            }
        }
        assert_eq!(self.gate.verify(), Vec::<String>::new());
    }
}

fn slots() -> Limits {
    Limits {
        queue_wait: Duration::from_millis(250),
        slots: SLOTS,
    }
}

fn gate() -> Gate {
    let mut gate = Gate::new(InstanceId(1), slots());
    gate.enable_load_checks();
    gate.expect_cold_limit();
    gate
}

/// The most times within any second.
fn most_in_a_second(times: &[u64]) -> usize {
    let counts = times.iter().map(|from| {
        let second = *from..*from + SECOND;
        times.iter().filter(|t| second.contains(t)).count()
    });
    counts.max().unwrap_or_default()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    /// Guards against more requests at a cold target than it bears: while the gate doesn't know that it has
    /// turned cold, after a pause of the daemon, and by a restarted daemon together with its predecessor. Guards
    /// also against more load checks than the platform allows.
    #[test]
    fn cold_target_gets_no_more_than_it_bears(
        rate in prop_oneof![Just(14.0), 0.3..40.0f64],
        service in prop_oneof![2 * MS..8 * MS, 8 * MS..60 * MS, 60 * MS..600 * MS],
        seed in any::<u64>(),
        phases in prop::collection::vec(phases(), 1..6),
    ) {
        let interval = Duration::from_secs_f64(1.0 / rate);
        let mut world = World::new(interval, service, seed);
        for phase in phases.into_iter().flatten() {
            world.play(phase);
        }
        let allowed = 1.5 * rate + 8.0;
        let most = most_in_a_second(&world.received);
        prop_assert!(most as f64 <= allowed, "{most} in a second, {allowed} allowed");
        // The interval may be a microsecond too long, and a gate that hasn't read the configuration starts three.
        let rate = 1.0 / (1.0 / rate - 1e-6);
        let allowed = if world.restarted { allowed } else { rate.max(3.0) };
        let most = most_in_a_second(&world.cold_starts);
        prop_assert!(most as f64 <= allowed, "{most} started in a second, {allowed} allowed");
        let checks = most_in_a_second(&world.checks);
        prop_assert!(checks <= MAX_CHECKS, "{checks} load checks in a second");
    }
}
