//! `hawthornwall`, the operators' tool.

use std::io::Write;
use std::process::ExitCode;
use std::time::SystemTime;

use hawthornwall_cli::execute;

fn main() -> ExitCode {
    let finished = execute(std::env::args_os().skip(1), SystemTime::now());
    // A reader that has gone, as `head`, is no failure of the tool.
    let _ = std::io::stderr().write_all(finished.stderr.as_bytes());
    let _ = std::io::stdout().write_all(finished.stdout.as_bytes());
    finished.exit.into()
}
