//! The configuration aggregate: services, their sharing rules and their targets, under one version.
//!
//! Rules kept here:
//! - a configuration changes only by folding a [`Patch`] whose base is its version;
//! - ids are allocated in order and never reused;
//! - names are unique, and every target belongs to an existing service.

mod diff;
mod document;
mod fold;
mod history;
mod model;
mod patch;
mod undo;
mod warning;

pub use diff::{Difference, Field, Values};
pub use document::{Document, Folded, Skipped};
pub use history::Entry;
pub use model::{Configuration, Rules, Service, Target};
pub use patch::{Change, Patch, PatchFault, RulesChange};
pub use undo::UndoFault;
pub use warning::Warning;
