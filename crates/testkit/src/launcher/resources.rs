//! Network addresses and the temporary folder of a deployment.

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Addresses of a daemon and its target.
///
/// Each instance has its own loopback addresses, as in a real network. The relay identifies a
/// daemon by its IP address, whichever port the daemon sends from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodeAddresses {
    /// Address on which the daemon accepts operators.
    pub admin: SocketAddr,
    /// Address on which the daemon accepts callers.
    pub caller: SocketAddr,
    /// Address on which the target accepts control requests.
    pub control: SocketAddr,
    /// Address on which the daemon accepts peers.
    pub peer: SocketAddr,
    /// Address at which peers reach the daemon through the relay.
    pub public: SocketAddr,
    /// Address on which the target accepts requests.
    pub target: SocketAddr,
}

impl NodeAddresses {
    /// Selects free addresses for the instance with this index.
    pub(super) fn allocate(network: Network, index: u8) -> io::Result<Self> {
        let real = network.address(0, index + 1);
        let relayed = network.address(RELAYED, index + 1);
        Ok(Self {
            admin: select(real, free_tcp)?,
            caller: select(real, free_tcp)?,
            control: select(real, free_tcp)?,
            peer: select(real, free_udp)?,
            public: select(relayed, free_udp)?,
            target: select(real, free_tcp)?,
        })
    }
}

/// Second octets of the addresses of deployments. Those of relayed addresses are higher by [`RELAYED`].
const SECOND_OCTETS: RangeInclusive<u8> = 1..=63;
const RELAYED: u8 = 64;
/// Deployments of one process before their networks coincide with those of the next process id.
const NETWORKS_PER_PROCESS: u32 = 64;
/// Last octet of addresses for processes that all instances share.
const SHARED: u8 = 254;

/// Loopback addresses of one deployment. Daemons of other deployments send from ports of their own addresses, which
/// would otherwise include selected ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Network(u8, u8);

impl Network {
    /// Returns another network than the last ones of this process, and than those of processes that run now.
    pub(super) fn next() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed) % NETWORKS_PER_PROCESS;
        let [.., high, low] = process::id()
            .wrapping_mul(NETWORKS_PER_PROCESS)
            .wrapping_add(number)
            .to_be_bytes();
        let (first, count) = (*SECOND_OCTETS.start(), *SECOND_OCTETS.end());
        Self(first + high % count, low)
    }

    fn address(self, offset: u8, last: u8) -> IpAddr {
        Ipv4Addr::new(127, self.0 + offset, self.1, last).into()
    }
}

/// Addresses that this process has selected; they are not selected again. See [`lock`].
static SELECTED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// Keeps other threads from selecting addresses or starting children. Until a child executes its program, it holds
/// copies of all open sockets, and a port whose listener is closed meanwhile stays in use.
pub(super) fn lock() -> MutexGuard<'static, BTreeSet<SocketAddr>> {
    SELECTED.lock().unwrap_or_else(PoisonError::into_inner)
}

fn select(ip: IpAddr, free: fn(IpAddr) -> io::Result<SocketAddr>) -> io::Result<SocketAddr> {
    let mut selected = lock();
    loop {
        let address = free(ip)?;
        if selected.insert(address) {
            return Ok(address);
        }
    }
}

fn free_tcp(ip: IpAddr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

fn free_udp(ip: IpAddr) -> io::Result<SocketAddr> {
    UdpSocket::bind((ip, 0))?.local_addr()
}

/// Selects a free TCP address for a process that all instances share.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    select(Network::next().address(0, SHARED), free_tcp)
}

/// Temporary folder for settings, histories and logs. It is removed when dropped unless it was
/// created with `keep`.
#[derive(Debug)]
pub struct Folder {
    keep: bool,
    path: PathBuf,
}

impl Folder {
    /// Creates a folder with a unique name in the system's temporary directory.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be created.
    pub fn create(keep: bool) -> io::Result<Self> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("hawthornwall-{}-{number}", process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self { keep, path })
    }

    /// Path of the folder, which exists until this value is dropped.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Path of the file `name` in the folder, whether or not the file exists.
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
