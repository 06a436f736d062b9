//! Checks of files.

use error_stack::Report;
use hawthornwall_core::ids::Version;
use hawthornwall_settings::{Fault, Settings};
use hawthornwall_wire::document::parse_document;
use serde::Serialize;

use super::patch::Entry;
use super::source;
use crate::command::Input;
use crate::exit::Failure;

/// A checked settings file.
#[derive(Clone, Debug, Serialize)]
pub struct SettingsCheck {
    /// Its faults.
    pub faults: Vec<Fault>,
    /// Its name.
    pub file: String,
}

/// What a document leads to.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Reached {
    /// Number of services.
    pub services: usize,
    /// Number of targets.
    pub targets: usize,
    /// The version.
    pub version: Version,
}

/// A checked document.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigCheck {
    /// Faults of the document as a whole.
    pub faults: Vec<String>,
    /// Its name.
    pub file: String,
    /// What it leads to, absent if it can't be parsed.
    pub reached: Option<Reached>,
    /// Patches that no daemon accepts.
    pub skipped: Vec<Entry>,
}

impl ConfigCheck {
    /// Whether neither the document nor a patch has a fault.
    pub fn is_good(&self) -> bool {
        self.faults.is_empty() && self.skipped.is_empty()
    }
}

/// Checks a daemon's settings.
pub(super) fn settings(input: &Input) -> Result<SettingsCheck, Report<Failure>> {
    let bytes = source::bytes(input)?;
    let faults = match Settings::parse(&String::from_utf8_lossy(&bytes)) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.0,
    };
    let file = input.to_string();
    Ok(SettingsCheck { faults, file })
}

/// Checks a document and all its patches.
pub(super) fn config(input: &Input) -> Result<ConfigCheck, Report<Failure>> {
    let file = input.to_string();
    let document = match parse_document(&source::bytes(input)?) {
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
        reached: Some(Reached {
            services: reached.services.len(),
            targets: reached.targets.len(),
            version: reached.version,
        }),
        skipped: skipped.map(Entry::from).collect(),
    })
}
