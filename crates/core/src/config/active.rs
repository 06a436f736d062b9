//! The configuration in force at one daemon.
//!
//! Invariants:
//! - the version in force never decreases;
//! - an offer is rejected if a version that it shares with the stored patches has a different
//!   digest. Such a divergence arises when the published document is replaced by an older copy and
//!   patched again. A checkpoint above the version in force can't be compared and is adopted, so
//!   operators end a divergence by publishing one.

use std::collections::{BTreeSet, VecDeque};

use super::canonical::chain_digest;
use super::{Configuration, Delta, Divergence, Document, OfferOutcome, Patch, Skipped};
use crate::ids::Version;

/// Greatest number of patches stored for peers that are a few versions behind.
const PATCH_LIMIT: usize = 256;
/// Greatest number of divergences recorded as reported; further ones are not reported.
const REPORTED_LIMIT: usize = 64;

/// An accepted patch and the digest of the version that it created.
#[derive(Clone, Debug, Eq, PartialEq)]
struct AppliedPatch {
    digest: u64,
    patch: Patch,
}

/// The configuration in force and the last patches that produced it.
///
/// ```
/// use hawthornwall_core::config::{ActiveConfig, Configuration, OfferOutcome};
///
/// let mut active = ActiveConfig::default();
/// assert_eq!(active.offer_configuration(&Configuration::default()), OfferOutcome::Same);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    config: Configuration,
    /// Digest of the version that the first stored patch is based on.
    start_digest: u64,
    reported: BTreeSet<Divergence>,
    applied: VecDeque<AppliedPatch>,
}

impl ActiveConfig {
    /// Returns the configuration in force, version 0 and empty until the first one is adopted.
    pub fn config(&self) -> &Configuration {
        &self.config
    }

    /// Offers a published document; also returns its patches that were not accepted.
    pub fn offer_document(&mut self, document: &Document) -> (OfferOutcome, Vec<Skipped>) {
        let mut reached = document.checkpoint.clone();
        let faults = reached.verify();
        if !faults.is_empty() {
            return (OfferOutcome::Invalid(faults), Vec::new());
        }
        let (mut skipped, mut applied) = (Vec::new(), VecDeque::new());
        let mut divergence = self.find_divergence(reached.version, reached.digest);
        for (index, patch) in document.patches.iter().enumerate() {
            match reached.accept(patch) {
                Ok(()) => {
                    let digest = reached.digest;
                    divergence =
                        divergence.or_else(|| self.find_divergence(reached.version, digest));
                    let patch = patch.clone();
                    applied.push_back(AppliedPatch { digest, patch });
                }
                Err(faults) => skipped.push(Skipped { faults, index }),
            }
        }
        let offer = match divergence {
            Some(divergence) => self.reject(divergence),
            None => self.adopt(reached, document.checkpoint.digest, applied),
        };
        (offer, skipped)
    }

    /// Offers the whole configuration that is in force at a peer.
    pub fn offer_configuration(&mut self, config: &Configuration) -> OfferOutcome {
        let faults = config.verify();
        if !faults.is_empty() {
            return OfferOutcome::Invalid(faults);
        }
        match self.find_divergence(config.version, config.digest) {
            Some(divergence) => self.reject(divergence),
            None => self.adopt(config.clone(), config.digest, VecDeque::new()),
        }
    }

    /// Offers patches whose last one produced `version` with `digest` at a peer.
    pub fn offer_patches(
        &mut self,
        patches: &[Patch],
        version: Version,
        digest: u64,
    ) -> OfferOutcome {
        if let Some(divergence) = self.find_divergence(version, digest) {
            return self.reject(divergence);
        }
        let (mut reached, mut applied) = (self.config.clone(), VecDeque::new());
        for patch in patches.iter().filter(|p| p.base >= self.config.version) {
            if patch.base != reached.version {
                return OfferOutcome::Gap;
            }
            if let Err(faults) = reached.accept(patch) {
                return OfferOutcome::Invalid(faults.iter().map(ToString::to_string).collect());
            }
            let (digest, patch) = (reached.digest, patch.clone());
            applied.push_back(AppliedPatch { digest, patch });
        }
        if version > reached.version {
            return OfferOutcome::Gap;
        }
        if version == reached.version && digest != reached.digest {
            let ours = reached.digest;
            return self.reject(Divergence {
                version,
                ours,
                theirs: digest,
            });
        }
        self.adopt(reached, self.config.digest, applied)
    }

    /// Returns the update for a peer that has `version` with `digest` in force.
    pub fn delta(&self, version: Version, digest: u64) -> Delta<'_> {
        if let Some(divergence) = self.find_divergence(version, digest) {
            return Delta::Diverged(divergence);
        }
        if version >= self.config.version {
            return Delta::UpToDate;
        }
        let patches = self.patches_since(version);
        if patches.is_empty() {
            return Delta::Checkpoint(&self.config);
        }
        Delta::Patches(patches)
    }

    /// Returns the patches after `version`, none if not all of them are stored any more.
    pub fn patches_since(&self, version: Version) -> Vec<&Patch> {
        let versions_behind = self.config.version.0.saturating_sub(version.0);
        let versions_behind = usize::try_from(versions_behind).unwrap_or(usize::MAX);
        let skipped = self.applied.len().checked_sub(versions_behind);
        let missing = self.applied.iter().skip(skipped.unwrap_or(usize::MAX));
        missing.map(|s| &s.patch).collect()
    }

    /// Records a divergence as reported; returns whether it is new. Returns `false` for all
    /// divergences beyond the limit.
    pub fn record_divergence(&mut self, divergence: Divergence) -> bool {
        if self.reported.len() >= REPORTED_LIMIT {
            return false;
        }
        self.reported.insert(divergence)
    }

    /// Returns the broken invariants.
    pub fn verify(&self) -> Vec<String> {
        let mut faults = self.config.verify();
        let mut digest = self.start_digest;
        let first = self.config.version.0.checked_sub(self.applied.len() as u64);
        let Some(mut version) = first else {
            faults.push("more patches are stored than versions exist".to_owned());
            return faults;
        };
        for entry in &self.applied {
            digest = chain_digest(digest, &entry.patch);
            if entry.patch.base.0 != version || entry.digest != digest {
                faults.push(format!(
                    "the patch stored for v{version} has the wrong base or digest"
                ));
            }
            version += 1;
        }
        if digest != self.config.digest {
            faults.push("the stored patches don't produce the digest in force".to_owned());
        }
        faults
    }

    /// Returns a divergence if the digest of `version` is stored and differs from `theirs`.
    fn find_divergence(&self, version: Version, theirs: u64) -> Option<Divergence> {
        let ours = self.digest_at(version)?;
        (ours != theirs).then_some(Divergence {
            version,
            ours,
            theirs,
        })
    }

    /// Returns the digest of `version`, `None` if the version is newer than the one in force or its
    /// patch is no longer stored.
    fn digest_at(&self, version: Version) -> Option<u64> {
        if version == Version(0) {
            return Some(0);
        }
        let versions_behind = self.config.version.0.checked_sub(version.0)?;
        let versions_behind = usize::try_from(versions_behind).ok()?;
        let position = self.applied.len().checked_sub(versions_behind)?;
        match position.checked_sub(1) {
            Some(last) => self.applied.get(last).map(|s| s.digest),
            None => Some(self.start_digest),
        }
    }

    fn reject(&mut self, divergence: Divergence) -> OfferOutcome {
        let first = self.record_divergence(divergence);
        OfferOutcome::Divergent { divergence, first }
    }

    /// Adopts `reached` if it is newer. `applied` are the patches that lead to it from a version
    /// with the digest `start_digest`.
    fn adopt(
        &mut self,
        reached: Configuration,
        start_digest: u64,
        applied: VecDeque<AppliedPatch>,
    ) -> OfferOutcome {
        let from = self.config.version;
        if reached.version < from {
            return OfferOutcome::Older;
        }
        if reached.version == from {
            return if reached == self.config {
                OfferOutcome::Same
            } else {
                OfferOutcome::Invalid(vec![format!(
                    "{from} has the digest of the version in force but other contents"
                )])
            };
        }
        self.append(reached.version, start_digest, applied);
        self.config = reached;
        OfferOutcome::Adopted { from }
    }

    /// Appends `applied`, whose last patch produced `version`, to the stored patches, and drops the
    /// oldest ones beyond the limit. If versions in between are missing, `applied` replaces the
    /// stored patches.
    fn append(&mut self, version: Version, start_digest: u64, applied: VecDeque<AppliedPatch>) {
        let gained = usize::try_from(version.0 - self.config.version.0).unwrap_or(usize::MAX);
        if gained <= applied.len() {
            self.applied
                .extend(applied.into_iter().rev().take(gained).rev());
        } else {
            self.start_digest = start_digest;
            self.applied = applied;
        }
        while self.applied.len() > PATCH_LIMIT {
            if let Some(dropped) = self.applied.pop_front() {
                self.start_digest = dropped.digest;
            }
        }
    }
}
