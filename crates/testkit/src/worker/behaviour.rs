//! Behaviour of a worker and the faults in its answers.

use std::time::Duration;

/// Fault in a worker's answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AnswerFault {
    /// Runs the request and closes the connection without an answer.
    AnswerLost,
    /// Sends `connection: close` with the answer and closes the connection.
    Close,
    /// Runs the request and answers with status 500.
    Error,
    /// Sends a second answer to the same request shortly after the first.
    Extra,
    /// Runs the request and never answers.
    Hang,
    /// Answers correctly.
    #[default]
    None,
    /// Refuses the request without running it.
    Shed,
    /// Closes the connection within the body of the answer.
    Truncate,
    /// Sends the answer without a length; closing the connection ends its body.
    Unframed,
}

/// Settings of a worker that can be changed while it runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerBehaviour {
    /// Percentage of requests that the fault affects.
    pub percent: u32,
    /// Fault of the affected requests.
    pub answer_fault: AnswerFault,
    /// Service time as a percentage of the usual one.
    pub slowdown: u32,
    /// Mean service time at a `slowdown` of 100.
    pub work: Duration,
}

impl Default for WorkerBehaviour {
    fn default() -> Self {
        Self {
            percent: 0,
            answer_fault: AnswerFault::None,
            slowdown: 100,
            work: Duration::from_millis(20),
        }
    }
}
