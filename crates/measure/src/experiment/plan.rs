//! The named plans.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde_json::{Value, json};

use super::arrivals::Phase;
use super::faults::{Action, Fault};
use hawthornwall_testkit::launcher::Deployment;

/// Load before the measured part, in which connections are opened and averages form.
const WARM: Duration = Duration::from_secs(1);
/// Rate at which the service under test is full, unless the plan is `overload`. Mean service times
/// follow from it; it keeps the load of all plans within what one machine bears.
const FULL_RATE: f64 = 2_000.0;
/// The same for `overload`, whose peak is twice this.
const FULL_RATE_OVERLOAD: f64 = 1_000.0;
/// Standard deviation of the logarithm of service times.
const SPREAD: f64 = 0.6;
/// Calls a second for the second service of `overload`.
const SECOND_RATE: f64 = 100.0;

/// A plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlanName {
    /// One target answers 500 at once for the middle half.
    FailFast,
    /// Random stalls of several targets.
    Noise,
    /// Twice the capacity for the middle part, another service beside it.
    Overload,
    /// One target is ten times slower for the middle half.
    SlowTarget,
    /// Constant load.
    Steady,
    /// Ten times the load for the middle part.
    Step,
}

impl PlanName {
    /// All plans.
    pub const ALL: [Self; 6] = [
        Self::Steady,
        Self::Noise,
        Self::Step,
        Self::SlowTarget,
        Self::Overload,
        Self::FailFast,
    ];

    /// The name on command lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::FailFast => "fail-fast",
            Self::Noise => "noise",
            Self::Overload => "overload",
            Self::SlowTarget => "slow-target",
            Self::Steady => "steady",
            Self::Step => "step",
        }
    }

    /// What it does, in one line.
    pub const fn summary(self) -> &'static str {
        match self {
            Self::FailFast => "55% load; one target answers 500 at once for the middle half",
            Self::Noise => {
                "55% load; random stalls of 30 to 300 ms of more than half of the targets"
            }
            Self::Overload => {
                "60% load, 200% for the middle 40%; a second service keeps its own load"
            }
            Self::SlowTarget => "50% load; one target is 10 times slower for the middle half",
            Self::Steady => "55% load",
            Self::Step => "8.75% load, 87.5% at once for the middle 40%",
        }
    }
}

impl fmt::Display for PlanName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for PlanName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|p| p.name() == text);
        found.ok_or_else(|| {
            let names = Self::ALL.map(Self::name).join(", ");
            format!("`{text}` is not one of {names}")
        })
    }
}

/// What a plan is applied to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scope {
    /// The deployment.
    pub deployment: Deployment,
    /// Load of the service under test outside of peaks, in calls a second; the plan's own if absent.
    pub rate: Option<f64>,
    /// Length of the measured part.
    pub length: Duration,
}

/// A plan applied to a deployment. The first service of the deployment is under test.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Rate at which the service under test is full, in calls a second.
    pub capacity: f64,
    /// Faults, with the seed of random ones still to be applied by [`Scenario::faults`].
    noisy: usize,
    timed: Vec<Fault>,
    /// Mean service time.
    pub mean: Duration,
    /// Start and end of the middle part, from the start of the load.
    pub middle: [Duration; 2],
    /// Load.
    pub phases: Vec<Phase>,
    /// Start and end of the measured part, from the start of the load.
    pub window: [Duration; 2],
}

impl Scenario {
    /// Applies a plan.
    pub fn new(plan: PlanName, scope: &Scope) -> Self {
        let deployed = scope.deployment.plan();
        let targets = deployed.services[0].targets.len();
        let capacity = match plan {
            PlanName::Overload => FULL_RATE_OVERLOAD,
            PlanName::FailFast
            | PlanName::Noise
            | PlanName::SlowTarget
            | PlanName::Steady
            | PlanName::Step => FULL_RATE,
        };
        let (base, peak, share) = match plan {
            PlanName::FailFast | PlanName::Noise | PlanName::Steady => (0.55, 0.55, 0.5),
            PlanName::SlowTarget => (0.5, 0.5, 0.5),
            PlanName::Overload => (0.6, 2.0, 0.4),
            PlanName::Step => (0.087_5, 0.875, 0.4),
        };
        let scale = scope.rate.map_or(1.0, |rate| rate / (base * capacity));
        let end = WARM + scope.length;
        let side = scope.length.mul_f64((1.0 - share) / 2.0);
        let middle = [WARM + side, end.saturating_sub(side)];
        let timed = match plan {
            PlanName::FailFast => {
                Fault::span(0, middle, [Action::FailFast(true), Action::FailFast(false)])
            }
            PlanName::SlowTarget => Fault::span(0, middle, [Action::Slow(10.0), Action::Slow(1.0)]),
            PlanName::Noise | PlanName::Overload | PlanName::Steady | PlanName::Step => Vec::new(),
        };
        let rates = [base, peak].map(|share| share * capacity * scale);
        let mut phases = main_phases(rates, middle, end);
        if plan == PlanName::Overload {
            phases.push(phase(1, SECOND_RATE, Duration::ZERO, end));
        }
        Self {
            capacity,
            noisy: if plan == PlanName::Noise {
                targets.div_ceil(2)
            } else {
                0
            },
            timed,
            mean: Duration::from_secs_f64(targets as f64 * f64::from(deployed.slots) / capacity),
            middle,
            phases,
            window: [WARM, end],
        }
    }

    /// The faults of one seed, in the order of their times.
    pub fn faults(&self, seed: u64) -> Vec<Fault> {
        let mut faults = self.timed.clone();
        faults.extend(Fault::stalls(self.noisy, self.window, seed));
        faults.sort_by_key(|fault| fault.at);
        faults
    }

    /// Behaviour of the targets that differs from the fake's defaults.
    pub fn behaviour(&self) -> Value {
        json!({
            "mean_us": self.mean.as_micros() as u64,
            "spread": { "lognormal": SPREAD },
        })
    }
}

fn main_phases([base, peak]: [f64; 2], [from, to]: [Duration; 2], end: Duration) -> Vec<Phase> {
    vec![
        phase(0, base, Duration::ZERO, from),
        phase(0, peak, from, to),
        phase(0, base, to, end),
    ]
}

const fn phase(service: usize, rate: f64, start: Duration, end: Duration) -> Phase {
    Phase {
        end,
        rate,
        service,
        start,
    }
}
