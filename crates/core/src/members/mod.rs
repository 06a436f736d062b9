//! The members aggregate: which daemon stands beside each target, and whether it is leaving.
//!
//! Three sources are merged: what daemons announce of themselves, the same passed on by peers, and
//! the platform's list, which lags and may be stale or absent.
//!
//! Rules kept here:
//! - of one instance, the announcement with the highest `seq` counts, and leaving is final;
//! - of two instances that announce one target, the later by [`Announcement::precedence`] counts;
//! - the list names members that have not announced themselves, and marks leaving ones; it never
//!   removes an announced member by itself;
//! - an announced member is dropped only when it has not announced for [`EXPIRY`] and is not listed.
//!
//! Merging is commutative, associative and idempotent, so all daemons that have received the same
//! announcements have the same table and the same digest.

mod announcement;
mod compare;
mod list;
mod merge;
mod table;

pub use announcement::{Announcement, Identity, Relayed};
pub use compare::{BUCKETS, Comparison, Known};
pub use list::Listed;
pub use table::{EXPIRY, HEARTBEAT, MemberView, Members, Merged, SUPERSEDE_WINDOW};
