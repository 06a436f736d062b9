//! Log lines about changes of the catalog and about the sources of store updates.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hawthornwall_core::catalog::{
    Catalog, CatalogEvent, Revision, Sources, StorePosition, UpdateHead,
};
use hawthornwall_platform::UnknownValue;

use crate::platform::ReadFault;
use crate::telemetry::log;

/// What caused catalog events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EventSource {
    /// The grace period of a missing entry has ended.
    Expiry,
    /// A store update from a peer.
    Peer(SocketAddr),
    /// A read of the store.
    Store,
}

impl EventSource {
    /// The kind of the source in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Expiry => "expiry",
            Self::Peer(_) => "peer",
            Self::Store => "store",
        }
    }
}

impl fmt::Display for EventSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Expiry => f.write_str("expiry"),
            Self::Peer(peer) => write!(f, "{peer}"),
            Self::Store => f.write_str("store"),
        }
    }
}

/// Names of the targets with the same kind of event.
#[derive(Debug, Default)]
struct TargetNames<'a>(Vec<&'a str>);

impl TargetNames<'_> {
    fn joined(&self) -> String {
        self.0.join(" ")
    }
}

/// Logs catalog events with their source and the revision of the store. Events of targets share one line
/// for each kind.
pub(super) fn catalog_events(
    catalog_events: &[CatalogEvent],
    catalog: &Catalog,
    revision: Revision,
    source: EventSource,
) {
    let Revision { era, number } = revision;
    let (mut cold, mut held_back, mut leaving, mut missing, mut older, mut ready) = (
        TargetNames::default(),
        TargetNames::default(),
        TargetNames::default(),
        TargetNames::default(),
        TargetNames::default(),
        TargetNames::default(),
    );
    for event in catalog_events {
        match event {
            CatalogEvent::Evacuated(domain) => {
                log::warn!("evacuation of a failure domain seen", kv: { domain:, era, revision = number, source: });
            }
            CatalogEvent::EvacuationEnded(domain) => {
                log::info!("evacuation of a failure domain revoked", kv: { domain:, era, revision = number, source: });
            }
            CatalogEvent::OlderEntry(target) => older.0.push(target),
            CatalogEvent::OlderRoutes(offered) => {
                let in_force = catalog.version();
                log::warn!("ignored routes older than those in force", kv: { offered:, in_force:, era, revision = number, source: });
            }
            CatalogEvent::Routes(version) => {
                let routes = catalog.routes().len();
                log::info!("routes in force", kv: { version:, routes, era, revision = number, source: });
            }
            CatalogEvent::TargetHeldBack(target) => held_back.0.push(target),
            CatalogEvent::TargetCold(target) => cold.0.push(target),
            CatalogEvent::TargetLeaving(target) => leaving.0.push(target),
            CatalogEvent::TargetMissing(target) => missing.0.push(target),
            CatalogEvent::TargetReady(target) => ready.0.push(target),
        }
    }
    if !held_back.0.is_empty() {
        let targets = held_back.joined();
        log::warn!("targets that have left are listed again by entries that may be out of date, and aren't used yet", kv: { targets, era, revision = number, source: });
    }
    if !older.0.is_empty() {
        let targets = older.joined();
        log::warn!("ignored entries of targets that are older than their last reports", kv: { targets, era, revision = number, source: });
    }
    if !ready.0.is_empty() {
        let targets = ready.joined();
        log::info!("targets take work", kv: { targets, era, revision = number, source: });
    }
    if !missing.0.is_empty() {
        let targets = missing.joined();
        log::warn!("entries of targets are missing; the targets stay in use until their removal is confirmed", kv: { targets, era, revision = number, source: });
    }
    if !cold.0.is_empty() {
        let targets = cold.joined();
        log::info!("cold time of targets changed", kv: { targets, era, revision = number, source: });
    }
    if !leaving.0.is_empty() {
        let targets = leaving.joined();
        log::info!("targets take no new work", kv: { targets, era, revision = number, source: });
    }
}

/// Logs an entry that can't be decoded.
pub(super) fn undecodable_entry(key: &str, fault: &str, revision: u64) {
    log::warn!("entry can't be decoded and defines no target or route", kv: { key, fault, revision });
}

/// Logs a value that this build doesn't know.
pub(super) fn unknown_value(unknown: &UnknownValue) {
    let (field, value) = (unknown.field.name(), unknown.value.as_str());
    log::warn!("the store has a value that this build doesn't know", kv: { field, value });
}

/// Logs which peers this daemon queries for store updates.
pub(super) fn update_sources(sources: &Sources) {
    let level = sources.level.name();
    let peers: Vec<_> = sources.parents.iter().map(ToString::to_string).collect();
    let peers = peers.join(" ");
    log::info!("sources of store updates changed", kv: { level, peers });
}

/// Logs that a queried peer sent no update in time.
pub(super) fn peer_query_failed(peer: SocketAddr, position: StorePosition) {
    let age_ms = position.age.map_or(0, |age| age.as_millis() as u64);
    let Revision { era, number } = position.revision;
    log::info!("peer sent no store update", kv: { peer:, era, revision = number, age_ms });
}

/// Logs that a peer's update is not newer than the state held here, or that its changes don't fit into an
/// update.
pub(super) fn unused_update(peer: SocketAddr, head: &UpdateHead, known: Revision) {
    let (age_ms, offered) = (head.age.as_millis() as u64, head.revision);
    log::info!("store update from peer is not used", kv: { peer:, known:, offered:, age_ms });
}

/// Logs that contents of a later era of the store are in use.
pub(super) fn new_era(before: Revision, revision: Revision, source: EventSource) {
    log::warn!("the store has returned from an older copy of its contents", kv: { before:, revision:, source: });
}

/// Logs when reads of the store start to fail, fail in another way, or succeed again.
#[derive(Debug)]
pub(super) struct StoreHealthLog {
    /// The last failure; `None` after a successful read.
    failing: Option<ReadFault>,
    store: SocketAddr,
}

impl StoreHealthLog {
    pub fn new(store: SocketAddr) -> Self {
        Self {
            failing: None,
            store,
        }
    }

    pub fn record_failure(&mut self, fault: &ReadFault) {
        if self.failing.as_ref() != Some(fault) {
            let store = self.store;
            log::warn!("the store can't be read", kv: { store:, fault: });
        }
        self.failing = Some(fault.clone());
    }

    pub fn record_success(&mut self, revision: Revision, outage: Duration) {
        if self.failing.take().is_some() {
            let (store, ms) = (self.store, outage.as_millis() as u64);
            let Revision { era, number } = revision;
            log::info!("the store can be read again", kv: { store:, era, revision = number, outage_ms = ms });
        }
    }
}
