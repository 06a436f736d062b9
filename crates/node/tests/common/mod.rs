//! Helpers shared by the test programs of this crate.

pub mod runtime;
pub mod script;
