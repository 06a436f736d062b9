//! `hawthornwall`, the command-line tool for operators.
//!
//! A command passes through three independent steps: [`parse`] turns the arguments into a
//! [`Command`](command::Command), [`run`] executes it, and [`print`] formats the result. The tool
//! reads files and queries daemons. It writes only to standard output and standard error, never to
//! shared state.

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

/// Output and exit code of the process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Output {
    /// Determines the exit code.
    pub exit: Exit,
    /// Text for standard error.
    pub stderr: String,
    /// Text for standard output.
    pub stdout: String,
}

/// Parses the arguments, which don't include the program's name, and runs the command. `now` is the
/// creation time of new patches.
///
/// ```
/// use std::time::SystemTime;
/// use hawthornwall_cli::{exit::Exit, execute};
///
/// let output = execute(["check", "--print-defaults"].map(Into::into), SystemTime::now());
/// assert_eq!(output.exit, Exit::Ok);
/// assert!(output.stdout.contains("\"caller\""));
/// ```
pub fn execute(args: impl IntoIterator<Item = OsString>, now: SystemTime) -> Output {
    let output = |exit, stdout: String, stderr: String| Output {
        exit,
        stderr,
        stdout,
    };
    match parse::parse(args) {
        Err(fault) => output(
            Exit::Usage,
            String::new(),
            format!("hawthornwall: {fault}\n"),
        ),
        Ok(Request::Help(topic)) => output(Exit::Ok, topic.text().to_owned(), String::new()),
        Ok(Request::Version) => {
            let version = format!("hawthornwall {}\n", env!("CARGO_PKG_VERSION"));
            output(Exit::Ok, version, String::new())
        }
        Ok(Request::Run { command, json }) => match run::run(&command, now) {
            Err(failure) => {
                let exit = failure.current_context().exit();
                output(exit, String::new(), format!("hawthornwall: {failure:#}\n"))
            }
            Ok(outcome) => {
                let (stdout, stderr) = if json {
                    (print::json(&outcome), String::new())
                } else {
                    print::text(&outcome)
                };
                output(outcome.exit(), stdout, stderr)
            }
        },
    }
}
