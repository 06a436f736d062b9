//! Log lines about what this daemon believes of routes and targets.

use std::net::SocketAddr;
use std::time::Duration;

use hawthornwall_core::catalog::{Belief, Catalog};

use crate::platform::ReadFault;
use crate::telemetry::log;

/// Logs a changed belief with the revision of the store that it rests on.
pub(super) fn belief(belief: &Belief, catalog: &Catalog, revision: u64) {
    match belief {
        Belief::OlderRoutes(offered) => {
            let in_force = catalog.version();
            log::warn!("older routes are not adopted", kv: { offered:, in_force:, revision });
        }
        Belief::Routes(version) => {
            let routes = catalog.routes().len();
            log::info!("routes in force", kv: { version:, routes, revision });
        }
        Belief::TargetLeaving(target) => {
            let target = target.as_str();
            log::info!("target takes no new work", kv: { target, revision });
        }
        Belief::TargetMissing(target) => {
            let target = target.as_str();
            log::warn!("target is missing after an outage, and is awaited", kv: { target, revision });
        }
        Belief::TargetReady(target) => {
            let target = target.as_str();
            log::info!("target takes work", kv: { target, revision });
        }
    }
}

/// Logs an entry that can't be read.
pub(super) fn unreadable(key: &str, fault: &str, revision: u64) {
    log::warn!("entry can't be read and names no target or route", kv: { key, fault, revision });
}

/// Whether the store answers, logged at each change and at each new kind of failure.
#[derive(Debug, Default)]
pub(super) struct StoreReports {
    failing: Option<ReadFault>,
}

impl StoreReports {
    pub fn failed(&mut self, store: SocketAddr, fault: &ReadFault) {
        if self.failing.as_ref() != Some(fault) {
            log::warn!("the store can't be read", kv: { store:, fault: });
        }
        self.failing = Some(fault.clone());
    }

    pub fn passed(&mut self, store: SocketAddr, revision: u64, waited: Duration) {
        if self.failing.take().is_some() {
            let ms = waited.as_millis() as u64;
            log::info!("the store can be read again", kv: { store:, revision, outage_ms = ms });
        }
    }
}
