//! `hawthornwall`, the operators' tool.
//!
//! Three steps that know nothing of each other: [`parse`] turns arguments into a closed set of
//! commands, [`run`] carries one out, [`print`] words the result. The tool reads files and daemons
//! and writes to its own output only; it never writes shared state.

pub mod command;
pub mod exit;
pub mod help;
pub mod parse;
pub mod print;
pub mod run;

use std::ffi::OsString;
use std::time::SystemTime;

use crate::exit::Exit;
use crate::parse::Request;

/// What the process prints and how it ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finished {
    /// How the process ends.
    pub exit: Exit,
    /// Text for standard error.
    pub stderr: String,
    /// Text for standard output.
    pub stdout: String,
}

/// Runs the tool with its arguments, without the program's name.
///
/// ```
/// use std::time::SystemTime;
/// use hawthornwall_cli::{exit::Exit, execute};
///
/// let finished = execute(["check", "--print-defaults"].map(Into::into), SystemTime::now());
/// assert_eq!(finished.exit, Exit::Ok);
/// assert!(finished.stdout.contains("\"caller\""));
/// ```
pub fn execute(args: impl IntoIterator<Item = OsString>, now: SystemTime) -> Finished {
    let finished = |exit, stdout: String, stderr: String| Finished {
        exit,
        stderr,
        stdout,
    };
    match parse::parse(args) {
        Err(fault) => finished(
            Exit::Usage,
            String::new(),
            format!("hawthornwall: {fault}\n"),
        ),
        Ok(Request::Help(topic)) => finished(Exit::Ok, topic.text().to_owned(), String::new()),
        Ok(Request::Version) => {
            let version = format!("hawthornwall {}\n", env!("CARGO_PKG_VERSION"));
            finished(Exit::Ok, version, String::new())
        }
        Ok(Request::Run { command, json }) => match run::run(&command, now) {
            Err(failure) => {
                let exit = failure.current_context().exit();
                finished(exit, String::new(), format!("hawthornwall: {failure:#}\n"))
            }
            Ok(outcome) => {
                let (stdout, stderr) = if json {
                    (print::json(&outcome), String::new())
                } else {
                    print::text(&outcome)
                };
                finished(outcome.exit(), stdout, stderr)
            }
        },
    }
}
