//! The settings as typed data.

use std::net::SocketAddr;
use std::time::Duration;

use hawthornwall_core::routing::Policy;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::check::section_defaults;

/// Everything that one daemon is told at its start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where operators reach the daemon.
    pub admin: AdminSettings,
    /// Where callers reach the daemon, and what they may send.
    pub caller: CallerSettings,
    /// Exchange of configuration and membership with peers.
    pub control: ControlSettings,
    /// Failure domain of this instance.
    pub domain: String,
    /// Idempotency keys.
    pub keys: KeySettings,
    /// Logs.
    pub log: LogSettings,
    /// Metrics.
    pub metrics: MetricSettings,
    /// Name of the target beside this daemon, as in the configuration.
    pub name: String,
    /// Other daemons.
    pub peer: PeerSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Budget for measuring the target.
    pub probe: ProbeSettings,
    /// How targets are chosen.
    pub routing: RoutingSettings,
    /// The target beside this daemon.
    pub target: TargetSettings,
    /// Traces.
    pub trace: TraceSettings,
}

/// Where operators reach the daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// TCP address of the operators' listener.
    pub listen: SocketAddr,
    /// TCP address of a second listener, for readiness checks.
    pub ready: Option<SocketAddr>,
}

/// Where callers reach the daemon, and what they may send.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Time between announcing a planned stop and refusing connections.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "announce_ms")]
    pub announce: Duration,
    /// Longest body of a request or answer, in bytes.
    pub body_limit: usize,
    /// Open caller connections.
    pub connections: usize,
    /// Longest request head, in bytes.
    pub head_limit: usize,
    /// Longest time between two requests of a connection, or between two parts of one request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_ms")]
    pub idle: Duration,
    /// TCP address of the callers' listener.
    pub listen: SocketAddr,
    /// Requests in flight for each service.
    pub service_limit: usize,
}

/// Exchange of configuration and membership.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Time between two exchanges with a peer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "exchange_ms")]
    pub exchange: Duration,
    /// How long a daemon that has heard only one source waits for others before it serves.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "start_wait_ms")]
    pub start_wait: Duration,
    /// Daemons of each failure domain that watch the platform.
    pub watchers: usize,
}

/// Idempotency keys.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Total size of the stored answers, in bytes.
    pub answer_bytes: usize,
    /// How long a key's record is kept.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "keep_ms")]
    pub keep: Duration,
    /// Most records at once.
    pub records: usize,
}

/// Lowest level that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Everything.
    Debug,
    /// Faults of this daemon.
    Error,
    /// Changes that operators care about.
    #[default]
    Info,
    /// Faults that the daemon works around.
    Warn,
}

/// Logs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest level that is logged.
    pub level: LogLevel,
}

/// Metrics.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MetricSettings {
    /// UDP address of a statsd server; without one, metrics only appear in the status.
    pub statsd: Option<SocketAddr>,
}

/// What carries requests between daemons.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LinkKind {
    /// QUIC with TLS 1.3 between daemons that share a secret.
    #[default]
    Quic,
    /// Plain TCP, where the network alone keeps others away.
    Tcp,
}

/// Other daemons.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Address that peers use, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// What carries requests between daemons.
    pub link: LinkKind,
    /// Address of the peers' listener, UDP for QUIC.
    pub listen: SocketAddr,
    /// 32 bytes in hexadecimal that all daemons of the fleet share; none for plain TCP.
    pub secret: Option<String>,
    /// Peers asked at the start.
    pub seeds: Vec<SocketAddr>,
    /// A connection on which nothing arrives for this long while something is expected is replaced.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "silence_ms")]
    pub silence: Duration,
}

/// The platform's services.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// TCP address of the configuration service.
    pub config: Option<SocketAddr>,
    /// TCP address of the instance list.
    pub instances: Option<SocketAddr>,
    /// TCP address of the metadata store, which replaces both.
    pub store: Option<SocketAddr>,
}

/// Where configuration and targets are read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// From a configuration service and an instance list.
    Services {
        /// TCP address of the configuration service.
        config: SocketAddr,
        /// TCP address of the instance list.
        instances: SocketAddr,
    },
    /// From a metadata store.
    Store(SocketAddr),
}

impl PlatformSettings {
    /// Where configuration and targets are read; `None` if the addresses are incomplete, which
    /// checked settings never are.
    pub fn source(&self) -> Option<Source> {
        match (self.store, self.config, self.instances) {
            (Some(store), None, None) => Some(Source::Store(store)),
            (None, Some(config), Some(instances)) => Some(Source::Services { config, instances }),
            (Some(_) | None, _, _) => None,
        }
    }
}

/// Budget for measuring the target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProbeSettings {
    /// Probes in each 100 seconds.
    pub per_100s: u32,
    /// Share of the target's slot time that probes may take, in hundredths of a percent.
    pub slot_share: u32,
}

/// How targets are chosen.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingSettings {
    /// The policy; all but the default are baselines for experiments.
    pub policy: Policy,
}

/// The target beside this daemon.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// TCP address of the target.
    pub address: SocketAddr,
    /// Longest time without any byte from the target while a request runs.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "silence_ms")]
    pub silence: Duration,
    /// Path of the target's health endpoint.
    pub health: String,
    /// Path of the target's load endpoint.
    pub load: String,
    /// Name of the service that the target belongs to, told to the targets of its own requests.
    pub service: Option<String>,
}

/// Traces.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceSettings {
    /// Share of requests without a sampled `traceparent` that are traced, in hundredths of a
    /// percent.
    pub share: u32,
}

impl Settings {
    /// Names of the sections and settings at the top that differ.
    pub fn changed_sections(&self, other: &Self) -> Vec<String> {
        let object = |s: &Self| match serde_json::to_value(s) {
            Ok(Value::Object(object)) => object,
            Ok(_) | Err(_) => Map::new(),
        };
        let (ours, theirs) = (object(self), object(other));
        let differs = |key: &&String| ours.get(*key) != theirs.get(*key);
        theirs.keys().filter(differs).cloned().collect()
    }
}

/// Sections whose settings all have defaults take them from the table.
macro_rules! defaults_from_table {
    ($($name:ident: $section:literal),* $(,)?) => {
        $(impl Default for $name {
            fn default() -> Self {
                section_defaults($section)
            }
        })*
    };
}

defaults_from_table! {
    ControlSettings: "control",
    KeySettings: "keys",
    LogSettings: "log",
    MetricSettings: "metrics",
    ProbeSettings: "probe",
    RoutingSettings: "routing",
    TraceSettings: "trace",
}
