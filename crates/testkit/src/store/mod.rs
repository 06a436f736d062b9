//! Fake of the platform's metadata store, with its faults.

mod contents;
mod documents;
mod serve;

pub use contents::{Change, Contents, Gone, Item};
pub use documents::{Entry, RouteDocument, configuration};
pub use serve::{Fault, StoreHandle, serve};
