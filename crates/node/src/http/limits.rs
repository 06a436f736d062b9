//! Limits on messages, and reasons why a message was not read.

use std::fmt;
use std::io;
use std::time::Duration;

use hawthornwall_wire::head::HeadFault;

/// Limits on the size and the progress of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a body, in bytes.
    pub body: usize,
    /// Maximum size of a head, in bytes.
    pub head: usize,
    /// Maximum time between two arrivals of bytes, and for one write.
    pub idle: Duration,
}

/// Reason why no complete message was read.
#[derive(Debug)]
pub enum ReadFault {
    /// The connection was closed between two messages.
    Closed,
    /// The connection was closed within a message.
    Incomplete,
    /// The head is invalid or exceeds its limit.
    Head(HeadFault),
    /// No bytes arrived within [`Limits::idle`].
    Idle,
    /// The socket returned an error.
    Io(io::Error),
    /// The body or its framing is invalid.
    Malformed(String),
    /// The memory for requests in progress is in use.
    Memory,
    /// The body exceeds [`Limits::body`].
    TooLarge,
}

impl fmt::Display for ReadFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("the connection closed"),
            Self::Incomplete => f.write_str("the connection closed within a message"),
            Self::Head(fault) => fault.fmt(f),
            Self::Idle => f.write_str("nothing arrived within the idle time"),
            Self::Io(e) => write!(f, "the connection failed: {e}"),
            Self::Malformed(reason) => write!(f, "malformed body: {reason}"),
            Self::Memory => f.write_str("the memory for requests in progress is in use"),
            Self::TooLarge => f.write_str("the body exceeds the size limit"),
        }
    }
}

impl std::error::Error for ReadFault {}
