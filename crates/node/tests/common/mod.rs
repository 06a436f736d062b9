//! What several test programs share.

pub mod runtime;
pub mod script;
