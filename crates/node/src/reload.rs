//! Reading the settings again while the daemon runs.
//!
//! No setting is taken over without a restart: addresses are bound and limits handed out at the
//! start. A reload checks the file and tells which sections a restart would change.

use std::path::PathBuf;

use hawthornwall_settings::Settings;

use crate::telemetry::log;

/// The settings file and what was read from it at the start.
#[derive(Clone, Debug)]
pub struct Reload {
    /// Settings in force.
    pub current: Settings,
    /// Where they were read.
    pub path: PathBuf,
}

impl Reload {
    /// Reads and checks the file, and logs what a restart would change.
    pub fn run(&self) {
        let path = self.path.display().to_string();
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                log::error!("settings can't be read again; those in force stay", kv: { path, error: });
                return;
            }
        };
        match Settings::parse(&text) {
            Ok(next) => {
                let changed = self.current.changed_sections(&next).join(", ");
                log::info!("settings read again; a restart takes changes over", kv: { path, changed });
            }
            Err(faults) => {
                log::error!("settings are faulty; those in force stay", kv: { path, faults: });
            }
        }
    }
}
