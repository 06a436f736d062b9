//! Log lines about configuration, each once.

use std::collections::{BTreeMap, BTreeSet};

use hawthornwall_core::config::{Configuration, Divergence, Document, PatchFault, Skipped};
use hawthornwall_core::gossip::Endpoint;
use hawthornwall_core::ids::Version;
use spdlog::{error, info, warn};

use crate::platform::ReadFault;

/// Most patches remembered as reported.
const PATCH_LIMIT: usize = 4096;

/// What has been logged.
#[derive(Debug, Default)]
pub(super) struct Reports {
    broken: BTreeMap<&'static str, Vec<String>>,
    patches: BTreeSet<u64>,
    reads: BTreeMap<Endpoint, ReadFault>,
}

impl Reports {
    pub(super) fn adopted(&mut self, from: Version, config: &Configuration, source: &'static str) {
        self.broken.remove(source);
        info!("adopted configuration", kv: {
            version: = config.version,
            previous: = from,
            digest = format!("{:016x}", config.digest),
            source,
            services = config.services.len(),
            targets = config.targets.len()
        });
    }

    /// Logs faults of an offered configuration, unless the last offer of the source had the same.
    pub(super) fn broken(&mut self, faults: Vec<String>, source: &'static str) {
        if self.broken.get(source) != Some(&faults) {
            error!("offered configuration is invalid", kv: { source, faults = faults.join("; ") });
            self.broken.insert(source, faults);
        }
    }

    /// Logs the patches not logged before, and returns all of them as text.
    pub(super) fn skipped(&mut self, document: &Document, skipped: &[Skipped]) -> Vec<String> {
        let mut texts = Vec::new();
        for Skipped { faults, index } in skipped {
            let reasons: Vec<_> = faults.iter().map(PatchFault::to_string).collect();
            let reasons = reasons.join("; ");
            let Some(patch) = document.patches.get(*index) else {
                continue;
            };
            let fresh = self.patches.len() < PATCH_LIMIT;
            if fresh && self.patches.insert(patch.fingerprint()) {
                let (author, base) = (patch.author.as_str(), patch.base);
                warn!("skipped patch", kv: { index = *index, author, base:, reasons = reasons.as_str() });
            }
            texts.push(format!("patch {index} by {}: {reasons}", patch.author));
        }
        texts
    }

    /// Logs a failed read, unless the last one failed in the same way.
    pub(super) fn read_failed(&mut self, endpoint: Endpoint, fault: &ReadFault) {
        if self.reads.get(&endpoint) != Some(fault) {
            warn!("can't read the platform", kv: { endpoint:, fault: });
            self.reads.insert(endpoint, fault.clone());
        }
    }

    pub(super) fn read_passed(&mut self, endpoint: Endpoint) {
        if self.reads.remove(&endpoint).is_some() {
            info!("the platform can be read again", kv: { endpoint: });
        }
    }
}

/// Logs two histories of one version.
pub(super) fn divergent(divergence: Divergence, source: &'static str) {
    let Divergence {
        version,
        ours,
        theirs,
    } = divergence;
    error!("divergent history is not adopted", kv: {
        version:,
        ours = format!("{ours:016x}"),
        theirs = format!("{theirs:016x}"),
        source
    });
}
