//! Exit codes and failures.

use std::fmt;
use std::process::ExitCode;

/// How the process ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command did what was asked.
    Ok,
    /// The check found faults, or a patch or undo was refused.
    Faults,
    /// The arguments aren't understood.
    Usage,
    /// A file can't be read, or a daemon can't be reached or has nothing to show yet.
    Unreachable,
    /// The content of a file or a daemon's response isn't understood.
    Content,
}

impl Exit {
    /// The process's exit code, as documented in the help text.
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

/// Why a command couldn't be carried out. The cause is attached below it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// A file's content isn't understood.
    Content(String),
    /// A daemon can't be reached or doesn't respond in time.
    Daemon(String),
    /// A file can't be read.
    File(String),
    /// A daemon's response isn't understood.
    Response(String),
    /// A daemon responds, but not with what was asked for.
    Status {
        /// Its address.
        address: String,
        /// The response's status code.
        code: u16,
        /// What the daemon says.
        text: String,
    },
}

impl Failure {
    /// How the process ends after this failure.
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
            Self::Content(name) => write!(f, "the content of {name} isn't understood"),
            Self::Daemon(address) => write!(f, "no response from the daemon at {address}"),
            Self::File(name) => write!(f, "can't read {name}"),
            Self::Status {
                address,
                code,
                text,
            } => write!(f, "the daemon at {address} responds with {code}: {text}"),
            Self::Response(address) => {
                write!(
                    f,
                    "the response of the daemon at {address} isn't understood"
                )
            }
        }
    }
}

impl std::error::Error for Failure {}
