//! The closed set of commands.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use hawthornwall_core::config::Change;
use hawthornwall_core::ids::Version;

/// A file named on the command line; `-` is standard input.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Input(pub PathBuf);

impl Input {
    /// Whether it is standard input.
    pub fn is_stdin(&self) -> bool {
        self.0.as_os_str() == "-"
    }
}

impl fmt::Display for Input {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_stdin() {
            f.write_str("standard input")
        } else {
            self.0.display().fmt(f)
        }
    }
}

/// Where a configuration comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// The operators' listener of a daemon.
    Daemon(SocketAddr),
    /// A document.
    File(Input),
}

/// Who writes a patch and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Authorship {
    /// Who.
    pub author: String,
    /// Why.
    pub note: String,
}

/// What is checked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CheckCommand {
    /// A configuration document.
    Config(Input),
    /// Nothing; the default settings are printed.
    PrintDefaults,
    /// A daemon's settings.
    Settings(Input),
}

/// What is done with a patch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PatchCommand {
    /// Prints the document with the patch appended.
    Add {
        /// The document.
        document: Input,
        /// The patch.
        patch: Input,
    },
    /// Lists the patch's faults.
    Check {
        /// The configuration that it is meant for.
        source: Source,
        /// The patch.
        patch: Input,
    },
    /// Tells what the patch changes.
    Diff {
        /// The configuration that it is meant for.
        source: Source,
        /// The patch.
        patch: Input,
    },
    /// Prints a new patch.
    New {
        /// Who and why.
        authorship: Authorship,
        /// The changes.
        changes: Vec<Change>,
        /// The configuration that it is based on.
        source: Source,
    },
}

/// One command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Checks a file.
    Check(CheckCommand),
    /// Prints a document whose checkpoint holds all patches.
    Compact(Input),
    /// Tells what differs between two documents.
    Diff {
        /// The document before.
        from: Input,
        /// The document after.
        to: Input,
    },
    /// Lists the versions of a document.
    Log(Input),
    /// Works on a patch.
    Patch(PatchCommand),
    /// Shows services, rules and targets.
    Show(Source),
    /// Shows the state of daemons.
    Status(Vec<SocketAddr>),
    /// Prints the patch that takes back a version.
    Undo {
        /// Who and why.
        authorship: Authorship,
        /// The document.
        document: Input,
        /// The version.
        version: Version,
    },
}
