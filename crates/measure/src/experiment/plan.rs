//! Named plans of load and faults.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde_json::{Value, json};

use super::arrivals::Phase;
use super::faults::{Action, Fault};
use hawthornwall_testkit::launcher::Deployment;

/// Length of the load before the measured period, in which connections are opened and moving
/// averages settle.
const WARM_UP: Duration = Duration::from_secs(1);
/// Rate in calls per second that saturates the service under test, for all plans but `overload`.
/// Mean service times are derived from it. It limits the load of every plan to what one machine can
/// sustain.
const CAPACITY: f64 = 2_000.0;
/// Capacity for `overload`, whose peak is twice this rate.
const OVERLOAD_CAPACITY: f64 = 1_000.0;
/// Standard deviation of the logarithm of service times.
const SERVICE_TIME_SIGMA: f64 = 0.6;
/// Rate of the second service of `overload`, in calls per second.
const SECOND_RATE: f64 = 100.0;

/// Names of the plans.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlanName {
    /// One target answers with status 500 at once during the middle half.
    FailFast,
    /// Random stalls of several targets.
    Noise,
    /// Twice the capacity during the middle period, while another service has a constant load.
    Overload,
    /// One target is ten times slower during the middle half.
    SlowTarget,
    /// Constant load without faults.
    Steady,
    /// Ten times the load during the middle period.
    Step,
}

impl PlanName {
    /// All plans, in the order in which they are listed.
    pub const ALL: [Self; 6] = [
        Self::Steady,
        Self::Noise,
        Self::Step,
        Self::SlowTarget,
        Self::Overload,
        Self::FailFast,
    ];

    /// Name on the command line and in reports.
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

    /// Description in one line, for `--list` and plot titles.
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

/// Deployment, load and duration that a plan is applied to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scope {
    /// Deployment whose first service is under test.
    pub deployment: Deployment,
    /// Load of the service under test outside peaks, in calls per second; the plan's default if
    /// absent.
    pub rate: Option<f64>,
    /// Length of the measured period.
    pub length: Duration,
}

/// A plan applied to a deployment. The first service of the deployment is under test.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Rate that saturates the service under test, in calls per second.
    pub capacity: f64,
    /// Number of targets with random stalls, which [`Scenario::faults`] draws from a seed.
    stalled_targets: usize,
    timed_faults: Vec<Fault>,
    /// Mean service time of the targets.
    pub mean: Duration,
    /// Start and end of the middle period, from the start of the load.
    pub middle: [Duration; 2],
    /// Arrival rates of all services.
    pub phases: Vec<Phase>,
    /// Start and end of the measured period, from the start of the load.
    pub window: [Duration; 2],
}

impl Scenario {
    /// Applies a plan to the deployment of `scope`.
    pub fn new(plan: PlanName, scope: &Scope) -> Self {
        let deployed = scope.deployment.plan();
        let targets = deployed.services[0].targets.len();
        let capacity = match plan {
            PlanName::Overload => OVERLOAD_CAPACITY,
            PlanName::FailFast
            | PlanName::Noise
            | PlanName::SlowTarget
            | PlanName::Steady
            | PlanName::Step => CAPACITY,
        };
        let (base, peak, share) = match plan {
            PlanName::FailFast | PlanName::Noise | PlanName::Steady => (0.55, 0.55, 0.5),
            PlanName::SlowTarget => (0.5, 0.5, 0.5),
            PlanName::Overload => (0.6, 2.0, 0.4),
            PlanName::Step => (0.087_5, 0.875, 0.4),
        };
        let scale = scope.rate.map_or(1.0, |rate| rate / (base * capacity));
        let end = WARM_UP + scope.length;
        let side = scope.length.mul_f64((1.0 - share) / 2.0);
        let middle = [WARM_UP + side, end.saturating_sub(side)];
        let timed_faults = match plan {
            PlanName::FailFast => {
                Fault::interval(0, middle, [Action::FailFast(true), Action::FailFast(false)])
            }
            PlanName::SlowTarget => {
                Fault::interval(0, middle, [Action::Slow(10.0), Action::Slow(1.0)])
            }
            PlanName::Noise | PlanName::Overload | PlanName::Steady | PlanName::Step => Vec::new(),
        };
        let rates = [base, peak].map(|share| share * capacity * scale);
        let mut phases = main_phases(rates, middle, end);
        if plan == PlanName::Overload {
            phases.push(phase(1, SECOND_RATE, Duration::ZERO, end));
        }
        Self {
            capacity,
            stalled_targets: if plan == PlanName::Noise {
                targets.div_ceil(2)
            } else {
                0
            },
            timed_faults,
            mean: Duration::from_secs_f64(targets as f64 * f64::from(deployed.slots) / capacity),
            middle,
            phases,
            window: [WARM_UP, end],
        }
    }

    /// Returns all faults in order of time, with the random ones drawn from `seed`.
    pub fn faults(&self, seed: u64) -> Vec<Fault> {
        let mut faults = self.timed_faults.clone();
        faults.extend(Fault::stalls(self.stalled_targets, self.window, seed));
        faults.sort_by_key(|fault| fault.at);
        faults
    }

    /// Settings of the fake targets that differ from the defaults.
    pub fn behaviour(&self) -> Value {
        json!({
            "mean_us": self.mean.as_micros() as u64,
            "spread": { "lognormal": SERVICE_TIME_SIGMA },
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
