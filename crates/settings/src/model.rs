//! Typed settings.

use std::net::SocketAddr;
use std::time::Duration;

use hawthornwall_core::routing::Policy;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};

use crate::check::section_defaults;

/// All settings of one daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Listeners for operators.
    pub admin: AdminSettings,
    /// Listener for callers and limits on their requests.
    pub caller: CallerSettings,
    /// Exchange of configuration and membership with peers.
    pub control: ControlSettings,
    /// Failure domain of this instance.
    pub domain: String,
    /// Records of idempotency keys.
    pub keys: KeySettings,
    /// Logging.
    pub log: LogSettings,
    /// What the machine of this daemon has.
    pub machine: MachineSettings,
    /// Export of metrics.
    pub metrics: MetricSettings,
    /// Name of the local target, as in the configuration.
    pub name: String,
    /// Connections with other daemons.
    pub peer: PeerSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Budget for probes of the target.
    pub probe: ProbeSettings,
    /// Selection of targets.
    pub routing: RoutingSettings,
    /// The local target.
    pub target: TargetSettings,
    /// Sampling of traces.
    pub trace: TraceSettings,
}

/// Maximum length of a body if the settings state neither it nor the memory of the machine, in bytes.
const BODY_LIMIT: usize = 1 << 20;
/// Maximum length of a body if the settings state the memory of the machine, in bytes. The largest body that an
/// operators' configuration is known to allow.
const BODY_LIMIT_WITH_BUDGET: usize = 64 << 20;

impl Settings {
    /// Maximum length of the body of a request or answer, in bytes. Without a budget of buffered bytes, long bodies
    /// are accepted only if the settings ask for it.
    pub fn body_limit(&self) -> usize {
        let default = match self.machine.memory_mib {
            None => BODY_LIMIT,
            Some(_) => BODY_LIMIT_WITH_BUDGET,
        };
        self.caller.body_limit.unwrap_or(default)
    }
}

/// Listeners for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// TCP address of the listener for operators.
    pub listen: SocketAddr,
    /// TCP address of a second listener, for readiness checks; `None` for no second listener.
    pub ready: Option<SocketAddr>,
}

/// Listener for callers and limits on their requests.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Time between announcing a planned stop to callers and refusing their connections.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "announce_ms")]
    pub announce: Duration,
    /// Maximum length of the body of a request or answer, in bytes; see [`Settings::body_limit`] if it is absent.
    pub body_limit: Option<usize>,
    /// Maximum number of open connections with callers.
    pub connections: usize,
    /// Time between a stop signal and the end of the process, if need be by force.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "grace_s")]
    pub grace: Duration,
    /// Maximum length of a request head, in bytes.
    pub head_limit: usize,
    /// Maximum time between two requests on a connection, or between two parts of one request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_ms")]
    pub idle: Duration,
    /// TCP address of the listener for callers.
    pub listen: SocketAddr,
    /// Number of bytes of requests and answers in flight on a connection from which no further request
    /// is read.
    pub pipeline_bytes: usize,
    /// Maximum number of requests in flight on a connection.
    pub pipeline_requests: usize,
    /// Maximum number of requests in flight per service.
    pub service_limit: usize,
}

/// Exchange of configuration and membership with peers.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Time between two exchanges with a peer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "exchange_ms")]
    pub exchange: Duration,
    /// Maximum delay before a daemon serves requests while it has the configuration from only one
    /// source.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "start_wait_ms")]
    pub start_wait: Duration,
    /// Number of daemons per failure domain that watch the platform for changes.
    pub watchers: usize,
}

/// Limits on the records of idempotency keys.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Maximum total size of the stored answers, in bytes.
    pub answer_bytes: usize,
    /// Time for which the record of a key is kept.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "keep_ms")]
    pub keep: Duration,
    /// Maximum number of records.
    pub records: usize,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Details for debugging.
    Debug,
    /// Faults in this daemon.
    Error,
    /// Changes of state that are relevant to operators.
    #[default]
    Info,
    /// Faults that the daemon handles without stopping.
    Warn,
}

/// Logging.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Minimum level of logged lines.
    pub level: LogLevel,
}

/// What the machine of this daemon has. A value that is absent limits nothing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MachineSettings {
    /// Number of file descriptors that this process may open.
    pub files: Option<usize>,
    /// Rate of the network link in each direction, in megabits per second.
    pub link_mbps: Option<f64>,
    /// Memory that this process may use, in mebibytes.
    pub memory_mib: Option<usize>,
}

// The parser accepts no NaN for `link_mbps`.
impl Eq for MachineSettings {}

/// Export of metrics.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MetricSettings {
    /// UDP address of a statsd server; `None` to report metrics only on the admin listeners.
    pub statsd: Option<SocketAddr>,
}

/// Transport between daemons.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LinkKind {
    /// QUIC with TLS 1.3 between daemons that share a secret.
    #[default]
    Quic,
    /// Plain TCP without encryption or authentication, for networks that admit only daemons.
    Tcp,
}

/// Connections with other daemons.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Address at which peers reach this daemon; `None` if it is `listen`.
    pub advertise: Option<SocketAddr>,
    /// Transport between daemons.
    pub link: LinkKind,
    /// Address of the listener for peers: a UDP address for QUIC, a TCP address otherwise.
    pub listen: SocketAddr,
    /// Secret that all daemons of the fleet share, 32 bytes in hexadecimal; `None` for plain TCP.
    pub secret: Option<String>,
    /// Addresses of peers that the daemon contacts at its start.
    pub seeds: Vec<SocketAddr>,
    /// Maximum time without any data on a connection while data is expected. The connection is then
    /// replaced.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "silence_ms")]
    pub silence: Duration,
}

/// Addresses of the platform's services. Either `store` is set, or both others are.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// TCP address of the configuration service, if it is used.
    pub config: Option<SocketAddr>,
    /// TCP address of the instance list, if it is used.
    pub instances: Option<SocketAddr>,
    /// TCP address of the metadata store, if it is used.
    pub store: Option<SocketAddr>,
}

/// Services from which a daemon reads the configuration and the list of targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// A configuration service and an instance list.
    Services {
        /// TCP address of the configuration service.
        config: SocketAddr,
        /// TCP address of the instance list.
        instances: SocketAddr,
    },
    /// A metadata store at this TCP address.
    Store(SocketAddr),
}

impl PlatformSettings {
    /// Source of configuration and targets; `None` if the combination of addresses is not accepted,
    /// which [`Settings::parse`] rules out.
    pub fn source(&self) -> Option<Source> {
        match (self.store, self.config, self.instances) {
            (Some(store), None, None) => Some(Source::Store(store)),
            (None, Some(config), Some(instances)) => Some(Source::Services { config, instances }),
            (Some(_) | None, _, _) => None,
        }
    }
}

/// Budget for probes of the target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProbeSettings {
    /// Maximum number of probes per 100 seconds.
    pub per_100s: u32,
    /// Maximum share of the target's slot time that probes use, in hundredths of a percent.
    pub slot_share: u32,
}

/// Selection of targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingSettings {
    /// Maximum number of second copies of late idempotent requests per 100 requests. With 0, only the rules of
    /// the services decide.
    pub hedge_percent: u32,
    /// Policy that selects a target. All policies except the default are baselines for experiments.
    pub policy: Policy,
}

/// The local target.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// TCP address of the target.
    pub address: SocketAddr,
    /// Maximum time without any data from the target while a request runs.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "silence_ms")]
    pub silence: Duration,
    /// Path of the target's health endpoint.
    pub health: String,
    /// Path of the target's load endpoint.
    pub load: String,
    /// Name of the service that the target belongs to; sent to other targets with the requests that
    /// it makes.
    pub service: Option<String>,
}

/// Sampling of traces.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceSettings {
    /// Share of the requests without a sampled `traceparent` header that are traced, in hundredths of
    /// a percent.
    pub share: u32,
}

impl Settings {
    /// Names of the sections, and of the settings outside of sections, that differ in `other`.
    pub fn changed_sections(&self, other: &Self) -> Vec<String> {
        let object = |s: &Self| match serde_json::to_value(s) {
            Ok(Value::Object(object)) => object,
            Ok(_) | Err(_) => Map::new(),
        };
        let (before, after) = (object(self), object(other));
        let differs = |key: &&String| before.get(*key) != after.get(*key);
        after.keys().filter(differs).cloned().collect()
    }
}

/// Implements `Default` for sections whose settings all have defaults in `SETTINGS`.
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
    MachineSettings: "machine",
    MetricSettings: "metrics",
    ProbeSettings: "probe",
    RoutingSettings: "routing",
    TraceSettings: "trace",
}
