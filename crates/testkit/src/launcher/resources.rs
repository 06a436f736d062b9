//! Network addresses and the temporary folder of a deployment.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

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
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub fn allocate(index: u8) -> io::Result<Self> {
        let real = IpAddr::from(Ipv4Addr::new(127, 0, 1, index + 1));
        let relayed = IpAddr::from(Ipv4Addr::new(127, 0, 2, index + 1));
        // The sockets stay open until all ports are selected, so that no port is selected twice.
        let listeners = [(); 4].map(|()| TcpListener::bind((real, 0)));
        let [admin, caller, control, target] = listeners;
        let (peer, public) = (UdpSocket::bind((real, 0))?, UdpSocket::bind((relayed, 0))?);
        Ok(Self {
            admin: admin?.local_addr()?,
            caller: caller?.local_addr()?,
            control: control?.local_addr()?,
            peer: peer.local_addr()?,
            public: public.local_addr()?,
            target: target?.local_addr()?,
        })
    }
}

/// Selects a free TCP address for a process that all instances share.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
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
