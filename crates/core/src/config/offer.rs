//! What becomes of an offered configuration, and what a peer is offered.

use super::{Configuration, Patch};
use crate::ids::Version;

/// Two histories of one version.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Divergence {
    /// The version that both histories have.
    pub version: Version,
    /// Its digest here.
    pub ours: u64,
    /// Its digest in the offer.
    pub theirs: u64,
}

/// What became of an offer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// The configuration in force is now the offered one.
    Adopted {
        /// The version before.
        from: Version,
    },
    /// The offer violates the rules of a configuration.
    Invalid(Vec<String>),
    /// The offer belongs to another history.
    Divergent {
        /// Where the histories differ.
        divergence: Divergence,
        /// Whether this is the first time that it is seen.
        first: bool,
    },
    /// The offer is older than what is in force.
    Older,
    /// The offer is what is in force.
    Same,
    /// The offered patches don't start at the version in force.
    Gap,
}

/// What brings a peer from its version to the version in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Delta<'a> {
    /// The whole configuration, since the patches are no longer kept.
    Checkpoint(&'a Configuration),
    /// Nothing: the peer has another history.
    Diverged(Divergence),
    /// Nothing: the peer has this version or a newer one.
    UpToDate,
    /// Patches in order.
    Patches(Vec<&'a Patch>),
}
