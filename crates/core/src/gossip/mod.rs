//! The gossip aggregate: with which peers this daemon exchanges versions and membership, when it reads the
//! platform, and when it may serve.
//!
//! Rules kept here:
//! - updates are pushed to all neighbours at once, and in each interval one neighbour is compared with;
//! - only the first daemons of each failure domain watch the platform, so that its reads grow with the
//!   number of domains; all others read it rarely, and every read without a specific trigger is placed
//!   at random in an interval;
//! - a daemon without a configuration does not serve, and one that only one kind of source has answered
//!   delays serving for a limited time until the other kind answers;
//! - an unreachable peer is avoided only by the daemon that can't reach it, and retried later.

mod outbox;
mod plan;
mod platform;
mod readiness;
mod ring;
mod schedule;
mod unreachable;

pub use plan::{Effect, GossipSettings, GossipStart, Update};
pub use platform::{Endpoint, Fleet, ReadRates, platform_reads};
pub use ring::{Ring, RingMember};
pub use schedule::Gossip;
