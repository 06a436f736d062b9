//! The demonstration: a whole deployment under load, with direct calls in the same run.

mod figures;
mod measure;
mod report;
mod run;

pub use figures::{DaemonFigures, Figures, LatencyFigures, ProbeFigures};
pub use report::render;
pub use run::{DemoError, DemoOptions, OPTIONS, run_demo};
