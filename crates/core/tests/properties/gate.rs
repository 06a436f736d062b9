//! Properties of the gate under random events.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornwall_core::admission::{
    Arrival, Effect, Event, Gate, Limits, Priority, RunEnd, WorkId,
};
use hawthornwall_core::prelude::*;
use hawthornwall_core::stop::StopPlan;
use proptest::prelude::*;

fn limits() -> impl Strategy<Value = Limits> {
    (0..200u64, 1..4u32).prop_map(|(ms, slots)| Limits {
        queue_wait: Duration::from_millis(ms),
        slots,
    })
}

fn run_end() -> impl Strategy<Value = RunEnd> {
    prop_oneof![
        Just(RunEnd::Completed),
        Just(RunEnd::Failed),
        Just(RunEnd::NotRun)
    ]
}

/// Events for work ids below 60; an arrival's id is replaced by the next unused one.
fn event() -> impl Strategy<Value = Event> {
    let id = || (0..60u64).prop_map(WorkId);
    let arrival = (0..300u64, 0..300u64).prop_map(|(deadline, max_wait)| {
        Event::Arrive(Arrival {
            deadline: Time::from_micros(deadline * 1000),
            id: WorkId(0),
            max_wait: Duration::from_millis(max_wait),
            priority: Priority {
                objective: Duration::from_millis(max_wait % 3),
                rank: (deadline % 3) as u8,
            },
            objective_deadline: (max_wait % 2 == 0).then(|| Time::from_micros(max_wait * 1000)),
        })
    });
    prop_oneof![
        20 => arrival,
        1 => id().prop_map(Event::Abandon),
        2 => id().prop_map(Event::Cancel),
        1 => limits().prop_map(Event::Configure),
        4 => (run_end(), id()).prop_map(|(end, id)| Event::Finish { end, id }),
        2 => prop::option::of((50..900u32, 0..4u32)).prop_map(|load| {
            Event::LoadAnswer(load.map(|(slowdown, running)| TargetLoad {
                running,
                slowdown,
                ..TargetLoad::default()
            }))
        }),
        1 => any::<bool>().prop_map(Event::Evacuate),
        1 => any::<bool>().prop_map(Event::Reachable),
        1 => any::<bool>().prop_map(Event::TargetDrains),
        1 => Just(Event::TargetLeaves),
        2 => Just(Event::TargetReplaced),
        1 => Just(Event::Tick),
        1 => Just(Event::Drain),
        1 => (0..500u64).prop_map(|grace| {
            let grace = Duration::from_millis(grace);
            Event::Stop(StopPlan::new(Time::ZERO, grace, grace))
        }),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Waiting,
    Running,
    Ended,
}

/// The stage and deadline of each request, tracked from the effects that the gate returns.
#[derive(Default)]
struct Owner {
    deadlines: BTreeMap<WorkId, Time>,
    /// Plan of the last stop, if there was one.
    stop: Option<StopPlan>,
    stages: BTreeMap<WorkId, Stage>,
}

impl Owner {
    fn prepare(&mut self, event: Event, now: Time) -> Event {
        match event {
            Event::Arrive(arrival) => {
                let id = WorkId(self.stages.len() as u64);
                let deadline = now + (arrival.deadline - Time::ZERO);
                self.stages.insert(id, Stage::Waiting);
                self.deadlines.insert(id, deadline);
                Event::Arrive(Arrival {
                    deadline,
                    id,
                    ..arrival
                })
            }
            Event::Finish { id, .. } => {
                if self.stages.get(&id) == Some(&Stage::Running) {
                    self.stages.insert(id, Stage::Ended);
                }
                event
            }
            Event::Stop(plan) => {
                self.stop = Some(plan);
                event
            }
            Event::Abandon(_)
            | Event::Cancel(_)
            | Event::Configure(_)
            | Event::Drain
            | Event::Evacuate(_)
            | Event::LoadAnswer(_)
            | Event::Reachable(_)
            | Event::TargetDrains(_)
            | Event::TargetLeaves
            | Event::TargetReplaced
            | Event::Tick => event,
        }
    }

    fn apply(&mut self, effects: &[Effect], now: Time) {
        for effect in effects {
            let (id, before, after) = match *effect {
                Effect::Abort(id) => (id, Stage::Running, Stage::Running),
                Effect::CheckLoad => continue,
                Effect::Drained => {
                    assert!(
                        self.stages.values().all(|s| *s == Stage::Ended),
                        "drained too early"
                    );
                    continue;
                }
                Effect::Refuse(id, _) => (id, Stage::Waiting, Stage::Ended),
                Effect::Start(id) => {
                    let deadline = self.deadlines[&id];
                    assert!(now < deadline, "{id} started past its deadline");
                    let end = self.stop.map_or(deadline, |plan| plan.answer_by());
                    assert!(now < end || deadline <= end, "{id} outlasts the daemon");
                    (id, Stage::Waiting, Stage::Running)
                }
            };
            assert_eq!(self.stages.insert(id, after), Some(before), "{effect:?}");
        }
    }
}

fn gate(limits: Limits, checks: bool) -> Gate {
    let mut gate = Gate::new(InstanceId(1), limits);
    if checks {
        gate.enable_load_checks();
    }
    gate
}

proptest! {
    /// Guards against requests that are refused after their start, end twice or never end.
    #[test]
    fn each_arrival_ends_once(
        checks in any::<bool>(),
        limits in limits(),
        events in prop::collection::vec((0..3_000u64, event()), 1..100),
    ) {
        let mut gate = gate(limits, checks);
        let mut owner = Owner::default();
        let mut now = Time::ZERO;
        for (elapsed, event) in events {
            now = now + Duration::from_micros(elapsed);
            let event = owner.prepare(event, now);
            owner.apply(&gate.on(&event, now), now);
            prop_assert_eq!(gate.verify(), Vec::<String>::new());
        }
        owner.apply(&gate.on(&Event::Drain, now), now);
        // The target states that it holds nothing which the gate doesn't know of.
        let load = TargetLoad { slowdown: 100, ..TargetLoad::default() };
        // Each request that ends may start another one with any id.
        for _ in 0..owner.stages.len() {
            owner.apply(&gate.on(&Event::LoadAnswer(Some(load)), now), now);
            let running = owner.stages.iter().find(|(_, s)| **s == Stage::Running);
            let Some(id) = running.map(|(id, _)| *id) else {
                break;
            };
            let event = owner.prepare(Event::Finish { end: RunEnd::Completed, id }, now);
            owner.apply(&gate.on(&event, now), now);
        }
        prop_assert!(owner.stages.values().all(|s| *s == Stage::Ended), "{:?}", owner.stages);
        owner.apply(&gate.on(&Event::LoadAnswer(Some(load)), now), now);
        let report = gate.report(now);
        prop_assert_eq!((report.running, report.queued), (0, 0));
    }

    /// Guards against requests that are sent to a target after it has reported that it drains.
    #[test]
    fn draining_target_gets_no_request(
        checks in any::<bool>(),
        limits in limits(),
        events in prop::collection::vec((0..3_000u64, event()), 1..100),
    ) {
        let mut gate = gate(limits, checks);
        let mut owner = Owner::default();
        let (mut now, mut drains) = (Time::ZERO, false);
        for (elapsed, event) in events {
            now = now + Duration::from_micros(elapsed);
            let event = owner.prepare(event, now);
            if let Event::TargetDrains(reported) = event {
                drains = reported;
            }
            let effects = gate.on(&event, now);
            let starts = effects.iter().any(|e| matches!(e, Effect::Start(_)));
            prop_assert!(!(drains && starts), "{:?} after {:?}", effects, event);
        }
    }

    /// Guards against requests that start in an evacuated failure domain, and against those that wait for its end.
    #[test]
    fn evacuated_domain_gets_no_request(
        checks in any::<bool>(),
        limits in limits(),
        events in prop::collection::vec((0..3_000u64, event()), 1..100),
    ) {
        let mut gate = gate(limits, checks);
        let mut owner = Owner::default();
        let (mut now, mut evacuated) = (Time::ZERO, false);
        for (elapsed, event) in events {
            now = now + Duration::from_micros(elapsed);
            let event = owner.prepare(event, now);
            if let Event::Evacuate(begins) = event {
                evacuated = begins;
            }
            let effects = gate.on(&event, now);
            let starts = effects.iter().any(|e| matches!(e, Effect::Start(_)));
            prop_assert!(!(evacuated && starts), "{:?} after {:?}", effects, event);
            prop_assert!(!evacuated || gate.waiting() == 0);
        }
    }
}
