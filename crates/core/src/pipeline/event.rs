//! Inputs and actions of a pipeline.

use std::fmt;

use crate::routes::Repeatability;

/// Position of a request on its connection; the first request has position 0.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position(pub u64);

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "position{}", self.0)
    }
}

/// Bounds on what is in flight on one connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Number of bytes of requests and held answers from which no further request is read.
    pub bytes: usize,
    /// Maximum number of requests whose answers are not yet written; at least 1.
    pub requests: usize,
}

/// Input of a pipeline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The answer to a request is ready.
    Answered {
        /// Length of the answer.
        bytes: usize,
        /// The request.
        at: Position,
    },
    /// The caller waits for an interim response before it sends the body of the next request.
    ExpectsContinue,
    /// It is known whether a request is idempotent.
    Opened(Position, Repeatability),
    /// The next request has been read, or it can't be read and has an answer that says so.
    Read {
        /// Length of the request.
        bytes: usize,
        /// Whether the connection closes after the answer.
        close: bool,
    },
    /// No further request is read, and the caller gets no answer that says so.
    ReadEnded,
    /// The daemon stops.
    Stop,
    /// The answer in progress has been written.
    Written,
}

/// Action for the owner of a pipeline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Close the connection; nothing is in flight.
    Close,
    /// Send the interim response for which the caller waits.
    Continue,
    /// Drop a request that counts as not read.
    Discard(Position),
    /// End the read in progress, unless a part of the next request has arrived; an [`Event::ReadEnded`] or
    /// [`Event::Read`] follows.
    EndRead,
    /// Find out whether the request that has just been read is idempotent; an [`Event::Opened`] or an
    /// [`Event::Answered`] follows.
    Open(Position),
    /// Read the next request; an [`Event::Read`] or [`Event::ReadEnded`] follows.
    Read,
    /// Pass a request on.
    Start(Position),
    /// Write the answer to a request; an [`Event::Written`] follows.
    Write {
        /// Whether the answer announces that the connection closes after it.
        close: bool,
        /// The request.
        at: Position,
    },
}
