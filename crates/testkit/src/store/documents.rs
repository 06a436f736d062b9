//! Documents that operators and workers write to the store.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Entry with which a worker registers itself in the store.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// Address that the worker listens on.
    pub address: SocketAddr,
    /// Start time of the worker, in milliseconds of Unix time.
    pub born: u64,
    /// Whether the state is `draining` instead of `ready`.
    pub draining: bool,
    /// Number of the status report; it rises while the worker runs.
    pub sequence: u64,
    /// Service that the worker belongs to.
    pub service: &'a str,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Zone of the worker's machine.
    pub zone: &'a str,
}

impl Entry<'_> {
    /// Returns the entry in the JSON form that workers write.
    pub fn json(&self) -> Value {
        let state = if self.draining { "draining" } else { "ready" };
        json!({
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots,
            },
            "status": { "state": state, "sequence": self.sequence, "coldRemainingS": 0 },
        })
    }
}

/// A route of a configuration document.
#[derive(Clone, Debug)]
pub struct RouteDocument {
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Path prefix that the route matches.
    pub prefix: String,
    /// Services with their weights. The weight is left out if there is only one service.
    pub services: Vec<(String, u32)>,
}

/// Returns a configuration document with the routes of one host.
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
