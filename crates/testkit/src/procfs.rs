//! Resource usage of a process, from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

/// Length of a tick of processor time in `/proc/<pid>/stat`, which is always 1/100 s on Linux.
const TICK: Duration = Duration::from_millis(10);

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// User and system time since the process started.
    pub cpu: Duration,
    /// Number of open `io_uring` descriptors.
    pub io_urings: usize,
    /// Resident set size in KiB.
    pub memory_kib: u64,
    /// Highest resident set size since the process started, in KiB.
    pub peak_kib: u64,
    /// Number of threads.
    pub threads: u64,
}

impl Usage {
    /// Reads the resource usage of the process `pid`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process doesn't exist or belongs to another user.
    pub fn of(pid: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        // The second field is the program name in parentheses, which may contain spaces.
        let fields = stat.rsplit(") ").next().unwrap_or_default();
        let ticks = fields.split(' ').skip(11).take(2);
        let ticks: u32 = ticks.filter_map(|t| t.parse::<u32>().ok()).sum();
        Ok(Self {
            cpu: TICK * ticks,
            io_urings: count_io_urings(pid)?,
            memory_kib: status_number(&status, "VmRSS:"),
            peak_kib: status_number(&status, "VmHWM:"),
            threads: status_number(&status, "Threads:"),
        })
    }
}

fn status_number(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|l| l.strip_prefix(name));
    let number = line.and_then(|l| l.split_whitespace().next());
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn count_io_urings(pid: u32) -> io::Result<usize> {
    let links = fs::read_dir(format!("/proc/{pid}/fd"))?.flatten();
    let targets = links.filter_map(|l| fs::read_link(l.path()).ok());
    Ok(targets
        .filter(|t| t.to_string_lossy().contains("io_uring"))
        .count())
}
