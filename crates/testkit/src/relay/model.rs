//! Settings, commands and counters of the relay.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A daemon with its public and its real address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonAddresses {
    /// Failure domain of the daemon.
    pub domain: String,
    /// Name of the daemon in commands.
    pub name: String,
    /// Address that its peers send to; the relay owns the socket.
    pub public: SocketAddr,
    /// Address that the daemon listens on. No other daemon may have the same IP address, since the
    /// relay identifies the sender of a packet by it.
    pub real: SocketAddr,
}

/// Settings of the relay.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// TCP address of the control port.
    pub control: SocketAddr,
    /// Daemons whose packets are relayed.
    pub daemons: Vec<DaemonAddresses>,
    /// Default one-way delay between two failure domains, in microseconds. Packets within one
    /// domain aren't delayed.
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
    /// Packets that the daemon sends.
    From,
    /// Packets that are sent to the daemon.
    To,
}

/// Body of `POST /control`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "command")]
pub enum Command {
    /// Sets the one-way delay between two failure domains.
    Delay {
        /// The two domains; the same one twice sets the delay within it.
        between: [String; 2],
        /// Delay in microseconds.
        us: u64,
    },
    /// Ends all faults. Delays are unchanged.
    Heal,
    /// Drops all packets to or from one daemon.
    Isolate {
        /// Name of the daemon.
        daemon: String,
        /// Packets to drop.
        direction: Direction,
    },
    /// Drops all packets between two groups of daemons. It replaces an earlier partition.
    Partition {
        /// Names of the daemons on both sides.
        groups: [Vec<String>; 2],
    },
    /// Drops all packets between the pairs of sockets through which two daemons have communicated
    /// so far. Packets between other sockets of these daemons are still forwarded.
    Silence {
        /// Names of the daemons.
        between: [String; 2],
    },
}

/// Body of the answer to `GET /stats`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayStats {
    /// Number of packets dropped because of a fault.
    pub dropped: u64,
    /// Number of packets forwarded.
    pub forwarded: u64,
    /// Number of packets whose source address belongs to no daemon.
    pub unknown: u64,
}
