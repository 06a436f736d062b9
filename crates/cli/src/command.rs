//! Commands of the tool and their arguments.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use hawthornwall_core::config::Change;
use hawthornwall_core::ids::Version;

/// A file named on the command line; `-` is standard input.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Input(pub PathBuf);

impl Input {
    /// Whether the name is `-`, which stands for standard input.
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
    /// The configuration in force at the daemon with this `admin.listen` address.
    Daemon(SocketAddr),
    /// The configuration that results from a document.
    File(Input),
}

/// Author and note that a new patch records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Authorship {
    /// Name of the person who writes the patch.
    pub author: String,
    /// Reason for the patch.
    pub note: String,
}

/// Arguments of `check`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CheckCommand {
    /// Checks a configuration.
    Config {
        /// A document with patches, or a configuration in the form of the platform's store.
        file: Input,
        /// The configuration of the platform's store to compare with.
        against: Option<Input>,
    },
    /// Prints the default settings; checks nothing.
    PrintDefaults,
    /// Checks the settings of a daemon.
    Settings(Input),
}

/// Arguments of the commands under `patch`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PatchCommand {
    /// Prints the document with the patch appended.
    Add {
        /// The document to append to.
        document: Input,
        /// The patch to append.
        patch: Input,
    },
    /// Lists the faults of a patch.
    Check {
        /// The configuration that the patch applies to.
        source: Source,
        /// The patch to read.
        patch: Input,
    },
    /// Lists the differences that a patch makes.
    Diff {
        /// The configuration that the patch applies to.
        source: Source,
        /// The patch to read.
        patch: Input,
    },
    /// Creates a patch and prints it.
    New {
        /// Author and note of the new patch.
        authorship: Authorship,
        /// Changes of the patch in the order of the arguments.
        changes: Vec<Change>,
        /// The configuration that the patch is based on.
        source: Source,
    },
}

/// A command with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Checks settings or a configuration document.
    Check(CheckCommand),
    /// Prints a document whose checkpoint includes all accepted patches.
    Compact(Input),
    /// Lists the differences between two documents.
    Diff {
        /// The document to compare from.
        from: Input,
        /// The document to compare to.
        to: Input,
    },
    /// Lists the patches of a document with the versions that they created.
    Log(Input),
    /// Creates, checks, explains or appends a patch.
    Patch(PatchCommand),
    /// Prints the services, sharing rules and targets of a configuration.
    Show(Source),
    /// Queries the status of daemons.
    Status(Vec<SocketAddr>),
    /// Creates a patch that reverts one version.
    Undo {
        /// Author and note of the new patch.
        authorship: Authorship,
        /// The document whose history contains the version.
        document: Input,
        /// The version to revert.
        version: Version,
    },
}
