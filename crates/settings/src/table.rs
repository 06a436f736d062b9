//! Table of all settings.

use std::fmt;

use serde_json::{Value, json};

/// Unit of a numeric setting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unit {
    /// A size in bytes.
    Bytes,
    /// A number of items, without a unit.
    Count,
    /// A size in mebibytes.
    Mebibytes,
    /// A share in hundredths of a percent.
    HundredthsOfPercent,
    /// A duration in milliseconds.
    Milliseconds,
}

/// Prints the text that follows "a whole number" in a description.
impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Bytes => " of bytes",
            Self::Count => "",
            Self::Mebibytes => " of mebibytes",
            Self::HundredthsOfPercent => " of hundredths of a percent",
            Self::Milliseconds => " of milliseconds",
        })
    }
}

/// Type and accepted values of a setting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ValueKind {
    /// A string with an IP address and a port.
    Address,
    /// A list of strings, each with an IP address and a port.
    Addresses,
    /// One of these strings.
    Choice(&'static [&'static str]),
    /// A number of megabits per second, which may have a fraction.
    Megabits {
        /// Smallest accepted value.
        min: u32,
        /// Largest accepted value.
        max: u32,
    },
    /// A name in the form that the configuration accepts.
    Name,
    /// A whole number.
    Number {
        /// Unit of the number.
        unit: Unit,
        /// Smallest accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
    },
    /// The path of an HTTP request.
    Path,
    /// A number of seconds, which may have a fraction.
    Seconds {
        /// Smallest accepted value.
        min: u32,
        /// Largest accepted value.
        max: u32,
    },
    /// A string of 64 hexadecimal digits, which is never printed in messages.
    Secret,
}

impl fmt::Display for ValueKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Address => f.write_str("an IP address with a port, such as \"127.0.0.1:8080\""),
            Self::Addresses => {
                f.write_str("a list of IP addresses with ports, such as [\"127.0.0.1:8080\"]")
            }
            Self::Choice(choices) => write!(f, "one of {}", choices.join(", ")),
            Self::Megabits { min, max } => {
                write!(
                    f,
                    "a number of megabits per second, {min} to {max}, which may have a fraction"
                )
            }
            Self::Name => f.write_str("a name of 1 to 63 characters from a-z, 0-9 and -"),
            Self::Number { unit, min, max } => write!(f, "a whole number{unit}, {min} to {max}"),
            Self::Path => f.write_str("a path that starts with /"),
            Self::Seconds { min, max } => {
                write!(
                    f,
                    "a number of seconds, {min} to {max}, which may have a fraction"
                )
            }
            Self::Secret => f.write_str("64 hexadecimal digits"),
        }
    }
}

/// Value of a setting that is absent from the file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DefaultValue {
    /// No value: the setting is optional.
    Absent,
    /// The empty list.
    Empty,
    /// This number.
    Number(u64),
    /// None: the file must contain a value.
    Required,
    /// This string.
    Text(&'static str),
}

impl DefaultValue {
    /// The value as JSON; null if there is none.
    pub(crate) fn value(self) -> Value {
        match self {
            Self::Absent | Self::Required => Value::Null,
            Self::Empty => json!([]),
            Self::Number(number) => number.into(),
            Self::Text(text) => text.into(),
        }
    }
}

/// Definition of one setting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Setting {
    /// Description in one line, which is printed as a comment in the default file.
    pub doc: &'static str,
    /// Type and accepted values.
    pub kind: ValueKind,
    /// Section and key, separated by a dot; the key alone outside of sections.
    pub name: &'static str,
    /// Value if the file contains none.
    pub default: DefaultValue,
}

impl Setting {
    /// Section and key. The section is empty for a setting outside of sections.
    pub(crate) fn split(&self) -> (&'static str, &'static str) {
        self.name.rsplit_once('.').unwrap_or(("", self.name))
    }
}

/// Sections with their descriptions, in the order of the printed file.
pub const SECTIONS: &[(&str, &str)] = &[
    ("", ""),
    ("machine", "What the machine of this daemon has."),
    (
        "caller",
        "Listener for callers and limits on their requests.",
    ),
    ("target", "The local target."),
    ("peer", "Connections with other daemons."),
    ("platform", "Addresses of the platform's services."),
    ("admin", "Listeners for operators."),
    (
        "control",
        "Exchange of configuration and membership with peers.",
    ),
    ("keys", "Records of idempotency keys."),
    ("probe", "Budget for probes of the target."),
    ("routing", "Selection of targets."),
    ("log", "Logging."),
    ("metrics", "Export of metrics."),
    ("trace", "Sampling of traces."),
];

const LEVELS: &[&str] = &["debug", "info", "warn", "error"];
const LINKS: &[&str] = &["quic", "tcp"];
const POLICIES: &[&str] = &[
    "expected",
    "least-outstanding",
    "random",
    "round-robin",
    "two-choices",
];
const MIB: u64 = 1 << 20;

const fn setting(
    name: &'static str,
    kind: ValueKind,
    default: DefaultValue,
    doc: &'static str,
) -> Setting {
    Setting {
        doc,
        kind,
        name,
        default,
    }
}

const fn required(name: &'static str, kind: ValueKind, doc: &'static str) -> Setting {
    setting(name, kind, DefaultValue::Required, doc)
}

/// Defines a numeric setting with its default, unit and accepted range, which includes both ends.
const fn number(
    name: &'static str,
    default: u64,
    unit: Unit,
    range: (u64, u64),
    doc: &'static str,
) -> Setting {
    let (min, max) = range;
    let kind = ValueKind::Number { unit, min, max };
    setting(name, kind, DefaultValue::Number(default), doc)
}

/// All settings, in the order of the printed file.
#[rustfmt::skip]
pub const SETTINGS: &[Setting] = &[
    required("name", ValueKind::Name, "Name of the local target, as in the configuration."),
    required("domain", ValueKind::Name, "Failure domain of this instance."),

    setting("machine.memory_mib", ValueKind::Number { unit: Unit::Mebibytes, min: 32, max: 1 << 24 }, DefaultValue::Absent,
        "Memory that this process may use; if absent, the memory for requests in progress isn't limited as a whole."),
    setting("machine.files", ValueKind::Number { unit: Unit::Count, min: 64, max: 1 << 24 }, DefaultValue::Absent,
        "Number of file descriptors that this process may open; if absent, only the limits on connections apply."),
    setting("machine.link_mbps", ValueKind::Megabits { min: 1, max: 1_000_000 }, DefaultValue::Absent,
        "Rate of the machine's network link in each direction; if absent, it counts as unlimited."),

    required("caller.listen", ValueKind::Address, "TCP address of the listener for callers."),
    number("caller.connections", 1_000, Unit::Count, (1, 100_000), "Maximum number of open connections with callers."),
    number("caller.service_limit", 500, Unit::Count, (1, 100_000), "Maximum number of requests in flight per service."),
    setting("caller.body_limit", ValueKind::Number { unit: Unit::Bytes, min: 1, max: 1024 * MIB }, DefaultValue::Absent,
        "Maximum length of the body of a request or response, whatever the configuration allows; if absent, 64 MiB with machine.memory_mib and 1 MiB without."),
    number("caller.head_limit", 16 << 10, Unit::Bytes, (1 << 10, MIB), "Maximum length of a request head."),
    number("caller.idle_ms", 60_000, Unit::Milliseconds, (100, 3_600_000),
        "Maximum time between two requests on a connection, or between two parts of one request."),

    number("caller.pipeline_requests", 16, Unit::Count, (1, 1_000),
        "Maximum number of requests in flight on a connection, whose caller may send further ones before an answer."),
    number("caller.pipeline_bytes", 64 << 10, Unit::Bytes, (1 << 10, 64 * MIB),
        "Number of bytes of requests and answers in flight on a connection from which no further request is read."),
    number("caller.announce_ms", 1_000, Unit::Milliseconds, (0, 60_000),
        "Time between announcing a planned stop to callers and refusing their connections; at most two fifths of the grace."),

    setting("caller.grace_s", ValueKind::Seconds { min: 0, max: 86_400 }, DefaultValue::Number(600),
        "Time between a stop signal and the end of the process, if need be by force; all requests are answered before."),

    required("target.address", ValueKind::Address, "TCP address of the target."),
    setting("target.health", ValueKind::Path, DefaultValue::Text("/health"), "Path of the target's health endpoint."),
    setting("target.load", ValueKind::Path, DefaultValue::Text("/load"), "Path of the target's load endpoint."),
    setting("target.service", ValueKind::Name, DefaultValue::Absent,
        "Service that the target belongs to; sent to other targets with the requests that it makes."),
    number("target.silence_ms", 10_000, Unit::Milliseconds, (10, 600_000),
        "Maximum time without any data from the target while a request runs."),

    required("peer.listen", ValueKind::Address, "Address of the listener for peers: UDP for quic, TCP for tcp."),
    setting("peer.link", ValueKind::Choice(LINKS), DefaultValue::Text("quic"),
        "Transport between daemons: quic encrypts; tcp needs a network that admits only daemons."),
    setting("peer.secret", ValueKind::Secret, DefaultValue::Absent,
        "Secret that all daemons of the fleet share; required for quic, not accepted for tcp."),
    setting("peer.advertise", ValueKind::Address, DefaultValue::Absent, "Address at which peers reach this daemon, if it differs from peer.listen."),
    setting("peer.seeds", ValueKind::Addresses, DefaultValue::Empty, "Addresses of peers that the daemon contacts at its start."),
    number("peer.silence_ms", 1_000, Unit::Milliseconds, (10, 60_000),
        "Maximum time without any data on a connection while data is expected; it is then replaced."),

    setting("platform.config", ValueKind::Address, DefaultValue::Absent,
        "TCP address of the configuration service; requires platform.instances."),
    setting("platform.instances", ValueKind::Address, DefaultValue::Absent,
        "TCP address of the instance list; requires platform.config."),
    setting("platform.store", ValueKind::Address, DefaultValue::Absent,
        "TCP address of the metadata store, instead of platform.config and platform.instances."),

    required("admin.listen", ValueKind::Address, "TCP address of the listener for operators."),
    setting("admin.ready", ValueKind::Address, DefaultValue::Absent, "TCP address of a second listener, for readiness checks."),

    number("control.exchange_ms", 1_000, Unit::Milliseconds, (10, 60_000), "Time between two exchanges with a peer."),
    number("control.start_wait_ms", 2_000, Unit::Milliseconds, (0, 60_000),
        "Maximum delay before a daemon serves requests while only one source has sent it the configuration."),
    number("control.watchers", 2, Unit::Count, (1, 100), "Number of daemons per failure domain that watch the platform for changes."),

    number("keys.keep_ms", 600_000, Unit::Milliseconds, (1_000, 86_400_000), "Time for which the record of a key is kept."),
    number("keys.records", 10_000, Unit::Count, (1, 1_000_000), "Maximum number of records."),
    number("keys.answer_bytes", 8 * MIB, Unit::Bytes, (0, 1_024 * MIB), "Maximum total size of the stored responses."),

    number("probe.per_100s", 50, Unit::Count, (0, 100_000), "Maximum number of probes per 100 seconds."),
    number("probe.slot_share", 10, Unit::HundredthsOfPercent, (0, 10_000),
        "Maximum share of the target's slot time that probes use."),

    setting("routing.policy", ValueKind::Choice(POLICIES), DefaultValue::Text("expected"),
        "Policy that selects a target; all except the default are baselines for experiments."),

    setting("log.level", ValueKind::Choice(LEVELS), DefaultValue::Text("info"), "Minimum level of logged lines."),

    setting("metrics.statsd", ValueKind::Address, DefaultValue::Absent,
        "UDP address of a statsd server; if absent, metrics are reported in the status only."),

    number("trace.share", 0, Unit::HundredthsOfPercent, (0, 10_000),
        "Share of the requests without a sampled traceparent header that are traced."),
];
