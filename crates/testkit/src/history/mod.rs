//! Histories of concurrent runs: what callers, targets and daemons did, as JSON lines.
//!
//! Invariant: a record is written by the party that it names, from its own view only.

mod record;
mod writer;

pub use record::{Event, Record};
pub use writer::{Writer, read_records};
