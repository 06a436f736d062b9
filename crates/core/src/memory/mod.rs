//! Who may buffer how much in this process, and which connections are evicted.
//!
//! Connections hold the bytes that they have received and not yet passed on, the messages in progress, and the
//! answers that the other side hasn't read. The budget decides on each request for more, and which connection is
//! closed if there is no room.

mod aggregate;
mod event;
mod limits;

pub use aggregate::Budget;
pub use event::{Activity, ClaimId, Effect, Event, HolderId, Owner};
pub use limits::{
    BufferLimits, CONNECTION_BYTES, FRESH_TIME, KERNEL_BYTES, ORDINARY_BYTES, STALL_TIME,
    TRANSIT_TIME,
};
