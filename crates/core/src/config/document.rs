//! The published document: a checkpoint and the ordered patches since.
//!
//! Invariant: the configuration reached depends on the document alone, and skipped patches are the
//! same at every reader.

use serde::{Deserialize, Serialize};

use super::{Configuration, Patch, PatchFault};

/// What the platform publishes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// A configuration reached earlier, so that old patches need not be kept.
    #[serde(default)]
    pub checkpoint: Configuration,
    /// Patches in the order of publication.
    #[serde(default)]
    pub patches: Vec<Patch>,
}

/// A patch that was not accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Skipped {
    /// Its faults.
    pub faults: Vec<PatchFault>,
    /// Its position in the document, from 0.
    pub index: usize,
}

/// The result of reading a document.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replayed {
    /// The configuration reached.
    pub configuration: Configuration,
    /// The patches that were not accepted.
    pub skipped: Vec<Skipped>,
}

impl Document {
    /// Folds all patches in order; one that can't be accepted changes nothing.
    pub fn replay(&self) -> Replayed {
        let mut replayed = Replayed {
            configuration: self.checkpoint.clone(),
            skipped: Vec::new(),
        };
        for (index, patch) in self.patches.iter().enumerate() {
            if let Err(faults) = replayed.configuration.accept(patch) {
                replayed.skipped.push(Skipped { faults, index });
            }
        }
        replayed
    }
}
