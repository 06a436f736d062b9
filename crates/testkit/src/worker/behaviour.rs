//! How a worker behaves.

use std::time::Duration;

/// A fault in how a worker answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Quirk {
    /// Runs the request and closes the connection without an answer.
    AnswerLost,
    /// Answers that it closes the connection, and does.
    Close,
    /// Answers 500.
    Error,
    /// Answers, then sends a second answer to the same request a little later.
    Extra,
    /// Runs the request and never answers.
    Hang,
    /// Answers as it should.
    #[default]
    None,
    /// Refuses without running.
    Shed,
    /// Breaks off within the answer's body.
    Truncate,
    /// Answers without a length and closes the connection.
    Unframed,
}

/// How a worker behaves until it is told otherwise.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Conduct {
    /// Percent of the requests that the quirk befalls.
    pub percent: u32,
    /// The quirk.
    pub quirk: Quirk,
    /// Percent of the usual time that work takes.
    pub slowdown: u32,
    /// Mean of the usual time.
    pub work: Duration,
}

impl Default for Conduct {
    fn default() -> Self {
        Self {
            percent: 0,
            quirk: Quirk::None,
            slowdown: 100,
            work: Duration::from_millis(20),
        }
    }
}
