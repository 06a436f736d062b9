//! What happens to a packet between two daemons.
//!
//! Invariant: each real source address has one public face, so a receiver always sees the same
//! sender at the same address.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::model::{Command, DaemonPlace, Direction, RelaySettings};

/// Number of a public socket; the first ones belong to the daemons in the order of the settings.
pub type FaceId = usize;

/// What to do with a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// A fault drops it.
    Drop,
    /// Send it from face `from` to the address `to` after this delay.
    Forward {
        /// Delay from its arrival.
        after: Duration,
        /// The sender's face.
        from: FaceId,
        /// Real address of the receiver.
        to: SocketAddr,
    },
    /// A daemon sent it from a socket without a face; add one for that daemon and ask again.
    NewFace(usize),
    /// It comes from no daemon.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Face {
    daemon: usize,
    real: SocketAddr,
}

/// Delays and faults between the daemons.
#[derive(Debug)]
pub struct Links {
    by_real: BTreeMap<SocketAddr, FaceId>,
    daemons: Vec<DaemonPlace>,
    default_delay: Duration,
    delays: BTreeMap<[String; 2], Duration>,
    faces: Vec<Face>,
    isolated: BTreeSet<(usize, Direction)>,
    parted: BTreeSet<(usize, usize)>,
    seen: BTreeSet<(SocketAddr, SocketAddr)>,
    silenced: BTreeSet<(SocketAddr, SocketAddr)>,
}

impl Links {
    /// Links without faults.
    pub fn new(settings: &RelaySettings) -> Self {
        let mut links = Self {
            by_real: BTreeMap::new(),
            daemons: settings.daemons.clone(),
            default_delay: Duration::from_micros(settings.delay_us),
            delays: BTreeMap::new(),
            faces: Vec::new(),
            isolated: BTreeSet::new(),
            parted: BTreeSet::new(),
            seen: BTreeSet::new(),
            silenced: BTreeSet::new(),
        };
        for (daemon, place) in settings.daemons.iter().enumerate() {
            links.add_face(daemon, place.real);
        }
        links
    }

    /// Adds a face for one more socket of a daemon.
    pub fn add_face(&mut self, daemon: usize, real: SocketAddr) -> FaceId {
        let id = self.faces.len();
        self.faces.push(Face { daemon, real });
        self.by_real.insert(real, id);
        id
    }

    /// Decides about a packet from `source` that arrived at the face `at`.
    pub fn route(&mut self, source: SocketAddr, at: FaceId) -> Route {
        let Some(from) = self.by_real.get(&source).copied() else {
            let daemon = self.daemons.iter().position(|d| d.real.ip() == source.ip());
            return daemon.map_or(Route::Unknown, Route::NewFace);
        };
        let (sender, receiver) = (self.faces[from], self.faces[at]);
        let pair = ordered(sender.real, receiver.real);
        self.seen.insert(pair);
        let dropped = self.silenced.contains(&pair)
            || self.isolated.contains(&(sender.daemon, Direction::From))
            || self.isolated.contains(&(receiver.daemon, Direction::To))
            || self
                .parted
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

    /// Carries out a command.
    ///
    /// # Errors
    ///
    /// The name of a daemon that doesn't exist.
    pub fn apply(&mut self, command: Command) -> Result<(), String> {
        match command {
            Command::Delay { between, us } => {
                let [a, b] = between;
                let pair: [String; 2] = ordered(a, b).into();
                self.delays.insert(pair, Duration::from_micros(us));
            }
            Command::Heal => {
                self.isolated.clear();
                self.parted.clear();
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
                self.parted = pairs.collect();
            }
            Command::Silence { between: [a, b] } => {
                let pair = ordered(self.index(&a)?, self.index(&b)?);
                let daemon = |real: &SocketAddr| self.faces[self.by_real[real]].daemon;
                let seen = self.seen.iter().copied();
                let found = seen.filter(|(a, b)| ordered(daemon(a), daemon(b)) == pair);
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
