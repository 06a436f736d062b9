//! Exit codes, and errors that end a command.

use std::fmt;
use std::process::ExitCode;

/// Result of the process, reported as its exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command succeeded.
    Ok,
    /// The check found faults, or a patch or undo was refused.
    Faults,
    /// The arguments are invalid.
    Usage,
    /// A file can't be read, or a daemon can't be reached or has no configuration in force yet.
    Unreachable,
    /// The content of a file or the response of a daemon can't be parsed.
    Content,
}

impl Exit {
    /// Returns the exit code, as documented in the help text.
    pub const fn code(self) -> u8 {
        match self {
            Self::Ok => 0,
            Self::Faults => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
            Self::Content => 4,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        exit.code().into()
    }
}

/// Error that prevents a command from completing, with the name of the file or the address of the
/// daemon. The cause is attached to the report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The content of a file can't be parsed.
    Content(String),
    /// A daemon can't be reached, or its response times out.
    Daemon(String),
    /// A file can't be read.
    File(String),
    /// The response of a daemon is invalid.
    Response(String),
    /// A daemon responded with a status code other than 200.
    Status {
        /// Address of the daemon.
        address: String,
        /// HTTP status code of the response.
        code: u16,
        /// Error message in the response.
        text: String,
    },
}

impl Failure {
    /// Returns the exit code for this error.
    pub const fn exit(&self) -> Exit {
        match self {
            Self::Content(_) | Self::Response(_) => Exit::Content,
            Self::Daemon(_) | Self::File(_) | Self::Status { .. } => Exit::Unreachable,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Content(name) => write!(f, "can't parse {name}"),
            Self::Daemon(address) => write!(f, "no response from the daemon at {address}"),
            Self::File(name) => write!(f, "can't read {name}"),
            Self::Status {
                address,
                code,
                text,
            } => write!(
                f,
                "the daemon at {address} responded with status {code}: {text}"
            ),
            Self::Response(address) => {
                write!(f, "invalid response from the daemon at {address}")
            }
        }
    }
}

impl std::error::Error for Failure {}
