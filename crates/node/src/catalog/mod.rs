//! The catalog task: routes and targets from the platform's store.
//!
//! It owns the aggregates [`Catalog`] and [`StoreSync`] and replaces the `control` task where the
//! platform publishes a store: peers then exchange no configuration and no members, but query each
//! other for store updates. After each change of routes or targets the other tasks receive a new
//! [`RoutingState`].
//!
//! Invariant: a [`RoutingState`] or an update for a peer is only sent once the store has confirmed its contents.
//!
//! [`Catalog`]: hawthornwall_core::catalog::Catalog
//! [`StoreSync`]: hawthornwall_core::catalog::StoreSync
//! [`RoutingState`]: crate::messages::RoutingState

mod decode;
mod queries;
mod report;
mod task;
mod unknown;

pub use task::{CatalogStart, run};
