//! The published document: a checkpoint and the ordered patches that follow it.
//!
//! Invariant: the resulting configuration depends on the document alone, so every reader skips the
//! same patches.

use serde::{Deserialize, Serialize};

use super::{Configuration, Patch, PatchFault};

/// The document that the platform publishes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The configuration that the patches start from. Patches before it are no longer needed.
    #[serde(default)]
    pub checkpoint: Configuration,
    /// Patches after the checkpoint, in the order of publication.
    #[serde(default)]
    pub patches: Vec<Patch>,
}

/// A patch that was not accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Skipped {
    /// Why the patch was not accepted.
    pub faults: Vec<PatchFault>,
    /// Position of the patch in the document, from 0.
    pub index: usize,
}

/// The result of replaying a document.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replayed {
    /// The configuration after the last accepted patch.
    pub configuration: Configuration,
    /// The patches that were not accepted, in order.
    pub skipped: Vec<Skipped>,
}

impl Document {
    /// Applies all patches to the checkpoint in order. A patch that isn't accepted changes nothing.
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
