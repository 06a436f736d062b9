//! Properties of the balancer under every policy, with random configurations, reports and results.

use std::collections::BTreeSet;
use std::time::Duration;

use hawthornwall_core::prelude::*;
use hawthornwall_core::routing::{Balancer, Membership, Observation, PickRequest, Policy, Ticket};
use proptest::prelude::*;

const TARGETS: u32 = 5;

#[derive(Clone, Debug)]
enum Step {
    Configure(BTreeSet<u32>),
    Evacuate(BTreeSet<String>),
    Member {
        instance: u64,
        leaving: bool,
        target: u32,
    },
    Observe {
        index: usize,
        report: Option<LoadReport>,
        result: AttemptResult,
    },
    Pick(Vec<u32>),
    Pin(u32),
}

fn report() -> impl Strategy<Value = LoadReport> {
    let state = prop::sample::select(vec![
        TargetState::Serving,
        TargetState::Serving,
        TargetState::Draining,
        TargetState::Down,
    ]);
    (0..=100u8, 0..3u64, 0..20u32, 0..9u64, 0..50_000u64, state).prop_map(
        |(failing, instance, running, seq, service, state)| LoadReport {
            failing,
            instance: InstanceId(instance),
            queued: running / 2,
            running,
            seq,
            service: Duration::from_micros(service),
            slowdown: (seq % 2 == 0).then_some(service as u32 % 900),
            slots: running % 7,
            state,
        },
    )
}

fn step() -> impl Strategy<Value = Step> {
    let results = vec![
        AttemptResult::Answered,
        AttemptResult::Lost(Loss::Cancelled),
        AttemptResult::Lost(Loss::Expired),
        AttemptResult::Refused(Refusal::Full),
        AttemptResult::Refused(Refusal::Unreachable),
    ];
    let observe = (
        0..30usize,
        prop::option::of(report()),
        prop::sample::select(results),
    );
    prop_oneof![
        1 => prop::collection::btree_set(0..TARGETS, 0..5).prop_map(Step::Configure),
        1 => prop::collection::btree_set("a{1,3}", 0..3).prop_map(Step::Evacuate),
        1 => (0..3u64, any::<bool>(), 0..TARGETS)
            .prop_map(|(instance, leaving, target)| Step::Member { instance, leaving, target }),
        8 => observe.prop_map(|(index, report, result)| Step::Observe { index, report, result }),
        8 => prop::collection::vec(0..TARGETS, 0..3).prop_map(Step::Pick),
        1 => (0..TARGETS + 2).prop_map(Step::Pin),
    ]
}

fn domain(target: u32) -> String {
    "a".repeat(target as usize % 2 + 1)
}

fn configuration(targets: impl IntoIterator<Item = u32>) -> Configuration {
    let target = |id: u32| Target {
        domain: domain(id),
        name: format!("work{id}"),
        service: ServiceId(0),
        slots: id + 1,
    };
    let targets = targets
        .into_iter()
        .map(|id| (TargetId(id), target(id)))
        .collect();
    Configuration {
        targets,
        ..Configuration::default()
    }
}

fn observe(balancer: &mut Balancer, ticket: Ticket, report: Option<&LoadReport>, now: Time) {
    let observation = Observation {
        elapsed: Duration::from_millis(3),
        held: Duration::from_millis(4),
        leaving: false,
        report,
        result: AttemptResult::Answered,
        ticket,
    };
    balancer.observe(&observation, now);
}

proptest! {
    /// Guards against picks of excluded targets or in evacuated failure domains, and against tickets that stay outstanding after
    /// their attempts have ended.
    #[test]
    fn every_ticket_ends(
        policy in prop::sample::select(Policy::ALL.to_vec()),
        seed: u64,
        steps in prop::collection::vec((0..200_000u64, step()), 1..80),
    ) {
        let mut balancer = Balancer::new("a", policy, seed);
        balancer.configure(&configuration(0..TARGETS));
        let mut tickets = Vec::new();
        let mut leaving = BTreeSet::new();
        let mut present: BTreeSet<_> = (0..TARGETS).collect();
        let mut evacuated = BTreeSet::new();
        let mut now = Time::ZERO;
        for (gap, step) in steps {
            now = now + Duration::from_micros(gap);
            match step {
                Step::Configure(targets) => {
                    balancer.configure(&configuration(targets.iter().copied()));
                    leaving.retain(|t| targets.contains(t));
                    present = targets;
                }
                Step::Evacuate(domains) => {
                    balancer.evacuate(&domains);
                    evacuated = domains;
                }
                Step::Member { instance, leaving: leaves, target } => {
                    let instance = Some(InstanceId(10 + instance)).filter(|_| !leaves);
                    let view = Membership { instance, leaving: leaves, target: TargetId(target) };
                    balancer.update_members(&[view], now);
                    if !leaves {
                        leaving.remove(&target);
                    } else if present.contains(&target) {
                        leaving.insert(target);
                    }
                }
                Step::Observe { index, report, result } => {
                    if let Some(ticket) = tickets.get(index).copied() {
                        let observation = Observation {
                            elapsed: Duration::from_millis(3),
                            held: Duration::ZERO,
                            leaving: false,
                            report: report.as_ref(),
                            result,
                            ticket,
                        };
                        balancer.observe(&observation, now);
                        tickets.remove(index);
                    }
                }
                Step::Pick(tried) => {
                    let tried: Vec<_> = tried.into_iter().map(TargetId).collect();
                    let request = PickRequest {
                        service: ServiceId(0),
                        transfer: Duration::ZERO,
                        tried: &tried,
                    };
                    let picked = balancer.pick(&request, now);
                    let excluded = present.iter().any(|t| evacuated.contains(&domain(*t)));
                    prop_assert!(picked != Err(Refusal::Evacuated) || excluded);
                    if let Ok(choice) = picked {
                        prop_assert!(!evacuated.contains(&domain(choice.target.0)));
                        prop_assert!(!tried.contains(&choice.target));
                        prop_assert!(present.contains(&choice.target.0));
                        prop_assert!(!leaving.contains(&choice.target.0));
                        tickets.push(choice.ticket);
                    }
                }
                Step::Pin(target) => tickets.push(balancer.pin(TargetId(target), now)),
            }
            prop_assert_eq!(balancer.verify(), Vec::<String>::new());
        }
        for ticket in tickets {
            observe(&mut balancer, ticket, None, now);
        }
        let outstanding: usize = (0..TARGETS).map(|t| balancer.outstanding(TargetId(t))).sum();
        prop_assert_eq!(outstanding, 0);
    }
}
