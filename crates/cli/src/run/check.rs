//! Executes `check`.

use error_stack::Report;
use hawthornwall_core::config::Document;
use hawthornwall_core::ids::Version;
use hawthornwall_core::memory::BufferLimits;
use hawthornwall_platform::is_routes_document;
use hawthornwall_settings::{Fault, Settings};
use hawthornwall_wire::document::parse_document;
use serde::Serialize;

use super::patch::Entry;
use super::{Outcome, routes, source};
use crate::command::Input;
use crate::exit::Failure;

/// Result of checking a settings file.
#[derive(Clone, Debug, Serialize)]
pub struct SettingsCheck {
    /// All faults of the settings.
    pub faults: Vec<Fault>,
    /// The file as named on the command line.
    pub file: String,
    /// What follows from the machine; `None` if the settings have faults or don't state what it has.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limits: Option<MachineLimits>,
}

/// Limits that are derived from what the settings state of the machine. An absent one isn't limited.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct MachineLimits {
    /// Longest body of a request or response, in bytes.
    pub body: usize,
    /// Bytes that are buffered for all connections together.
    pub buffered: Option<usize>,
    /// Connections of callers, peers and the target together.
    pub connections: Option<usize>,
}

impl MachineLimits {
    fn of(settings: &Settings) -> Option<Self> {
        let machine = &settings.machine;
        if machine.memory_mib.is_none() && machine.files.is_none() {
            return None;
        }
        let limits = BufferLimits::for_machine(machine.memory_mib, machine.files);
        Some(Self {
            body: settings.body_limit().min(limits.longest_message()),
            buffered: machine.memory_mib.map(|_| limits.total),
            connections: machine.files.map(|_| limits.connections),
        })
    }
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
    let (faults, limits) = match Settings::parse(&String::from_utf8_lossy(&bytes)) {
        Ok(settings) => (Vec::new(), MachineLimits::of(&settings)),
        Err(faults) => (faults.0, None),
    };
    let file = input.to_string();
    Ok(SettingsCheck {
        faults,
        file,
        limits,
    })
}

/// Checks a configuration. A file that isn't a document with patches is taken for one of the platform's
/// store if it looks like one, or if another is to be compared with it.
pub(super) fn config(input: &Input, against: Option<&Input>) -> Result<Outcome, Report<Failure>> {
    let bytes = source::read_bytes(input)?;
    let file = input.to_string();
    if let Some(against) = against {
        let base = routes::base(against)?;
        return Ok(Outcome::Routes(routes::check(&bytes, file, Some(&base))));
    }
    Ok(match parse_document(&bytes) {
        Ok(document) => Outcome::Config(document_check(&document, file)),
        Err(_) if is_routes_document(&bytes) => Outcome::Routes(routes::check(&bytes, file, None)),
        Err(error) => Outcome::Config(ConfigCheck {
            faults: vec![error.to_string()],
            file,
            reached: None,
            skipped: Vec::new(),
        }),
    })
}

/// Checks the checkpoint of a document and all patches.
fn document_check(document: &Document, file: String) -> ConfigCheck {
    let broken = document.checkpoint.verify().into_iter();
    let history = document.history();
    let skipped = history.iter().filter(|entry| entry.result.is_err());
    let reached = document.replay().configuration;
    ConfigCheck {
        faults: broken.map(|fault| format!("checkpoint: {fault}")).collect(),
        file,
        reached: Some(ConfigSummary {
            services: reached.services.len(),
            targets: reached.targets.len(),
            version: reached.version,
        }),
        skipped: skipped.map(Entry::from).collect(),
    }
}
