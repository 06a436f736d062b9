//! What several test programs share.

pub mod script;
