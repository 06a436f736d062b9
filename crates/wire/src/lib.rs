//! Encodings between processes. No module here takes a decision.
//!
//! Invariant: whatever bytes arrive, decoding returns a value or an error; it never panics.

pub mod document;
pub mod head;
pub mod instances;
pub mod names;
pub mod peer;
pub mod trace;
