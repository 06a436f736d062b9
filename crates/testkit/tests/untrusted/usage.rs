//! Highest memory and number of descriptors of a process while a test runs.

use std::collections::BTreeSet;
use std::fmt;
use std::fs;
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
    /// Samples the process `pid`.
    pub fn start(pid: u32) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let end = Arc::clone(&ended);
        let sampling = thread::spawn(move || {
            let mut peak = Peak::default();
            while !end.load(Ordering::Relaxed) {
                sample(pid, &mut peak);
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

fn sample(pid: u32, peak: &mut Peak) {
    let Ok(usage) = Usage::of(pid) else {
        return;
    };
    let files = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    let queued = queued_bytes(pid) >> 10;
    peak.files = peak.files.max(files);
    peak.memory_kib = peak.memory_kib.max(usage.memory_kib + queued);
    peak.queued_kib = peak.queued_kib.max(queued);
    peak.resident_kib = peak.resident_kib.max(usage.memory_kib);
}

/// Bytes in the queues of the TCP sockets of the process. A socket that another process shares the address with, such
/// as that of a target, isn't its own.
fn queued_bytes(pid: u32) -> u64 {
    let Ok(files) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return 0;
    };
    let links = files.flatten().filter_map(|f| fs::read_link(f.path()).ok());
    let inodes: BTreeSet<u64> = links
        .filter_map(|link| {
            link.to_str()?
                .strip_prefix("socket:[")?
                .strip_suffix(']')?
                .parse()
                .ok()
        })
        .collect();
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let sockets = table.lines().skip(1).filter_map(socket);
    let own = sockets.filter(|(inode, _)| inodes.contains(inode));
    own.map(|(_, queued)| queued).sum()
}

/// Inode and length of both queues in a line of the table of sockets. The lengths are in hexadecimal.
fn socket(line: &str) -> Option<(u64, u64)> {
    let fields: Vec<_> = line.split_whitespace().collect();
    let (sent, received) = fields.get(4)?.split_once(':')?;
    let length = |text| u64::from_str_radix(text, 16).ok();
    let inode = fields.get(9)?.parse().ok()?;
    Some((inode, length(sent)? + length(received)?))
}
