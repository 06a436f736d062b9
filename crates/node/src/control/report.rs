//! Log lines about configuration and platform reads, without repetition.

use std::collections::{BTreeMap, BTreeSet};

use hawthornwall_core::config::{Configuration, Divergence, Document, PatchFault, Skipped};
use hawthornwall_core::gossip::Endpoint;
use hawthornwall_core::ids::Version;
use spdlog::{error, info, warn};

use crate::platform::ReadFault;

/// Maximum number of patches logged as skipped; further ones are not logged.
const PATCH_LIMIT: usize = 4096;

/// Records what has been logged.
#[derive(Debug, Default)]
pub(super) struct Reports {
    /// The last faults logged, by source.
    invalid: BTreeMap<&'static str, Vec<String>>,
    /// Fingerprints of skipped patches that have been logged.
    patches: BTreeSet<u64>,
    /// The last fault of each endpoint whose latest read failed.
    reads: BTreeMap<Endpoint, ReadFault>,
}

impl Reports {
    pub(super) fn adopted(&mut self, from: Version, config: &Configuration, source: &'static str) {
        self.invalid.remove(source);
        info!("adopted configuration", kv: {
            version: = config.version,
            previous: = from,
            digest = format!("{:016x}", config.digest),
            source,
            services = config.services.len(),
            targets = config.targets.len()
        });
    }

    /// Logs the faults of an offered configuration, unless those last logged for the source are equal.
    pub(super) fn invalid(&mut self, faults: Vec<String>, source: &'static str) {
        if self.invalid.get(source) != Some(&faults) {
            error!("offered configuration is invalid", kv: { source, faults = faults.join("; ") });
            self.invalid.insert(source, faults);
        }
    }

    /// Logs each skipped patch that has not been logged yet, and returns descriptions of all of them.
    pub(super) fn skipped(&mut self, document: &Document, skipped: &[Skipped]) -> Vec<String> {
        let mut texts = Vec::new();
        for Skipped { faults, index } in skipped {
            let reasons: Vec<_> = faults.iter().map(PatchFault::to_string).collect();
            let reasons = reasons.join("; ");
            let Some(patch) = document.patches.get(*index) else {
                continue;
            };
            let has_room = self.patches.len() < PATCH_LIMIT;
            if has_room && self.patches.insert(patch.fingerprint()) {
                let (author, base) = (patch.author.as_str(), patch.base);
                warn!("skipped patch", kv: { index = *index, author, base:, reasons = reasons.as_str() });
            }
            texts.push(format!("patch {index} by {}: {reasons}", patch.author));
        }
        texts
    }

    /// Logs a failed read, unless the previous read of the endpoint failed with the same fault.
    pub(super) fn read_failed(&mut self, endpoint: Endpoint, fault: &ReadFault) {
        if self.reads.get(&endpoint) != Some(fault) {
            warn!("failed to read from the platform", kv: { endpoint:, fault: });
            self.reads.insert(endpoint, fault.clone());
        }
    }

    pub(super) fn read_succeeded(&mut self, endpoint: Endpoint) {
        if self.reads.remove(&endpoint).is_some() {
            info!("reading from the platform succeeds again", kv: { endpoint: });
        }
    }
}

/// Logs that a version has different digests here and at the source.
pub(super) fn divergent(divergence: Divergence, source: &'static str) {
    let Divergence {
        version,
        ours,
        theirs,
    } = divergence;
    error!("rejected configuration with a divergent history", kv: {
        version:,
        ours = format!("{ours:016x}"),
        theirs = format!("{theirs:016x}"),
        source
    });
}
