//! The spread aggregate: whom this daemon exchanges versions with, when it reads the platform, and
//! when it may serve.
//!
//! Rules kept here:
//! - news go to all neighbours at once, and each interval one neighbour is compared with;
//! - only the first daemons of each failure domain watch the platform, so its reads grow with the
//!   domains; all others read it rarely, and every read that has no cause of its own is spread at
//!   random over an interval;
//! - a daemon without a configuration does not serve, and one that only one kind of source has
//!   answered waits for the other for a limited time;
//! - a peer that can't be reached is avoided by this daemon alone, and tried again.

mod outbox;
mod plan;
mod platform;
mod readiness;
mod ring;
mod schedule;
mod suspects;

pub use plan::{Effect, News, SpreadSettings, SpreadStart};
pub use platform::{Endpoint, Fleet, ReadRates, platform_reads};
pub use ring::{Ring, RingMember};
pub use schedule::Spread;
