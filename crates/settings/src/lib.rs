//! The daemon's settings.
//!
//! Settings are JSON with comments. The complete file is checked before the daemon starts, and every
//! fault is reported with its position in the file.
//!
//! Invariant: [`SETTINGS`] is the only definition of each setting's name, default, range and
//! description. Parsing, defaults and the printed default file are derived from it.

mod check;
mod fault;
mod model;
mod position;
mod print;
mod table;
mod value;

pub use fault::{Fault, FaultKind, SettingsFaults};
pub use model::{
    AdminSettings, CallerSettings, ControlSettings, KeySettings, LinkKind, LogLevel, LogSettings,
    MachineSettings, MetricSettings, PeerSettings, PlatformSettings, ProbeSettings,
    RoutingSettings, Settings, Source, TargetSettings, TraceSettings,
};
pub use position::Position;
pub use print::commented_defaults;
pub use table::{DefaultValue, SECTIONS, SETTINGS, Setting, Unit, ValueKind};
