//! Fake of the platform's metadata store with injectable faults.

mod contents;
mod documents;
mod serve;

pub use contents::{Change, Compacted, Contents, Item};
pub use documents::{Entry, RouteDocument, configuration};
pub use serve::{Fault, StoreHandle, serve};
