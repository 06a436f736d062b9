//! Executes `check`.

use error_stack::Report;
use hawthornwall_core::ids::Version;
use hawthornwall_settings::{Fault, Settings};
use hawthornwall_wire::document::parse_document;
use serde::Serialize;

use super::patch::Entry;
use super::source;
use crate::command::Input;
use crate::exit::Failure;

/// Result of checking a settings file.
#[derive(Clone, Debug, Serialize)]
pub struct SettingsCheck {
    /// All faults of the settings.
    pub faults: Vec<Fault>,
    /// The file as named on the command line.
    pub file: String,
}

/// Size and version of the configuration that results from a document.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ConfigSummary {
    /// Number of services.
    pub services: usize,
    /// Number of targets.
    pub targets: usize,
    /// Version of the configuration.
    pub version: Version,
}

/// Result of checking a configuration document.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigCheck {
    /// The parse error, or the faults of the checkpoint.
    pub faults: Vec<String>,
    /// The file as named on the command line.
    pub file: String,
    /// The resulting configuration; `None` if the document can't be parsed.
    pub reached: Option<ConfigSummary>,
    /// Patches that are skipped because they are invalid.
    pub skipped: Vec<Entry>,
}

impl ConfigCheck {
    /// Whether neither the document nor any of its patches has a fault.
    pub fn is_good(&self) -> bool {
        self.faults.is_empty() && self.skipped.is_empty()
    }
}

/// Checks the settings of a daemon.
pub(super) fn settings(input: &Input) -> Result<SettingsCheck, Report<Failure>> {
    let bytes = source::read_bytes(input)?;
    let faults = match Settings::parse(&String::from_utf8_lossy(&bytes)) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.0,
    };
    let file = input.to_string();
    Ok(SettingsCheck { faults, file })
}

/// Checks the checkpoint of a document and all patches.
pub(super) fn config(input: &Input) -> Result<ConfigCheck, Report<Failure>> {
    let file = input.to_string();
    let document = match parse_document(&source::read_bytes(input)?) {
        Ok(document) => document,
        Err(error) => {
            let faults = vec![error.to_string()];
            return Ok(ConfigCheck {
                faults,
                file,
                reached: None,
                skipped: Vec::new(),
            });
        }
    };
    let broken = document.checkpoint.verify().into_iter();
    let history = document.history();
    let skipped = history.iter().filter(|entry| entry.result.is_err());
    let reached = document.replay().configuration;
    Ok(ConfigCheck {
        faults: broken.map(|fault| format!("checkpoint: {fault}")).collect(),
        file,
        reached: Some(ConfigSummary {
            services: reached.services.len(),
            targets: reached.targets.len(),
            version: reached.version,
        }),
        skipped: skipped.map(Entry::from).collect(),
    })
}
