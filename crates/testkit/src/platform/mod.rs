//! Fake platform: configuration service and instance list with injectable faults.

mod model;
mod publication;
mod serve;

pub use model::{Endpoint, Fault, Stats};
pub use publication::{Publication, Value};
pub use serve::{OPTIONS, serve};
