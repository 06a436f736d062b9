//! The catalog task: routes and targets from the platform's store.
//!
//! It owns the aggregates [`Catalog`] and [`Follower`] and takes the place of the `control` task
//! where the platform publishes a store: peers then exchange no configuration and no members, since
//! every daemon reads the store itself. Whenever routes or targets changed, the other tasks get a new
//! [`World`].
//!
//! Invariant: no [`World`] is sent before the store has been read once.
//!
//! [`Catalog`]: hawthornwall_core::catalog::Catalog
//! [`Follower`]: hawthornwall_core::catalog::Follower
//! [`World`]: crate::messages::World

mod report;
mod task;

pub use task::{CatalogStart, run};
