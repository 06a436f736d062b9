//! A link of limited rate between a daemon and another server, which can stall within a response.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Most bytes that are forwarded at once.
const PIECE: usize = 16 << 10;
/// Time for which a link stalls.
const STALL: Duration = Duration::from_secs(1);
/// Number of bytes before the stall of a link that doesn't stall.
const NEVER: u64 = u64::MAX;

/// A link that forwards connections to a server.
#[derive(Debug)]
pub struct Link {
    /// Bytes a second that each connection carries to the daemon.
    rate: u64,
    /// Number of bytes that are forwarded before the link stalls once.
    stall_after: AtomicU64,
}

impl Link {
    /// Forwards connections to `listen` on to `server`.
    pub fn open(listen: SocketAddr, server: SocketAddr, rate: u64) -> Arc<Self> {
        let link = Arc::new(Self {
            rate,
            stall_after: AtomicU64::new(NEVER),
        });
        let listener = TcpListener::bind(listen).expect("the address is free");
        let forwarding = Arc::clone(&link);
        thread::spawn(move || {
            for daemon in listener.incoming().flatten() {
                forwarding.connect(&daemon, server);
            }
        });
        link
    }

    /// Stops forwarding to the daemon for a second once `length` further bytes have been forwarded.
    /// Connections stay open.
    pub fn stall_after(&self, length: u64) {
        self.stall_after.store(length, Ordering::Relaxed);
    }

    fn connect(self: &Arc<Self>, daemon: &TcpStream, server: SocketAddr) {
        let Ok(server) = TcpStream::connect(server) else {
            return;
        };
        let (link, clone) = (Arc::clone(self), |s: &TcpStream| {
            s.try_clone().expect("a socket can be cloned")
        });
        let (mut from_daemon, mut to_server) = (clone(daemon), clone(&server));
        let (mut from_server, mut to_daemon) = (server, clone(daemon));
        thread::spawn(move || {
            let _ = std::io::copy(&mut from_daemon, &mut to_server);
            let _ = to_server.shutdown(std::net::Shutdown::Both);
        });
        thread::spawn(move || {
            link.forward(&mut from_server, &mut to_daemon);
            let _ = to_daemon.shutdown(std::net::Shutdown::Both);
        });
    }

    fn forward(&self, from: &mut TcpStream, to: &mut TcpStream) {
        let mut piece = vec![0; PIECE];
        while let Ok(length @ 1..) = from.read(&mut piece) {
            thread::sleep(Duration::from_nanos(
                length as u64 * 1_000_000_000 / self.rate,
            ));
            if to.write_all(&piece[..length]).is_err() {
                return;
            }
            if self.must_stall(length as u64) {
                thread::sleep(STALL);
            }
        }
    }

    /// Counts forwarded bytes; whether they are the last before the stall.
    fn must_stall(&self, length: u64) -> bool {
        let left = self.stall_after.load(Ordering::Relaxed);
        let (next, stalls) = match left {
            NEVER => (NEVER, false),
            left if left <= length => (NEVER, true),
            left => (left - length, false),
        };
        self.stall_after.store(next, Ordering::Relaxed);
        stalls
    }
}
