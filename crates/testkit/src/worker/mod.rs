//! Fake of the platform's application workers.
//!
//! A worker runs each request for a seeded time, answers with a body that names the request, and tells
//! a [`Witness`] of every run, so that a test can check from outside what has run, when and how often.

mod conduct;
mod serve;

pub use conduct::{Conduct, Quirk};
pub use serve::{Witness, Worker, WorkerPlan, WorkerRun, body_of, serve};
