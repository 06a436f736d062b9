//! Selection policies. All but [`Policy::Expected`] are baselines for comparison.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// How the balancer chooses among the eligible targets.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Lowest cost estimate among a few random candidates.
    #[default]
    Expected,
    /// Fewest outstanding attempts from this daemon; ties are broken at random.
    LeastOutstanding,
    /// Uniformly random.
    Random,
    /// Cycles through the eligible targets.
    RoundRobin,
    /// The one of two random targets whose last report shows fewer running and queued requests.
    TwoChoices,
}

impl Policy {
    /// All policies; the default comes first.
    pub const ALL: [Self; 5] = [
        Self::Expected,
        Self::LeastOutstanding,
        Self::Random,
        Self::RoundRobin,
        Self::TwoChoices,
    ];

    /// The name used in settings and reports, accepted by [`FromStr`].
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
