//! The configuration aggregate: services, their sharing rules and their targets, under one version.
//!
//! Rules kept here:
//! - a configuration changes only by folding a [`Patch`] whose base is its version;
//! - ids are allocated in order and never reused;
//! - names are unique, and every target belongs to an existing service.

mod document;
mod fold;
mod model;
mod patch;

pub use document::{Document, Folded, Skipped};
pub use model::{Configuration, Rules, Service, Target};
pub use patch::{Change, Patch, PatchFault, RulesChange};
