//! Request and answer bodies of the endpoints for tests.

use serde::{Deserialize, Serialize};

/// A value that readers can read and watch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Endpoint {
    /// The configuration document.
    Config,
    /// The instance list.
    Instances,
}

/// Body of `POST /fault`. It replaces all faults set before.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Close the connections of readers without an answer.
    pub down: bool,
    /// Delay until a new instance list becomes visible, in milliseconds.
    pub lag_ms: u64,
    /// Keep answering with the values that were visible when this fault was set.
    pub stale: bool,
}

/// Body of the answer to `GET /stats`: reads since the start. A watch counts once, on arrival.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Number of reads of the configuration.
    pub config: u64,
    /// Number of reads of the instance list.
    pub instances: u64,
    /// Number of reads of either.
    pub total: u64,
    /// Number of watches that are open now.
    pub waiting: u64,
}
