//! Data of the test-only endpoints.

use serde::{Deserialize, Serialize};

/// What is published.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Endpoint {
    /// The configuration document.
    Config,
    /// The instance list.
    Instances,
}

/// Body of `POST /fault`: all faults that hold from now on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Connections of readers are closed unanswered.
    pub down: bool,
    /// New instance lists become visible this much later, in milliseconds.
    pub lag_ms: u64,
    /// Readers keep getting the values visible when this fault was set.
    pub stale: bool,
}

/// Body of the answer to `GET /stats`: reads since the start; a watch counts once, when it arrives.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Reads of the configuration.
    pub config: u64,
    /// Reads of the instance list.
    pub instances: u64,
    /// Reads of both.
    pub total: u64,
    /// Watches that wait now.
    pub waiting: u64,
}
