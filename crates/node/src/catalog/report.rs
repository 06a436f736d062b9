//! Log lines about what this daemon believes of routes and targets, and from where it knows.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hawthornwall_core::catalog::{Catalog, CatalogEvent, Sources, StorePosition, UpdateHead};

use crate::platform::ReadFault;
use crate::telemetry::log;

/// What a belief rests on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Source {
    /// Time that has passed.
    Expiry,
    /// What a peer has told.
    Peer(SocketAddr),
    /// A read of the store.
    Store,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Expiry => f.write_str("expiry"),
            Self::Peer(peer) => write!(f, "{peer}"),
            Self::Store => f.write_str("store"),
        }
    }
}

/// Targets of which the same is newly believed.
#[derive(Debug, Default)]
struct Targets<'a>(Vec<&'a str>);

impl Targets<'_> {
    fn text(&self) -> String {
        self.0.join(" ")
    }
}

/// Logs changed beliefs with the revision of the store and the source that they rest on, one line for
/// each kind.
pub(super) fn catalog_events(
    catalog_events: &[CatalogEvent],
    catalog: &Catalog,
    revision: u64,
    source: Source,
) {
    let (mut leaving, mut missing, mut ready) =
        (Targets::default(), Targets::default(), Targets::default());
    for event in catalog_events {
        match event {
            CatalogEvent::OlderRoutes(offered) => {
                let in_force = catalog.version();
                log::warn!("older routes are not adopted", kv: { offered:, in_force:, revision, source: });
            }
            CatalogEvent::Routes(version) => {
                let routes = catalog.routes().len();
                log::info!("routes in force", kv: { version:, routes, revision, source: });
            }
            CatalogEvent::TargetLeaving(target) => leaving.0.push(target),
            CatalogEvent::TargetMissing(target) => missing.0.push(target),
            CatalogEvent::TargetReady(target) => ready.0.push(target),
        }
    }
    if !ready.0.is_empty() {
        let targets = ready.text();
        log::info!("targets take work", kv: { targets, revision, source: });
    }
    if !missing.0.is_empty() {
        let targets = missing.text();
        log::warn!("targets are missing, and are awaited", kv: { targets, revision, source: });
    }
    if !leaving.0.is_empty() {
        let targets = leaving.text();
        log::info!("targets take no new work", kv: { targets, revision, source: });
    }
}

/// Logs an entry that can't be read.
pub(super) fn unreadable(key: &str, fault: &str, revision: u64) {
    log::warn!("entry can't be read and names no target or route", kv: { key, fault, revision });
}

/// Logs whom this daemon asks for news.
pub(super) fn sources(sources: &Sources) {
    let level = sources.level.name();
    let peers: Vec<_> = sources.parents.iter().map(ToString::to_string).collect();
    let peers = peers.join(" ");
    log::info!("store updates come from", kv: { level, peers });
}

/// Logs that a peer gave no answer.
pub(super) fn silent_peer(peer: SocketAddr, position: StorePosition) {
    let age_ms = position.age.map_or(0, |age| age.as_millis() as u64);
    let revision = position.revision;
    log::info!("peer has no store update", kv: { peer:, revision, age_ms });
}

/// Logs that a peer knows no more than this daemon, or can't tell all of it.
pub(super) fn no_update(peer: SocketAddr, head: &UpdateHead, known: u64) {
    let (age_ms, offered) = (head.age.as_millis() as u64, head.revision);
    log::info!("store update of peer is not used", kv: { peer:, known, offered, age_ms });
}

/// Whether the store can be read, logged at each change and at each new kind of failure.
#[derive(Debug)]
pub(super) struct StoreReports {
    failing: Option<ReadFault>,
    store: SocketAddr,
}

impl StoreReports {
    pub fn new(store: SocketAddr) -> Self {
        Self {
            failing: None,
            store,
        }
    }

    pub fn failed(&mut self, fault: &ReadFault) {
        if self.failing.as_ref() != Some(fault) {
            let store = self.store;
            log::warn!("the store can't be read", kv: { store:, fault: });
        }
        self.failing = Some(fault.clone());
    }

    pub fn passed(&mut self, revision: u64, waited: Duration) {
        if self.failing.take().is_some() {
            let (store, ms) = (self.store, waited.as_millis() as u64);
            log::info!("the store can be read again", kv: { store:, revision, outage_ms = ms });
        }
    }
}
