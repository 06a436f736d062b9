//! The configuration aggregate: services, their sharing rules and their targets, under one version.
//!
//! Rules kept here:
//! - a configuration changes only by folding a [`Patch`] whose base is its version;
//! - ids are allocated in order and never reused;
//! - the version in force never goes back, and one version never changes its digest;
//! - names are unique, and every target belongs to an existing service.

mod canonical;
mod check;
mod diff;
mod document;
mod fields;
mod fold;
mod force;
mod history;
mod model;
mod offer;
mod patch;
mod undo;
mod verify;
mod warning;

pub use diff::{Difference, Values};
pub use document::{Document, Folded, Skipped};
pub use fields::Field;
pub use force::InForce;
pub use history::Entry;
pub use model::{Configuration, Rules, Service, Target};
pub use offer::{Delta, Divergence, Offer};
pub use patch::{Change, Patch, PatchFault, RulesChange};
pub use undo::UndoFault;
pub use warning::Warning;
