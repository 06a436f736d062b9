//! Highest memory and number of descriptors of a process while a test runs.

use std::fmt;
use std::fs;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use hawthornwall_testkit::procfs::Usage;

/// Time between two samples.
const INTERVAL: Duration = Duration::from_millis(10);

/// Highest samples of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    /// Open descriptors.
    pub files: usize,
    /// Resident memory and queues of the kernel together, in KiB.
    pub memory_kib: u64,
    /// Bytes in the receive and send queues of the sockets, in KiB.
    pub queued_kib: u64,
    /// Resident memory, in KiB.
    pub resident_kib: u64,
}

impl fmt::Display for Peak {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            files,
            memory_kib,
            queued_kib,
            resident_kib,
        } = self;
        write!(
            f,
            "peak memory {memory_kib} KiB (resident {resident_kib}, queued {queued_kib}), {files} descriptors"
        )
    }
}

/// Samples a process until the end of a test.
pub struct Watch {
    ended: Arc<AtomicBool>,
    sampling: JoinHandle<Peak>,
}

impl Watch {
    /// Samples the process `pid`, whose sockets have the address `ip`.
    pub fn start(pid: u32, ip: IpAddr) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let end = Arc::clone(&ended);
        let sampling = thread::spawn(move || {
            let mut peak = Peak::default();
            while !end.load(Ordering::Relaxed) {
                sample(pid, ip, &mut peak);
                thread::sleep(INTERVAL);
            }
            peak
        });
        Self { ended, sampling }
    }

    /// Ends the sampling.
    pub fn end(self) -> Peak {
        self.ended.store(true, Ordering::Relaxed);
        self.sampling.join().expect("the sampling ends")
    }
}

fn sample(pid: u32, ip: IpAddr, peak: &mut Peak) {
    let Ok(usage) = Usage::of(pid) else {
        return;
    };
    let files = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    let queued = queued_bytes(ip) >> 10;
    peak.files = peak.files.max(files);
    peak.memory_kib = peak.memory_kib.max(usage.memory_kib + queued);
    peak.queued_kib = peak.queued_kib.max(queued);
    peak.resident_kib = peak.resident_kib.max(usage.memory_kib);
}

/// Bytes in the queues of all sockets with this local address, which the daemon's listeners and accepted
/// connections have.
fn queued_bytes(ip: IpAddr) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let sockets = table.lines().skip(1).filter_map(socket);
    let own = sockets.filter(|(local, _)| IpAddr::V4(*local) == ip);
    own.map(|(_, queued)| queued).sum()
}

/// Local address and length of both queues in a line of the table of sockets, which is in hexadecimal.
fn socket(line: &str) -> Option<(Ipv4Addr, u64)> {
    let mut fields = line.split_whitespace().skip(1);
    let (local, _) = fields.next()?.split_once(':')?;
    let local = u32::from_str_radix(local, 16).ok()?;
    let mut queues = fields.nth(2)?.split(':');
    let mut length = || u64::from_str_radix(queues.next()?, 16).ok();
    let both = length()? + length()?;
    Some((Ipv4Addr::from(local.to_le_bytes()), both))
}
