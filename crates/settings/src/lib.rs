//! The daemon's settings.
//!
//! Settings are JSON with comments. They are checked as a whole before anything starts: every fault
//! is reported with its place in the file.
//!
//! Invariant: [`SETTINGS`] is the only place that holds a setting's name, default, range and
//! description; parsing, defaults and the printed default file are derived from it.

mod check;
mod fault;
mod model;
mod place;
mod print;
mod table;
mod value;

pub use fault::{Fault, FaultKind, SettingsFaults};
pub use model::{
    AdminSettings, CallerSettings, ControlSettings, KeySettings, LinkKind, LogLevel, LogSettings,
    MetricSettings, PeerSettings, PlatformSettings, ProbeSettings, RoutingSettings, Settings,
    Source, TargetSettings, TraceSettings,
};
pub use place::Place;
pub use print::commented_defaults;
pub use table::{Kind, Preset, SECTIONS, SETTINGS, Setting, Unit};
