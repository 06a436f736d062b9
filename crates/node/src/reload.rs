//! Checks changed settings while the daemon runs.
//!
//! Changed settings take effect only after a restart, as addresses are bound and limits are passed to the
//! tasks at the start. A reload checks the file and logs which sections a restart would change.

use std::path::PathBuf;

use hawthornwall_settings::Settings;

use crate::telemetry::log;

/// The settings file and the settings read from it at the start.
#[derive(Clone, Debug)]
pub struct Reload {
    /// Settings in force.
    pub current: Settings,
    /// Path of the settings file.
    pub path: PathBuf,
}

impl Reload {
    /// Reads and checks the file, and logs what a restart would change.
    pub fn run(&self) {
        let path = self.path.display().to_string();
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                log::error!("can't reread the settings; those in force stay", kv: { path, error: });
                return;
            }
        };
        match Settings::parse(&text) {
            Ok(next) => {
                let changed = self.current.changed_sections(&next).join(", ");
                log::info!("settings reread; changes take effect after a restart", kv: { path, changed });
            }
            Err(faults) => {
                log::error!("settings are invalid; those in force stay", kv: { path, faults: });
            }
        }
    }
}
