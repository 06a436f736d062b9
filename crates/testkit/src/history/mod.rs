//! Histories of concurrent runs as JSON lines, and a checker that verifies the invariants from the
//! records alone. Callers, targets, daemons and the platform are the parties of a history.
//!
//! Invariant: a record is written by the party that it names and contains only what that party
//! observed. Changes of presence are written by the process that caused them.

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
