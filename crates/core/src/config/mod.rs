//! The configuration aggregate: services, the rules for their requests and their targets,
//! under one version.
//!
//! Invariants:
//! - a configuration changes only by applying a [`Patch`] whose base is its version;
//! - ids are allocated in order and never reused;
//! - the version in force never decreases, and the digest of a version never changes;
//! - names are unique, and every target belongs to an existing service.

mod active;
mod canonical;
mod check;
mod diff;
mod document;
mod fields;
mod history;
mod model;
mod offer;
mod patch;
mod replay;
mod undo;
mod verify;
mod warning;

pub use active::ActiveConfig;
pub use check::SLOTS;
pub use diff::{Difference, Values};
pub use document::{Document, Replayed, Skipped};
pub use fields::Field;
pub use history::Entry;
pub use model::{Configuration, Rules, Service, Target};
pub use offer::{Delta, Divergence, OfferOutcome};
pub use patch::{Change, Patch, PatchFault, RulesChange};
pub use undo::UndoFault;
pub use warning::Warning;
