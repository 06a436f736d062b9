//! Limits of the budget, derived from what the machine has.

use std::time::Duration;

/// Memory that the process takes without callers, in bytes: 10 to 12 MiB when idle, with room for routes and
/// targets of a large fleet.
const PROCESS_BYTES: usize = 24 << 20;
/// Smallest budget, for machines with hardly more memory than the process takes.
const MIN_TOTAL: usize = 4 << 20;
/// Share of the memory beside [`PROCESS_BYTES`] that may be buffered. The rest is for the allocator, which keeps
/// freed memory, and for the kernel's queues of connections from which nothing is buffered. Beside peers whose messages
/// stall, the resident memory beyond that of the idle process was 1.5 times the budget; three quarters would exceed the
/// memory of a machine of 160 MiB.
const BUFFERED_SHARE: (usize, usize) = (2, 3);
/// Share of the budget for the connections of one caller address. On a machine of 160 MiB it exceeds the largest
/// body that the operators' configuration allows.
const ADDRESS_SHARE: (usize, usize) = (3, 4);
/// Descriptors kept for listeners, the platform and connections that are being refused: one in this many.
const FILES_RESERVE_SHARE: usize = 20;
/// Least number of descriptors kept, of which an idle process uses about 18.
const MIN_FILES_RESERVE: usize = 48;
/// Share of the connections that callers may have.
const CALLER_SHARE: (usize, usize) = (3, 4);
/// Share of the connections that peers may have.
const PEER_SHARE: (usize, usize) = (1, 2);

/// Memory of an open connection with its task and first buffers, in bytes.
pub const CONNECTION_BYTES: usize = 16 << 10;
/// Memory that the kernel may take for a connection from which something is buffered, in bytes.
pub const KERNEL_BYTES: usize = 64 << 10;
/// Length of an ordinary request, in bytes: one with an average large body.
pub const ORDINARY_BYTES: usize = 64 << 10;
/// Time that a new caller has for its first request before its connection may be closed for another one. Without it,
/// connections that are opened at the same time would close each other.
pub const FRESH_TIME: Duration = Duration::from_millis(100);
/// Longest time from the moment at which a connection passes an answer on to the claim of the one that it goes to. An
/// answer whose request has been cancelled meanwhile is never claimed.
pub const TRANSIT_TIME: Duration = Duration::from_millis(100);
/// Time without progress after which a connection may be closed if there is no room. A caller that sends 64 KiB in
/// this time makes progress.
pub const STALL_TIME: Duration = Duration::from_secs(2);

/// Limits of the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BufferLimits {
    /// Bytes of the connections of one caller address.
    pub address: usize,
    /// Connections with callers.
    pub callers: usize,
    /// Connections of all kinds.
    pub connections: usize,
    /// Connections with peers.
    pub peers: usize,
    /// Bytes kept for one ordinary request.
    pub reserve: usize,
    /// Bytes of all connections together.
    pub total: usize,
}

impl BufferLimits {
    /// The limits of a machine with so much memory and so many descriptors. An absent value limits nothing.
    pub fn for_machine(memory_mib: Option<usize>, files: Option<usize>) -> Self {
        let total = memory_mib.map_or(usize::MAX, |mib| {
            let free = (mib << 20).saturating_sub(PROCESS_BYTES);
            share(free, BUFFERED_SHARE).max(MIN_TOTAL)
        });
        let connections = files.map_or(usize::MAX, |files| {
            let reserve = (files / FILES_RESERVE_SHARE).max(MIN_FILES_RESERVE);
            files.saturating_sub(reserve).max(1)
        });
        Self {
            address: share(total, ADDRESS_SHARE),
            callers: share(connections, CALLER_SHARE).max(1),
            connections,
            peers: share(connections, PEER_SHARE).max(1),
            reserve: CONNECTION_BYTES + KERNEL_BYTES + ORDINARY_BYTES,
            total,
        }
    }

    /// Length of the longest message that one connection may hold, in bytes.
    pub fn longest_message(&self) -> usize {
        self.address
            .min(self.total - self.reserve)
            .saturating_sub(CONNECTION_BYTES + KERNEL_BYTES)
    }
}

/// A share of a number; an unlimited number stays so.
fn share(number: usize, (part, whole): (usize, usize)) -> usize {
    if number == usize::MAX {
        return number;
    }
    number / whole * part
}
