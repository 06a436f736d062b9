//! The ways to choose a target. All but [`Policy::Expected`] are baselines for comparison.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// How the balancer chooses among the eligible targets.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Lowest expected time to an answer among random candidates.
    #[default]
    Expected,
    /// Fewest requests outstanding from this daemon.
    LeastOutstanding,
    /// Any, with equal probability.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The less loaded of two random targets, by their last reports.
    TwoChoices,
}

impl Policy {
    /// All policies, the product's own first.
    pub const ALL: [Self; 5] = [
        Self::Expected,
        Self::LeastOutstanding,
        Self::Random,
        Self::RoundRobin,
        Self::TwoChoices,
    ];

    /// The name in settings and reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Expected => "expected",
            Self::LeastOutstanding => "least-outstanding",
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::TwoChoices => "two-choices",
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|p| p.name() == text);
        found.ok_or_else(|| {
            let names = Self::ALL.map(Self::name).join(", ");
            format!("`{text}` is not one of {names}")
        })
    }
}
