//! `hawthornwall`, the command-line tool for operators.

use std::io::Write;
use std::process::ExitCode;
use std::time::SystemTime;

use hawthornwall_cli::execute;

fn main() -> ExitCode {
    let output = execute(std::env::args_os().skip(1), SystemTime::now());
    // A write fails if the reader, such as `head`, has closed the pipe. The tool doesn't report
    // that as an error.
    let _ = std::io::stderr().write_all(output.stderr.as_bytes());
    let _ = std::io::stdout().write_all(output.stdout.as_bytes());
    output.exit.into()
}
