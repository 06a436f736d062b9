//! Fault injection: runs a deployment under constant load, injects the faults of one row at seeded
//! times, and checks the recorded history.
//!
//! Invariant: the result depends on the records alone. The injector adds only records of the
//! processes that it stops, starts, cuts off or restores.

mod callers;
mod exchange;
mod inject;
mod report;
mod rows;
mod run;
mod step;

pub use callers::{CallersOptions, Operation, run_callers};
pub use inject::Injector;
pub use report::{RowResult, render};
pub use rows::{ROWS, Row};
pub use run::{FaultOptions, OPTIONS, RunResult, run_row};
pub use step::{Action, NodeSet, ProcessKind, Step, parse_script};
