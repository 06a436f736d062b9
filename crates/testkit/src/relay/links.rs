//! Routing of packets between daemons.
//!
//! Invariant: each real source address has one public socket, so that a receiver always sees the
//! same source address for the same sender.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::model::{Command, DaemonAddresses, Direction, RelaySettings};

/// Index of a public socket; the first ones belong to the daemons in the order of the settings.
pub type SocketId = usize;

/// Routing decision for a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// Drop the packet because of a fault.
    Drop,
    /// Send the packet from the socket `from` to the address `to` after a delay.
    Forward {
        /// Delay since the arrival of the packet.
        after: Duration,
        /// Public socket of the sender.
        from: SocketId,
        /// Real address of the receiver.
        to: SocketAddr,
    },
    /// The source address belongs to this daemon but has no public socket yet; add one and route
    /// the packet again.
    NewSocket(usize),
    /// The source address belongs to no daemon.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct PublicSocket {
    daemon: usize,
    real: SocketAddr,
}

/// Delays and faults between the daemons.
#[derive(Debug)]
pub struct Links {
    by_real: BTreeMap<SocketAddr, SocketId>,
    daemons: Vec<DaemonAddresses>,
    default_delay: Duration,
    delays: BTreeMap<[String; 2], Duration>,
    sockets: Vec<PublicSocket>,
    isolated: BTreeSet<(usize, Direction)>,
    partitioned: BTreeSet<(usize, usize)>,
    /// Pairs of real addresses between which packets were sent.
    flows: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Flows whose packets are dropped.
    silenced: BTreeSet<(SocketAddr, SocketAddr)>,
}

impl Links {
    /// Creates links without faults. Each daemon has the public socket for its real address.
    pub fn new(settings: &RelaySettings) -> Self {
        let mut links = Self {
            by_real: BTreeMap::new(),
            daemons: settings.daemons.clone(),
            default_delay: Duration::from_micros(settings.delay_us),
            delays: BTreeMap::new(),
            sockets: Vec::new(),
            isolated: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            flows: BTreeSet::new(),
            silenced: BTreeSet::new(),
        };
        for (daemon, addresses) in settings.daemons.iter().enumerate() {
            links.add_socket(daemon, addresses.real);
        }
        links
    }

    /// Adds a public socket for another real address of a daemon.
    pub fn add_socket(&mut self, daemon: usize, real: SocketAddr) -> SocketId {
        let id = self.sockets.len();
        self.sockets.push(PublicSocket { daemon, real });
        self.by_real.insert(real, id);
        id
    }

    /// Routes a packet from `source` that the public socket `received_on` received.
    pub fn route(&mut self, source: SocketAddr, received_on: SocketId) -> Route {
        let Some(from) = self.by_real.get(&source).copied() else {
            let daemon = self.daemons.iter().position(|d| d.real.ip() == source.ip());
            return daemon.map_or(Route::Unknown, Route::NewSocket);
        };
        let (sender, receiver) = (self.sockets[from], self.sockets[received_on]);
        let pair = ordered(sender.real, receiver.real);
        self.flows.insert(pair);
        let dropped = self.silenced.contains(&pair)
            || self.isolated.contains(&(sender.daemon, Direction::From))
            || self.isolated.contains(&(receiver.daemon, Direction::To))
            || self
                .partitioned
                .contains(&ordered(sender.daemon, receiver.daemon));
        if dropped {
            return Route::Drop;
        }
        Route::Forward {
            after: self.delay(sender.daemon, receiver.daemon),
            from,
            to: receiver.real,
        }
    }

    /// Applies a command.
    ///
    /// # Errors
    ///
    /// Returns an error if the command names an unknown daemon.
    pub fn apply(&mut self, command: Command) -> Result<(), String> {
        match command {
            Command::Delay { between, us } => {
                let [a, b] = between;
                let pair: [String; 2] = ordered(a, b).into();
                self.delays.insert(pair, Duration::from_micros(us));
            }
            Command::Heal => {
                self.isolated.clear();
                self.partitioned.clear();
                self.silenced.clear();
            }
            Command::Isolate { daemon, direction } => {
                self.isolated.insert((self.index(&daemon)?, direction));
            }
            Command::Partition {
                groups: [left, right],
            } => {
                let indices = |names: &[String]| -> Result<Vec<usize>, String> {
                    names.iter().map(|name| self.index(name)).collect()
                };
                let (left, right) = (indices(&left)?, indices(&right)?);
                let pairs = left
                    .iter()
                    .flat_map(|a| right.iter().map(|b| ordered(*a, *b)));
                self.partitioned = pairs.collect();
            }
            Command::Silence { between: [a, b] } => {
                let pair = ordered(self.index(&a)?, self.index(&b)?);
                let daemon = |real: &SocketAddr| self.sockets[self.by_real[real]].daemon;
                let flows = self.flows.iter().copied();
                let found = flows.filter(|(a, b)| ordered(daemon(a), daemon(b)) == pair);
                let found: Vec<_> = found.collect();
                self.silenced.extend(found);
            }
        }
        Ok(())
    }

    fn index(&self, name: &str) -> Result<usize, String> {
        let found = self.daemons.iter().position(|d| d.name == name);
        found.ok_or_else(|| format!("no daemon is named {name}"))
    }

    fn delay(&self, a: usize, b: usize) -> Duration {
        let (a, b) = (&self.daemons[a].domain, &self.daemons[b].domain);
        let pair: [String; 2] = ordered(a.clone(), b.clone()).into();
        match self.delays.get(&pair) {
            Some(delay) => *delay,
            None if a == b => Duration::ZERO,
            None => self.default_delay,
        }
    }
}

fn ordered<T: Ord>(a: T, b: T) -> (T, T) {
    if a <= b { (a, b) } else { (b, a) }
}
