//! Behaviour of a target, set on its command line and by `POST /control`.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Distribution of the service time around its mean.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Spread {
    /// Exponential distribution.
    Exponential,
    /// Every service time equals the mean.
    Fixed,
    /// Lognormal distribution with this standard deviation of the logarithm.
    Lognormal(f64),
}

/// State that a target reports. It has no effect on which requests the target runs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The target asks for no new requests.
    Draining,
    /// The target accepts new requests.
    #[default]
    Serving,
}

/// Body of the answers to `/health` and `/load`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// State that the target reports.
    pub state: State,
    /// Number of requests that hold a slot.
    pub running: u32,
    /// Number of requests in the queue.
    pub queued: u32,
    /// Maximum number of requests that run at once.
    pub slots: u32,
}

/// Load that `/health` and `/load` report.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// The current load.
    #[default]
    Honest,
    /// The load as it was this many milliseconds ago.
    LagMs(u64),
    /// This load, whatever the current one is.
    Lie(Load),
}

/// Random stalls of the whole process.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pauses {
    /// Mean of the exponentially distributed time from the end of one stall to the next.
    pub every_ms: f64,
    /// Mean of the exponentially distributed length of a stall.
    pub length_ms: f64,
}

/// Settings that can be changed while the target runs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Delay before the first request of a new connection is read.
    pub accept_us: u64,
    /// Factor on service times during the cold period.
    pub cold_factor: f64,
    /// Length of the cold period, which begins at the start of the target.
    pub cold_ms: u64,
    /// Answer every request with status 500 at once.
    pub fail_fast: bool,
    /// Mean service time before `cold_factor` and `slow_factor` are applied.
    pub mean_us: u64,
    /// Random stalls; `None` for no stalls.
    pub pauses: Option<Pauses>,
    /// Time until `/health` and `/load` answer.
    pub probe_us: u64,
    /// Maximum queue length; requests beyond it are shed.
    pub queue: usize,
    /// Load that `/health` and `/load` report.
    pub report: Report,
    /// Percentage of requests that are shed even if a slot or queue place is free.
    pub shed_percent: u32,
    /// Accept requests without ever answering them. Running requests keep their slots.
    pub silent: bool,
    /// Maximum number of requests that run at once.
    pub slots: usize,
    /// Factor on all service times.
    pub slow_factor: f64,
    /// Distribution of the service time around `mean_us`.
    pub spread: Spread,
    /// State that the target reports. A draining target still runs the requests that it receives,
    /// so that the history shows requests sent to it by mistake.
    pub state: State,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            // Cost of a new connection in the requirements.
            accept_us: 1_000,
            cold_factor: 1.0,
            cold_ms: 0,
            fail_fast: false,
            mean_us: 5_000,
            pauses: None,
            probe_us: 200,
            queue: 10,
            report: Report::Honest,
            shed_percent: 0,
            silent: false,
            slots: 10,
            slow_factor: 1.0,
            spread: Spread::Exponential,
            state: State::Serving,
        }
    }
}

impl Behaviour {
    /// Returns a copy in which the fields of the JSON object `changes` are replaced.
    ///
    /// # Errors
    ///
    /// Returns an error if `changes` isn't a JSON object, or a field is unknown or has a value of
    /// the wrong type.
    pub fn with(&self, changes: &[u8]) -> serde_json::Result<Self> {
        let changes: serde_json::Map<String, Value> = serde_json::from_slice(changes)?;
        let mut all = serde_json::to_value(self)?;
        for (name, value) in changes {
            all[name] = value;
        }
        serde_json::from_value(all)
    }
}
