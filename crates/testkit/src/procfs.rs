//! Processor time, memory and descriptors of a process, from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

/// Length of one tick of processor time in `/proc/<pid>/stat`; Linux fixes it at 1/100 s.
const TICK: Duration = Duration::from_millis(10);

/// What one process uses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Processor time since its start, user and system.
    pub cpu: Duration,
    /// Open `io_uring` descriptors.
    pub io_urings: usize,
    /// Resident memory, in KiB.
    pub memory_kib: u64,
    /// Threads.
    pub threads: u64,
}

impl Usage {
    /// Reads the usage of the process `pid`.
    ///
    /// # Errors
    ///
    /// The process doesn't exist or belongs to another user.
    pub fn of(pid: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        // The second field is the program's name in brackets, which may hold blanks.
        let fields = stat.rsplit(") ").next().unwrap_or_default();
        let ticks = fields.split(' ').skip(11).take(2);
        let ticks: u32 = ticks.filter_map(|t| t.parse::<u32>().ok()).sum();
        Ok(Self {
            cpu: TICK * ticks,
            io_urings: count_io_urings(pid)?,
            memory_kib: status_number(&status, "VmRSS:"),
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
