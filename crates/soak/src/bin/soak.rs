//! `soak [--seed N] [--seeds N] [--seconds N] [--daemons N] [--callers N] [--keep true]`
//!
//! Runs a soak test for each seed. Exits with status 1 if an invariant is violated or a test can't be run.
//! The logs of a seed with violations are kept.

use std::error::Error;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use hawthornwall_soak::Options;
use hawthornwall_testkit::arguments::Arguments;
use signal_hook::consts::{SIGINT, SIGTERM};

/// Names of the command line options.
const OPTIONS: [&str; 6] = ["seed", "seeds", "seconds", "daemons", "callers", "keep"];
/// Default time in seconds after which no new round starts.
const DEFAULT_SECONDS: u64 = 30;
/// Default number of daemons.
const DEFAULT_DAEMONS: usize = 6;
/// Default number of callers per daemon.
const CALLERS_PER_DAEMON: usize = 5;
/// Lowest second octet of the loopback addresses.
const FIRST_NETWORK: u32 = 16;
/// Number of second octets to choose from.
const NETWORKS: u32 = 200;

/// Returns a different second octet for each soak test of this process, since listeners of an earlier one
/// may still be open.
fn network(run_number: u32) -> Result<u8, std::num::TryFromIntError> {
    u8::try_from(FIRST_NETWORK + (std::process::id() + run_number) % NETWORKS)
}

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let arguments = Arguments::from_env(&OPTIONS)?;
    let first: u64 = arguments.optional("seed")?.unwrap_or(1);
    let seeds: u64 = arguments.optional("seeds")?.unwrap_or(1);
    let seconds: u64 = arguments.optional("seconds")?.unwrap_or(DEFAULT_SECONDS);
    let daemons = arguments.optional("daemons")?.unwrap_or(DEFAULT_DAEMONS);
    let callers = arguments.optional("callers")?;
    let keep = arguments.optional("keep")?.unwrap_or(false);
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&interrupted))?;
    }
    let mut clean = true;
    for (run_number, seed) in (0..).zip(first..first + seeds) {
        println!("seed {seed}");
        let options = Options {
            callers: callers.unwrap_or(daemons * CALLERS_PER_DAEMON),
            daemons,
            keep: true,
            length: Duration::from_secs(seconds),
            network: network(run_number)?,
            seed,
        };
        let summary = hawthornwall_soak::run(&options, &interrupted)?;
        println!("seed {seed}: {summary}");
        if summary.violations.is_empty() && !keep {
            std::fs::remove_dir_all(&summary.folder)?;
        } else {
            clean &= summary.violations.is_empty();
            println!("  reproduce: soak --seed {seed} --seconds {seconds} --daemons {daemons}");
            println!("  logs: {}", summary.folder);
        }
        for violation in &summary.violations {
            println!("  {violation}");
        }
        if summary.interrupted {
            break;
        }
    }
    Ok(if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
