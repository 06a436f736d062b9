//! UDP relay between daemons: network distance and faults.
//!
//! Each daemon has a public address, whose socket the relay holds. What daemon E sends to D's public
//! address reaches D's real address from E's public address, after a delay that depends on their
//! failure domains.

mod links;
mod model;
mod serve;

pub use links::{FaceId, Links, Route};
pub use model::{Command, DaemonPlace, Direction, RelaySettings, RelayStats};
pub use serve::{OPTIONS, serve};
