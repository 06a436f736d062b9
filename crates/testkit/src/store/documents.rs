//! What operators and workers write to the store.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// A worker's entry.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// Where it listens.
    pub address: SocketAddr,
    /// Start of its run, in milliseconds of Unix time.
    pub born: u64,
    /// Whether it says that it leaves.
    pub draining: bool,
    /// Its service.
    pub service: &'a str,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Its zone.
    pub zone: &'a str,
}

impl Entry<'_> {
    /// The entry as workers write it.
    pub fn json(&self) -> Value {
        let state = if self.draining { "draining" } else { "ready" };
        json!({
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots,
            },
            "status": { "state": state, "sequence": 1, "coldRemainingS": 0 },
        })
    }
}

/// One route of a configuration.
#[derive(Clone, Debug)]
pub struct RouteDocument {
    /// Whether its requests may run more than once.
    pub idempotent: bool,
    /// The start of its paths.
    pub prefix: String,
    /// Services with their weights.
    pub services: Vec<(String, u32)>,
}

/// A configuration with routes of one host.
pub fn configuration(version: u64, host: &str, routes: &[RouteDocument]) -> Value {
    let rules: Vec<_> = routes.iter().map(rule).collect();
    let mut names: Vec<&String> = routes
        .iter()
        .flat_map(|route| route.services.iter().map(|(name, _)| name))
        .collect();
    names.sort();
    names.dedup();
    let clusters: Vec<_> = names.iter().map(|name| json!({ "name": name })).collect();
    json!({
        "version": format!("r{version}"),
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 1_048_576,
            "headerTimeoutS": 3, "idleTimeoutS": 15,
        },
        "listeners": [{ "host": host, "rules": rules }],
        "clusters": clusters,
    })
}

fn rule(route: &RouteDocument) -> Value {
    let mut action = json!({ "timeoutS": 1.5, "maxAttempts": 2 });
    match &route.services[..] {
        [(only, _)] => action["service"] = json!(only),
        parts => {
            let parts = parts.iter();
            let parts = parts.map(|(name, weight)| json!({ "service": name, "weight": weight }));
            action["weightedServices"] = parts.collect();
        }
    }
    let kind = if route.idempotent {
        "idempotent"
    } else {
        "non_idempotent"
    };
    json!({
        "name": "r", "kind": kind, "targetLatencyS": 0.3, "priority": 1,
        "match": { "prefix": route.prefix }, "action": action,
    })
}
