//! Outcomes of offered configurations, and the updates that are sent to peers.

use super::{Configuration, Patch};
use crate::ids::Version;

/// A version that has different digests in two histories.
///
/// Histories diverge when the published document is replaced by an older copy and patched again.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Divergence {
    /// The version that exists in both histories.
    pub version: Version,
    /// Digest of the version at this daemon.
    pub ours: u64,
    /// Digest of the version in the offer or at the peer.
    pub theirs: u64,
}

/// The outcome of an offered document, configuration or list of patches.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// The offered configuration is now in force.
    Adopted {
        /// The version that was in force before.
        from: Version,
    },
    /// The offer belongs to another history and was not adopted.
    Divergent {
        /// The version at which the histories differ.
        divergence: Divergence,
        /// Whether this divergence is reported for the first time.
        first: bool,
    },
    /// Patches between the version in force and the offered ones are missing.
    Gap,
    /// The offer breaks an invariant of configurations; lists the faults.
    Invalid(Vec<String>),
    /// The offered version is older than the version in force.
    Older,
    /// The offered configuration is already in force.
    Same,
}

/// The update that brings a peer from its version to the version in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Delta<'a> {
    /// The whole configuration, since the patches after the peer's version are no longer stored.
    Checkpoint(&'a Configuration),
    /// No update: the peer has another history.
    Diverged(Divergence),
    /// The patches after the peer's version, in order.
    Patches(Vec<&'a Patch>),
    /// No update: the peer has the version in force or a newer one.
    UpToDate,
}
