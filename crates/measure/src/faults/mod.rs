//! Fault injection: a deployment under a steady load, one row of faults at seeded times, and the
//! history checker's verdict.
//!
//! Invariant: the verdict is drawn from the records alone; the injector only adds the changes of
//! presence that it causes.

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
pub use step::{Action, NodeSet, Part, Step, parse_script};
