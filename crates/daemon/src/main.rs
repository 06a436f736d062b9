//! `hawthornwalld`, the process that runs beside each target.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use hawthornwall_node::daemon;
use hawthornwall_node::reload::Reload;
use hawthornwall_node::telemetry::log;
use hawthornwall_node::telemetry::trace;
use hawthornwall_settings::Settings;
use lexopt::prelude::*;

/// Exit code: the command line is invalid.
const EXIT_USAGE: u8 = 2;
/// Exit code: the settings can't be read or are invalid.
const EXIT_SETTINGS: u8 = 3;
/// Exit code: logging, a listener or the event loop can't be started.
const EXIT_START: u8 = 4;

const HELP: &str = "\
hawthornwalld: the load balancer's daemon beside one target

Usage: hawthornwalld --settings FILE

Options:
  --settings FILE  settings, JSON with comments (see hawthornwall check --print-defaults)
  --help           show this text
  --version        show the version

Signals:
  HUP              reread the settings and log what a restart would change
  TERM, INT        finish the requests in flight, then exit; a TERM during the stop changes nothing
  INT, later       during a stop: exit at once and cut the requests in flight

Exit codes:
  0  stopped by a signal
  2  invalid command line
  3  settings can't be read or are invalid
  4  a listener or the event loop can't be started
";

enum Command {
    Help,
    Run(PathBuf),
    Version,
}

fn main() -> ExitCode {
    match parse_args() {
        Ok(Command::Help) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Command::Version) => {
            println!("hawthornwalld {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Command::Run(path)) => run(&path),
        Err(e) => {
            eprintln!("hawthornwalld: {e}; see --help");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn parse_args() -> Result<Command, lexopt::Error> {
    let mut settings = None;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("help") | Short('h') => return Ok(Command::Help),
            Long("version") | Short('V') => return Ok(Command::Version),
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Long(_) | Short(_) | Value(_) => return Err(arg.unexpected()),
        }
    }
    settings
        .map(Command::Run)
        .ok_or_else(|| "--settings is missing".into())
}

fn run(path: &Path) -> ExitCode {
    let settings = match load(path) {
        Ok(settings) => settings,
        Err(text) => {
            eprintln!("hawthornwalld: {text}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if let Err(e) = start_telemetry(&settings) {
        eprintln!("hawthornwalld: logging can't be started: {e}");
        return ExitCode::from(EXIT_START);
    }
    let reload = Reload {
        current: settings.clone(),
        path: path.to_owned(),
    };
    match daemon::run(&settings, reload) {
        Ok(()) => {
            trace::flush();
            ExitCode::SUCCESS
        }
        Err(report) => {
            eprintln!("hawthornwalld: {report:?}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn load(path: &Path) -> Result<Settings, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Settings::parse(&text).map_err(|faults| format!("{}:\n{faults}", path.display()))
}

fn start_telemetry(settings: &Settings) -> Result<(), Box<dyn std::error::Error>> {
    log::init(settings.log.level)?;
    trace::init(log::span_logger()?);
    Ok(())
}
