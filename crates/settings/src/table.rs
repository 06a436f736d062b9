//! The table of all settings.

use std::fmt;

use serde_json::{Value, json};

/// What a number counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unit {
    /// Bytes.
    Bytes,
    /// Things of the kind that the setting's name says.
    Count,
    /// Hundredths of a percent.
    HundredthsOfPercent,
    /// Milliseconds.
    Milliseconds,
}

/// The words that follow "a whole number".
impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Bytes => " of bytes",
            Self::Count => "",
            Self::HundredthsOfPercent => " of hundredths of a percent",
            Self::Milliseconds => " of milliseconds",
        })
    }
}

/// What a setting's value may be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// An IP address with a port.
    Address,
    /// A list of IP addresses with ports.
    Addresses,
    /// One of some words.
    Choice(&'static [&'static str]),
    /// A name as in the configuration: at most 63 of a-z, 0-9 and `-`.
    Name,
    /// A whole number.
    Number {
        /// What it counts.
        unit: Unit,
        /// Smallest accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
    },
    /// A path of an HTTP request.
    Path,
    /// 32 bytes as 64 hexadecimal digits.
    Secret,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Address => f.write_str("an IP address with a port, as \"127.0.0.1:8080\""),
            Self::Addresses => {
                f.write_str("a list of IP addresses with ports, as [\"127.0.0.1:8080\"]")
            }
            Self::Choice(words) => write!(f, "one of {}", words.join(", ")),
            Self::Name => f.write_str("a name of 1 to 63 of a-z, 0-9 and -"),
            Self::Number { unit, min, max } => write!(f, "a whole number{unit}, {min} to {max}"),
            Self::Path => f.write_str("a path that starts with /"),
            Self::Secret => f.write_str("64 hexadecimal digits"),
        }
    }
}

/// The value of a setting that the file doesn't name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Preset {
    /// The setting may stay without a value.
    Absent,
    /// An empty list.
    Empty,
    /// A number.
    Number(u64),
    /// The file must name a value.
    Required,
    /// A text.
    Text(&'static str),
}

impl Preset {
    /// The value as JSON, null for none.
    pub(crate) fn value(self) -> Value {
        match self {
            Self::Absent | Self::Required => Value::Null,
            Self::Empty => json!([]),
            Self::Number(number) => number.into(),
            Self::Text(text) => text.into(),
        }
    }
}

/// One setting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Setting {
    /// Description in one line.
    pub doc: &'static str,
    /// What is accepted.
    pub kind: Kind,
    /// Section and key, separated by a dot.
    pub name: &'static str,
    /// The value if the file names none.
    pub preset: Preset,
}

impl Setting {
    /// The section, empty for a setting outside of sections, and the key.
    pub(crate) fn split(&self) -> (&'static str, &'static str) {
        self.name.rsplit_once('.').unwrap_or(("", self.name))
    }
}

/// Sections with a description, in the order of the printed file.
pub const SECTIONS: &[(&str, &str)] = &[
    ("", ""),
    (
        "caller",
        "Where callers reach the daemon, and what they may send.",
    ),
    ("target", "The target beside this daemon."),
    ("peer", "Other daemons."),
    ("platform", "The platform's services."),
    ("admin", "Where operators reach the daemon."),
    (
        "control",
        "Exchange of configuration and membership with peers.",
    ),
    ("keys", "Idempotency keys."),
    ("probe", "Budget for measuring the target."),
    ("routing", "How targets are chosen."),
    ("log", "Logs."),
    ("metrics", "Metrics."),
    ("trace", "Traces."),
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

const fn setting(name: &'static str, kind: Kind, preset: Preset, doc: &'static str) -> Setting {
    Setting {
        doc,
        kind,
        name,
        preset,
    }
}

const fn required(name: &'static str, kind: Kind, doc: &'static str) -> Setting {
    setting(name, kind, Preset::Required, doc)
}

/// A number with its default, unit and range.
const fn number(
    name: &'static str,
    preset: u64,
    unit: Unit,
    range: (u64, u64),
    doc: &'static str,
) -> Setting {
    let (min, max) = range;
    let kind = Kind::Number { unit, min, max };
    setting(name, kind, Preset::Number(preset), doc)
}

/// Every setting, in the order of the printed file.
#[rustfmt::skip]
pub const SETTINGS: &[Setting] = &[
    required("name", Kind::Name, "Name of the target beside this daemon, as in the configuration."),
    required("domain", Kind::Name, "Failure domain of this instance."),

    required("caller.listen", Kind::Address, "TCP address of the callers' listener."),
    number("caller.connections", 1_000, Unit::Count, (1, 100_000), "Open caller connections."),
    number("caller.service_limit", 500, Unit::Count, (1, 100_000), "Requests in flight for each service."),
    number("caller.body_limit", MIB, Unit::Bytes, (1, 64 * MIB), "Longest body of a request or response."),
    number("caller.head_limit", 16 << 10, Unit::Bytes, (1 << 10, MIB), "Longest request head."),
    number("caller.idle_ms", 60_000, Unit::Milliseconds, (100, 3_600_000),
        "Longest time between two requests of a connection, or between two parts of one request."),

    number("caller.announce_ms", 1_000, Unit::Milliseconds, (0, 60_000),
        "Time between announcing a planned stop and refusing connections; callers learn of the stop meanwhile."),

    required("target.address", Kind::Address, "TCP address of the target."),
    setting("target.health", Kind::Path, Preset::Text("/health"), "Path of the target's health endpoint."),
    setting("target.load", Kind::Path, Preset::Text("/load"), "Path of the target's load endpoint."),
    setting("target.service", Kind::Name, Preset::Absent,
        "Name of the service that the target belongs to, told to the targets of its own requests."),
    number("target.silence_ms", 10_000, Unit::Milliseconds, (10, 600_000),
        "Longest time without any byte from the target while a request runs."),

    required("peer.listen", Kind::Address, "Address of the peers' listener, UDP for quic."),
    setting("peer.link", Kind::Choice(LINKS), Preset::Text("quic"),
        "What carries requests between daemons: quic encrypts, tcp relies on the network to keep others away."),
    setting("peer.secret", Kind::Secret, Preset::Absent,
        "Secret that all daemons of the fleet share; quic needs one, tcp takes none."),
    setting("peer.advertise", Kind::Address, Preset::Absent, "Address that peers use, if it differs from peer.listen."),
    setting("peer.seeds", Kind::Addresses, Preset::Empty, "Peers queried at the start."),
    number("peer.silence_ms", 1_000, Unit::Milliseconds, (10, 60_000),
        "A connection on which nothing arrives for this long while something is expected is replaced."),

    setting("platform.config", Kind::Address, Preset::Absent,
        "TCP address of the configuration service; needs platform.instances."),
    setting("platform.instances", Kind::Address, Preset::Absent,
        "TCP address of the instance list; needs platform.config."),
    setting("platform.store", Kind::Address, Preset::Absent,
        "TCP address of the metadata store, instead of platform.config and platform.instances."),

    required("admin.listen", Kind::Address, "TCP address of the operators' listener."),
    setting("admin.ready", Kind::Address, Preset::Absent, "TCP address of a second listener, for readiness checks."),

    number("control.exchange_ms", 1_000, Unit::Milliseconds, (10, 60_000), "Time between two exchanges with a peer."),
    number("control.start_wait_ms", 2_000, Unit::Milliseconds, (0, 60_000),
        "How long a daemon that has heard from only one source waits for others before it serves."),
    number("control.watchers", 2, Unit::Count, (1, 100), "Daemons of each failure domain that watch the platform."),

    number("keys.keep_ms", 600_000, Unit::Milliseconds, (1_000, 86_400_000), "How long a key's record is kept."),
    number("keys.records", 10_000, Unit::Count, (1, 1_000_000), "Most records at once."),
    number("keys.answer_bytes", 8 * MIB, Unit::Bytes, (0, 1_024 * MIB), "Total size of the stored responses."),

    number("probe.per_100s", 50, Unit::Count, (0, 100_000), "Probes in each 100 seconds."),
    number("probe.slot_share", 10, Unit::HundredthsOfPercent, (0, 10_000),
        "Share of the target's slot time that probes may take."),

    setting("routing.policy", Kind::Choice(POLICIES), Preset::Text("expected"),
        "How a target is picked; all but the default are baselines for experiments."),

    setting("log.level", Kind::Choice(LEVELS), Preset::Text("info"), "Lowest level that is logged."),

    setting("metrics.statsd", Kind::Address, Preset::Absent,
        "UDP address of a statsd server; without one, metrics only appear in the status."),

    number("trace.share", 0, Unit::HundredthsOfPercent, (0, 10_000),
        "Share of requests without a sampled traceparent that are traced."),
];
