//! How a target behaves, as set on its command line and by `POST /control`.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Distribution of the service time around its mean.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Spread {
    /// Exponential.
    Exponential,
    /// No spread.
    Fixed,
    /// Lognormal with this standard deviation of the logarithm.
    Lognormal(f64),
}

/// Whether a target takes new work, as it says itself.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It is leaving.
    Draining,
    /// It takes new work.
    #[default]
    Serving,
}

/// Body of the answers of the health and load endpoints.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Whether it takes new work.
    pub state: State,
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// What the health and load endpoints show.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// The present.
    #[default]
    Honest,
    /// The load as it was this many milliseconds ago.
    LagMs(u64),
    /// Always the same.
    Lie(Load),
}

/// Random stalls of the whole process.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pauses {
    /// Mean time between two stalls, exponentially distributed.
    pub every_ms: f64,
    /// Mean length of a stall, exponentially distributed.
    pub length_ms: f64,
}

/// Everything that can be set.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Delay before the first request of a new connection is read.
    pub accept_us: u64,
    /// Service times are this many times longer at first.
    pub cold_factor: f64,
    /// How long after its start a target is cold.
    pub cold_ms: u64,
    /// Every request is answered 500 at once.
    pub fail_fast: bool,
    /// Mean service time.
    pub mean_us: u64,
    /// Random stalls.
    pub pauses: Option<Pauses>,
    /// Time that the health or load endpoint takes.
    pub probe_us: u64,
    /// Requests that may wait for a slot; more are shed.
    pub queue: usize,
    /// What the health and load endpoints show.
    pub report: Report,
    /// Share of requests that are shed although they would fit.
    pub shed_percent: u32,
    /// Requests are accepted and never answered.
    pub silent: bool,
    /// Requests that may run at once.
    pub slots: usize,
    /// Service times are this many times longer.
    pub slow_factor: f64,
    /// Distribution of the service time.
    pub spread: Spread,
    /// Whether it is leaving; it still runs what it gets, so that a history shows such work.
    pub state: State,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            // The users' figure for a new connection.
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
    /// This behaviour with the fields of the JSON object `changes` replaced.
    ///
    /// # Errors
    ///
    /// `changes` is no JSON object, or a field is unknown or has a value of another type.
    pub fn with(&self, changes: &[u8]) -> serde_json::Result<Self> {
        let changes: serde_json::Map<String, Value> = serde_json::from_slice(changes)?;
        let mut all = serde_json::to_value(self)?;
        for (name, value) in changes {
            all[name] = value;
        }
        serde_json::from_value(all)
    }
}
