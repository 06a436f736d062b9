//! The catalog: routes and targets as the platform's store publishes them.
//!
//! Rules kept here:
//! - the version of the routes in force never goes back;
//! - a target that the store lists as draining, or that it lists no longer, takes no new work;
//! - an entry that was gone when the store came back from an outage counts as present for
//!   [`RETURN_WAIT`]: entries lapse during an outage although their targets live;
//! - a daemon that can't reach the store keeps the targets that its peers say are gone, until it can: they
//!   may be cut off with it, and whoever does reach the store sends them nothing;
//! - an entry of a new start of a target is a new target, so nothing believed of the old one holds;
//! - ids belong to this process and are never reused.

mod aggregate;
mod entry;
mod follow;
mod history;
mod sources;

pub use aggregate::{Absence, Belief, Catalog, RETURN_WAIT, Snapshot};
pub use entry::{Change, PublishedRoutes, PublishedState, PublishedTarget};
pub use follow::{Call, CallEnd, Follower, Knowledge, NewsHead, WATCH_WAIT};
pub use history::{ChangeLog, Lacking};
pub use sources::{Level, Sources};
