//! Executes commands. The results are typed values, which [`crate::print`] formats.

mod check;
mod daemon;
mod patch;
mod routes;
mod source;

use std::time::SystemTime;

use error_stack::Report;
use hawthornwall_core::config::Configuration;

pub use check::{ConfigCheck, ConfigSummary, MachineLimits, SettingsCheck};
pub use daemon::DaemonStatus;
pub use patch::{Artifact, ChangeReport, Entry, WithText};
pub use routes::{Reviewed, RoutesCheck, Severity};

use crate::command::{CheckCommand, Command};
use crate::exit::{Exit, Failure};

/// The result of a command.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// Result of checking a configuration document.
    Config(ConfigCheck),
    /// The default settings, with comments.
    Defaults(String),
    /// The patches of a document.
    Log(Vec<Entry>),
    /// A report on a change, and what is printed if the change has no faults.
    Patch(Box<ChangeReport>, Artifact),
    /// Result of checking a configuration in the form of the platform's store.
    Routes(RoutesCheck),
    /// Result of checking settings.
    Settings(SettingsCheck),
    /// The configuration to print.
    Show(Configuration),
    /// Status of each queried daemon, in the order of the arguments.
    Status(Vec<DaemonStatus>),
}

impl Outcome {
    /// Returns the exit code for this result.
    pub fn exit(&self) -> Exit {
        let succeeded = match self {
            Self::Config(check) => check.is_good(),
            Self::Defaults(_) | Self::Log(_) | Self::Show(_) => true,
            Self::Patch(report, _) => report.faults.is_empty(),
            Self::Routes(check) => check.errors == 0,
            Self::Settings(check) => check.faults.is_empty(),
            Self::Status(lines) => {
                let unreachable = lines.iter().any(DaemonStatus::is_unreachable);
                return if unreachable {
                    Exit::Unreachable
                } else {
                    Exit::Ok
                };
            }
        };
        if succeeded { Exit::Ok } else { Exit::Faults }
    }
}

/// Executes a command. `now` is the creation time of a new patch.
///
/// # Errors
///
/// Returns an error if a file can't be read, a daemon can't be reached, or the content can't be
/// parsed. Faults in the content are part of the outcome.
pub fn run(command: &Command, now: SystemTime) -> Result<Outcome, Report<Failure>> {
    Ok(match command {
        Command::Check(CheckCommand::Config { file, against }) => {
            check::config(file, against.as_ref())?
        }
        Command::Check(CheckCommand::PrintDefaults) => {
            Outcome::Defaults(hawthornwall_settings::commented_defaults())
        }
        Command::Check(CheckCommand::Settings(file)) => Outcome::Settings(check::settings(file)?),
        Command::Compact(file) => {
            let document = source::read_document(file)?;
            let reached = document.replay().configuration;
            let artifact = Artifact::Document(document.compacted());
            Outcome::Patch(
                Box::new(ChangeReport::between(&reached, &reached)),
                artifact,
            )
        }
        Command::Diff { from, to } => {
            let (from, to) = (source::read_document(from)?, source::read_document(to)?);
            let configs = (from.replay().configuration, to.replay().configuration);
            let mut report = ChangeReport::between(&configs.0, &configs.1);
            let history = from.history_warning(&to).into_iter();
            report.warnings.extend(history.map(Into::into));
            Outcome::Patch(Box::new(report), Artifact::Text)
        }
        Command::Log(file) => {
            let document = source::read_document(file)?;
            Outcome::Log(document.history().iter().map(Entry::from).collect())
        }
        Command::Patch(command) => patch::run(command, now)?,
        Command::Show(source) => Outcome::Show(source::load(source)?.replay().configuration),
        Command::Status(addresses) => {
            Outcome::Status(addresses.iter().copied().map(daemon::status).collect())
        }
        Command::Undo {
            authorship,
            document,
            version,
        } => patch::undo(&source::read_document(document)?, *version, authorship, now),
    })
}
