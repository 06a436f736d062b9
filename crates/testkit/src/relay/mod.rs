//! UDP relay that emulates network delays and faults between daemons.
//!
//! Each daemon has a public address, whose socket the relay owns. A packet that daemon E sends to
//! D's public address reaches D's real address with E's public address as its source, after a delay
//! that depends on their failure domains.

mod links;
mod model;
mod serve;

pub use links::{Links, Route, SocketId};
pub use model::{Command, DaemonAddresses, Direction, RelaySettings, RelayStats};
pub use serve::{OPTIONS, serve};
