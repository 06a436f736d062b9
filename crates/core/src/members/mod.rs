//! The membership aggregate: the daemon that serves each target, and whether it is leaving.
//!
//! Three sources are merged: the announcements of each daemon, the same announcements relayed by
//! peers, and the platform's list, which lags and may be stale or missing.
//!
//! Invariants:
//! - among announcements of one instance, the one with the highest `seq` is kept, and leaving is
//!   final;
//! - among instances that announce one target, the one with the greatest
//!   [`Announcement::precedence`] is kept;
//! - the platform's list adds members that have not announced themselves and marks members as
//!   leaving, but never removes an announced member;
//! - an announced member is dropped only when its announcement is older than
//!   [`ANNOUNCEMENT_MAX_AGE`] and the member is not listed.
//!
//! Merging is commutative, associative and idempotent, so daemons that have received the same
//! announcements have equal tables and equal digests.

mod announcement;
mod compare;
mod list;
mod merge;
mod table;

pub use announcement::{Announcement, Identity, RelayedAnnouncement};
pub use compare::{BUCKET_COUNT, Comparison, Known};
pub use list::ListedInstance;
pub use table::{
    ANNOUNCEMENT_MAX_AGE, HEARTBEAT_INTERVAL, MemberView, Members, MergeResult, SUPERSEDE_WINDOW,
};
