//! Histories of concurrent runs: what callers, targets and daemons did, as JSON lines, and the checker
//! that decides from the records alone whether the invariants held.
//!
//! Invariant: a record is written by the party that it names, from its own view only; changes of
//! presence are written by whoever caused them.

mod check;
mod invariants;
mod record;
mod report;
mod view;
mod writer;

pub use check::{Limits, check};
pub use record::{Change, Event, Record};
pub use report::{Invariant, Report, Violation};
pub use view::{HistoryFault, View};
pub use writer::{Writer, read_records};
