//! Scenarios of the configuration in force.

use std::collections::{BTreeMap, BTreeSet};

use hawthornwall_core::config::{ActiveConfig, Change, Delta, Document, Patch, Rules, Skipped};
use hawthornwall_core::prelude::*;

use crate::line::Line;

#[derive(Default)]
pub struct Run {
    configs: BTreeMap<String, Configuration>,
    pub active: ActiveConfig,
    patches: BTreeMap<String, Patch>,
}

impl Run {
    pub fn apply(&mut self, line: &Line<'_>) -> Vec<String> {
        match line.verb {
            "delta" => vec![self.delta(&line.word::<String>(0))],
            "config" => {
                let document = self.document(line);
                let config = document.replay().configuration;
                self.configs.insert(line.word(0), config);
                Vec::new()
            }
            "document" => {
                let document = self.document(line);
                let (offer, skipped) = self.active.offer_document(&document);
                let skipped = skipped.iter().map(|Skipped { faults, index }| {
                    let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
                    format!("skipped {index}: {}", faults.join("; "))
                });
                skipped.chain([format!("{offer:?}")]).collect()
            }
            "offer" => {
                let config = &self.configs[&line.word::<String>(0)];
                vec![format!("{:?}", self.active.offer_configuration(config))]
            }
            "patch" => {
                let patch = patch(line);
                self.patches.insert(line.word(0), patch);
                Vec::new()
            }
            "patches" => {
                let reached = &self.configs[&line.word::<String>(0)];
                let patches = self.document(line).patches;
                let offer = self
                    .active
                    .offer_patches(&patches, reached.version, reached.digest);
                vec![format!("{offer:?}")]
            }
            other => panic!("unknown event `{other}`"),
        }
    }

    pub fn state(&self) -> String {
        let config = self.active.config();
        let services: Vec<_> = config.services.values().map(|s| s.name.as_str()).collect();
        format!("{} {:016x} {services:?}", config.version, config.digest)
    }

    /// Builds the document of the arguments `of=a,b from=checkpoint`.
    fn document(&self, line: &Line<'_>) -> Document {
        let checkpoint = line.text("from").map(|name| self.configs[name].clone());
        let patches = line.text("of").into_iter().flat_map(|of| of.split(','));
        Document {
            checkpoint: checkpoint.unwrap_or_default(),
            patches: patches.map(|name| self.patches[name].clone()).collect(),
        }
    }

    fn delta(&self, config: &str) -> String {
        let peer = &self.configs[config];
        match self.active.delta(peer.version, peer.digest) {
            Delta::Checkpoint(config) => format!("checkpoint {}", config.version),
            Delta::Diverged(divergence) => format!("{divergence:?}"),
            Delta::UpToDate => "up to date".to_owned(),
            Delta::Patches(patches) => {
                let bases: Vec<_> = patches.iter().map(|p| p.base.to_string()).collect();
                format!("patches on {}", bases.join(", "))
            }
        }
    }
}

/// Builds a patch that creates one service, named like the patch unless `service=` is given.
fn patch(line: &Line<'_>) -> Patch {
    let name: String = line.word(0);
    let create = Change::CreateService {
        name: line.value("service", name),
        hosts: BTreeSet::new(),
        rules: Rules::default(),
    };
    Patch {
        author: "trainee".to_owned(),
        base: Version(line.value("base", 0)),
        changes: vec![create],
        note: line.value("note", String::new()),
        time: String::new(),
    }
}
