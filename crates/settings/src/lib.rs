//! The daemon's settings.
//!
//! Settings are JSON with comments. They are checked as a whole before anything starts.

mod model;

pub use model::{
    AdminSettings, CallerSettings, ControlSettings, KeySettings, LogLevel, LogSettings,
    MetricSettings, PeerSettings, PlatformSettings, ProbeSettings, RoutingSettings, Settings,
    TargetSettings, TraceSettings,
};
