//! Fake application workers of the platform.
//!
//! A worker runs each request for a random time drawn from its seed and answers with a body that
//! identifies the request. It reports each run through a [`RunSender`], so that a test can check
//! which requests ran, when and how often.

mod behaviour;
mod serve;

pub use behaviour::{AnswerFault, WorkerBehaviour};
pub use serve::{RunSender, Worker, WorkerOptions, WorkerRun, answer_body, serve};
