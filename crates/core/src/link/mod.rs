//! The network link of this daemon's machine.
//!
//! Invariant: one peer that is gone never makes the own link count as saturated.

mod own;
mod rate;

pub use own::{CONNECT_TIMEOUT, Contact, LATE_CONNECT_TIMEOUT, LinkChange, OwnLink, Verdict};
pub use rate::Rate;
