//! The versions that a document produces.

use super::{Configuration, Document, Patch, PatchFault};
use crate::ids::Version;

/// A patch of a document and its result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry<'a> {
    /// Position in the document, from 0.
    pub index: usize,
    /// The patch as published.
    pub patch: &'a Patch,
    /// The version that the patch created, or the faults for which it was skipped.
    pub result: Result<Version, Vec<PatchFault>>,
}

impl Document {
    /// Returns every patch with its version or its faults, in the order of publication.
    pub fn history(&self) -> Vec<Entry<'_>> {
        let mut reached = self.checkpoint.clone();
        let entries = self.patches.iter().enumerate();
        entries
            .map(|(index, patch)| {
                let result = reached.replay(patch).map(|next| {
                    reached = next;
                    reached.version
                });
                Entry {
                    index,
                    patch,
                    result,
                }
            })
            .collect()
    }

    /// Returns the configuration at `version`. `None` if the version is older than the checkpoint
    /// or not reached by the patches.
    pub fn at(&self, version: Version) -> Option<Configuration> {
        let mut reached = self.checkpoint.clone();
        let mut patches = self.patches.iter();
        while reached.version != version {
            if let Ok(next) = reached.replay(patches.next()?) {
                reached = next;
            }
        }
        Some(reached)
    }

    /// Returns the accepted patches that created the versions after `version`.
    pub fn accepted_since(&self, version: Version) -> Vec<Entry<'_>> {
        let after = |entry: &Entry| {
            entry
                .result
                .as_ref()
                .is_ok_and(|created| *created > version)
        };
        self.history().into_iter().filter(after).collect()
    }

    /// Returns the document with `patch` appended.
    #[must_use]
    pub fn with_patch(&self, patch: Patch) -> Self {
        let mut next = self.clone();
        next.patches.push(patch);
        next
    }

    /// Returns a document whose checkpoint is the configuration that this one reaches, without
    /// patches.
    ///
    /// ```
    /// use hawthornwall_core::config::Document;
    ///
    /// let document = Document::default();
    /// assert_eq!(document.compacted().replay().configuration, document.replay().configuration);
    /// ```
    #[must_use]
    pub fn compacted(&self) -> Self {
        Self {
            checkpoint: self.replay().configuration,
            patches: Vec::new(),
        }
    }
}
