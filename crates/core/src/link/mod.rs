//! The network link of this daemon's machine.
//!
//! Invariants:
//! - one peer that is gone never makes the own link count as saturated;
//! - the bodies of grants that have not ended never exceed the limit together, except for one alone;
//! - each offer gets exactly one decision, and each grant ends: when its body arrives, its sender fails or
//!   it expires.

mod grants;
mod own;
mod rate;

pub use grants::{
    BodyGrants, GRANT_EXPIRY, GrantEffect, GrantEvent, LARGE_BODY, OUTSTANDING, Offer, OfferId,
};
pub use own::{CONNECT_TIMEOUT, Contact, LATE_CONNECT_TIMEOUT, LinkChange, OwnLink, Verdict};
pub use rate::Rate;
