//! The catalog task: routes and targets from the platform's store.
//!
//! It owns the aggregates [`Catalog`] and [`StoreSync`] and takes the place of the `control` task
//! where the platform publishes a store: peers then exchange no configuration and no members, but ask
//! each other for news of the store. Whenever routes or targets changed, the other tasks get a new
//! [`RoutingState`].
//!
//! Invariant: no [`RoutingState`] is sent, and no peer is told, what the store has not confirmed.
//!
//! [`Catalog`]: hawthornwall_core::catalog::Catalog
//! [`StoreSync`]: hawthornwall_core::catalog::StoreSync
//! [`RoutingState`]: crate::messages::RoutingState

mod decode;
mod report;
mod task;
mod waiting;

pub use task::{CatalogStart, run};
