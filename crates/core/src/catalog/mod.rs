//! The catalog: routes, targets and evacuations as the platform's store publishes them.
//!
//! Rules kept here:
//! - the version of the routes in force never decreases;
//! - an evacuation of a failure domain stays in force until its key is known to be deleted; losing the store
//!   doesn't end it;
//! - a target that the store lists as draining, or no longer lists, takes no new work;
//! - a target in an unknown state, or of a service with an unknown protocol, gets no requests, and all other
//!   entries stay in force;
//! - an entry that is missing when the store recovers from an outage counts as present for
//!   [`RETURN_GRACE`], because entries lapse during an outage although their targets run;
//! - when the store returns from an older copy of its contents, targets that the copy lacks stay in use, and
//!   evacuations that it lacks stay in force, for [`RETURN_GRACE`], because everybody writes again what the store has
//!   lost;
//! - an entry that may have been written before its target left doesn't put the target back in use before it would
//!   have lapsed, after [`LAPSE_TIME`];
//! - a daemon that can't reach the store keeps targets that its peers report as removed until it reaches
//!   the store again: the targets may be cut off together with it, and daemons that reach the store send
//!   them no work;
//! - the entry of a restarted target is a new target, so no state of the previous run applies to it;
//! - ids are local to this process and are never reused.

mod aggregate;
mod call;
mod change_log;
mod entry;
mod review;
mod revision;
mod route_delta;
mod sources;
mod sync;
mod targets;

pub use aggregate::{Catalog, CatalogEvent, Snapshot};
pub use call::{Call, CallEnd, Published, StorePosition, UpdateHead};
pub use change_log::{ChangeLog, UpdatePayload};
pub use entry::{
    Change, PublishedRoutes, PublishedState, PublishedTarget, RequestLimits, ServiceLimits,
    UpdateChange,
};
pub use review::{Concern, Field, RoutesDifference, Subject, compare, review};
pub use revision::Revision;
pub use route_delta::RouteDelta;
pub use sources::{Level, Sources};
pub use sync::{EraOrder, StoreSync, WATCH_WAIT};
pub use targets::{Absence, LAPSE_TIME, RETURN_GRACE};
