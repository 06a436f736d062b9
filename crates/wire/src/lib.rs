//! Encodings of the messages and documents that processes exchange. This crate contains no decision
//! logic.
//!
//! Invariant: decoding returns a value or an error for any input and never panics.

pub mod chunks;
pub mod document;
pub mod head;
pub mod instances;
pub mod names;
pub mod peer;
pub mod sent;
pub mod trace;
