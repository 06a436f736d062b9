//! Tests of the experiment tool's plans.

use std::time::Duration;

use hawthornwall_measure::experiment::{Fault, PlanName, Scenario, Scope, plan_arrivals};
use hawthornwall_testkit::launcher::Deployment;
use insta::assert_snapshot;
use rstest::rstest;

fn scenario(plan: PlanName, deployment: Deployment) -> Scenario {
    let scope = Scope {
        deployment,
        length: Duration::from_secs(10),
        rate: None,
    };
    Scenario::new(plan, &scope)
}

/// Guards against unintended changes of a plan's load or faults, which make results incomparable.
#[rstest]
fn plans(
    #[values(Deployment::Faellesvaerftet, Deployment::Ogun)] deployment: Deployment,
    #[values(
        PlanName::Steady,
        PlanName::Noise,
        PlanName::Step,
        PlanName::SlowTarget,
        PlanName::Overload,
        PlanName::FailFast
    )]
    plan: PlanName,
) {
    let scenario = scenario(plan, deployment);
    let phases = scenario.phases.iter().map(|p| format!("{p:?}\n"));
    let faults = scenario.faults(1);
    let faults = faults.iter().take(6).map(|f: &Fault| format!("{f:?}\n"));
    let text = format!(
        "capacity {} mean {:?} middle {:?} window {:?}\n{}{}",
        scenario.capacity,
        scenario.mean,
        scenario.middle,
        scenario.window,
        phases.collect::<String>(),
        faults.collect::<String>()
    );
    assert_snapshot!(format!("{deployment}_{plan}"), text);
}

/// Guards against a comparison in which variants are run with different arrivals or faults.
#[rstest]
fn a_seed_gives_the_same_arrivals_and_faults() {
    let plan = |seed| {
        let scenario = scenario(PlanName::Noise, Deployment::Ogun);
        let calls = plan_arrivals(&scenario.phases, 12, seed);
        (calls, scenario.faults(seed))
    };
    assert_eq!(plan(3), plan(3));
    assert_ne!(plan(3), plan(4));
}

/// Guards against a peak that isn't ten times the base load or that doesn't begin at once.
#[rstest]
fn a_step_is_tenfold() {
    let scenario = scenario(PlanName::Step, Deployment::Faellesvaerftet);
    let calls = plan_arrivals(&scenario.phases, 11, 1);
    let [from, to] = scenario.middle;
    let rate = |from: Duration, to: Duration| {
        let within = calls.iter().filter(|c| (from..to).contains(&c.at));
        within.count() as f64 / to.saturating_sub(from).as_secs_f64()
    };
    let ratio = rate(from, to) / rate(Duration::ZERO, from);
    assert!((8.5..11.5).contains(&ratio), "ratio {ratio}");
    assert!(rate(from, from + Duration::from_millis(100)) > 1_200.0);
}
