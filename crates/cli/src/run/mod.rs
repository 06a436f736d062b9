//! Carrying out commands. Results are typed; wording them is left to [`crate::print`].

mod check;
mod daemon;
mod patch;
mod source;

use std::time::SystemTime;

use error_stack::Report;
use hawthornwall_core::config::Configuration;

pub use check::{ConfigCheck, Reached, SettingsCheck};
pub use daemon::DaemonLine;
pub use patch::{Entry, Product, Verdict, Worded};

use crate::command::{CheckCommand, Command};
use crate::exit::{Exit, Failure};

/// The result of a command.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// Checked document.
    Config(ConfigCheck),
    /// Default settings with comments.
    Defaults(String),
    /// Versions of a document.
    Log(Vec<Entry>),
    /// A change, its verdict and what is printed if it is good.
    Patch(Box<Verdict>, Product),
    /// Checked settings.
    Settings(SettingsCheck),
    /// A configuration.
    Show(Configuration),
    /// States of daemons.
    Status(Vec<DaemonLine>),
}

impl Outcome {
    /// How the process ends.
    pub fn exit(&self) -> Exit {
        let good = match self {
            Self::Config(check) => check.is_good(),
            Self::Defaults(_) | Self::Log(_) | Self::Show(_) => true,
            Self::Patch(verdict, _) => verdict.faults.is_empty(),
            Self::Settings(check) => check.faults.is_empty(),
            Self::Status(lines) => {
                let unreachable = lines.iter().any(DaemonLine::is_unreachable);
                return if unreachable {
                    Exit::Unreachable
                } else {
                    Exit::Ok
                };
            }
        };
        if good { Exit::Ok } else { Exit::Faults }
    }
}

/// Carries out a command at the time `now`.
///
/// # Errors
///
/// If a file or daemon can't be read or its content isn't understood. Faults of what was read are
/// part of the outcome.
pub fn run(command: &Command, now: SystemTime) -> Result<Outcome, Report<Failure>> {
    Ok(match command {
        Command::Check(CheckCommand::Config(file)) => Outcome::Config(check::config(file)?),
        Command::Check(CheckCommand::PrintDefaults) => {
            Outcome::Defaults(hawthornwall_settings::commented_defaults())
        }
        Command::Check(CheckCommand::Settings(file)) => Outcome::Settings(check::settings(file)?),
        Command::Compact(file) => {
            let document = source::document(file)?;
            let reached = document.replay().configuration;
            let product = Product::Document(document.compacted());
            Outcome::Patch(Box::new(Verdict::between(&reached, &reached)), product)
        }
        Command::Diff { from, to } => {
            let (from, to) = (source::document(from)?, source::document(to)?);
            let configs = (from.replay().configuration, to.replay().configuration);
            let mut verdict = Verdict::between(&configs.0, &configs.1);
            let history = from.history_warning(&to).into_iter();
            verdict.warnings.extend(history.map(Into::into));
            Outcome::Patch(Box::new(verdict), Product::Words)
        }
        Command::Log(file) => {
            let document = source::document(file)?;
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
        } => patch::undo(&source::document(document)?, *version, authorship, now),
    })
}
