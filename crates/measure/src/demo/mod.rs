//! Demonstration: a complete deployment under load. Direct calls in the same run measure the
//! latency that the daemons add.

mod figures;
mod measure;
mod report;
mod run;

pub use figures::{DaemonFigures, Figures, LatencyFigures, ProbeFigures};
pub use report::render;
pub use run::{DemoError, DemoOptions, OPTIONS, run_demo};
