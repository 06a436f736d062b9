//! Addresses of one instance and the folder of one run.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

/// Addresses of a daemon and its target.
///
/// Each instance has loopback addresses of its own, as instances have in a real network; the relay
/// knows a daemon by its address whatever port it sends from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Place {
    /// Operators' listener of the daemon.
    pub admin: SocketAddr,
    /// Callers' listener of the daemon.
    pub caller: SocketAddr,
    /// Control port of the target.
    pub control: SocketAddr,
    /// Peers' listener of the daemon.
    pub peer: SocketAddr,
    /// Address of the daemon for peers, held by the relay.
    pub public: SocketAddr,
    /// Work port of the target.
    pub target: SocketAddr,
}

impl Place {
    /// Free addresses for the instance with this index.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn find(index: u8) -> io::Result<Self> {
        let real = IpAddr::from(Ipv4Addr::new(127, 0, 1, index + 1));
        let relayed = IpAddr::from(Ipv4Addr::new(127, 0, 2, index + 1));
        // All listeners are held until the last port is known, so that no port is found twice.
        let held = [(); 4].map(|()| TcpListener::bind((real, 0)));
        let [admin, caller, control, target] = held;
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

/// A free TCP address for a process that all instances share.
///
/// # Errors
///
/// No port is free.
pub fn shared_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

/// A folder for settings, histories and logs, removed when dropped unless it is to be kept.
#[derive(Debug)]
pub struct Folder {
    keep: bool,
    path: PathBuf,
}

impl Folder {
    /// Creates a folder with a new name in the system's folder for temporary files.
    ///
    /// # Errors
    ///
    /// The folder can't be created.
    pub fn create(keep: bool) -> io::Result<Self> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("hawthornwall-{}-{number}", process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self { keep, path })
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Path of a file in it.
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
