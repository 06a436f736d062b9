//! Settings, commands and counters of the relay.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One daemon and its two addresses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonPlace {
    /// Its failure domain.
    pub domain: String,
    /// Name in commands.
    pub name: String,
    /// Address that its peers use; the relay holds its socket.
    pub public: SocketAddr,
    /// Address that it listens on. Its IP address must be its own and not another daemon's.
    pub real: SocketAddr,
}

/// What the relay is started with.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// TCP address of the control port.
    pub control: SocketAddr,
    /// All daemons.
    pub daemons: Vec<DaemonPlace>,
    /// One-way delay between two failure domains, in microseconds; within one there is none.
    #[serde(default = "delay_us")]
    pub delay_us: u64,
}

fn delay_us() -> u64 {
    1_500
}

/// Which packets of an isolated daemon are dropped.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    /// What it sends.
    From,
    /// What is sent to it.
    To,
}

/// Body of `POST /control`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "command")]
pub enum Command {
    /// Sets the one-way delay between two domains.
    Delay {
        /// The domains; twice the same for the delay within one.
        between: [String; 2],
        /// The delay, in microseconds.
        us: u64,
    },
    /// Ends all faults. Delays stay as they are.
    Heal,
    /// Drops everything to or from one daemon.
    Isolate {
        /// Its name.
        daemon: String,
        /// Which packets.
        direction: Direction,
    },
    /// Drops everything between two groups of daemons.
    Partition {
        /// Names of the daemons on both sides.
        groups: [Vec<String>; 2],
    },
    /// Drops everything between the sockets over which two daemons have talked so far; other
    /// sockets of the same daemons still reach each other.
    Silence {
        /// Names of the daemons.
        between: [String; 2],
    },
}

/// Body of the answer to `GET /stats`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayStats {
    /// Packets dropped by a fault.
    pub dropped: u64,
    /// Packets sent on.
    pub forwarded: u64,
    /// Packets from addresses of no daemon.
    pub unknown: u64,
}
