//! Options of the load generator.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hawthornwall_testkit::launcher::Cluster;

/// A daemon or target that accepts requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// TCP address for requests.
    pub address: SocketAddr,
    /// Failure domain that the instance runs in.
    pub domain: String,
    /// Name of the instance's target, also for a daemon.
    pub name: String,
}

/// A service under load, with the targets that direct calls may be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceLoad {
    /// Service name, as used in the request path.
    pub name: String,
    /// Targets. The service's share of the calls is proportional to their number.
    pub targets: Vec<Endpoint>,
}

/// Load to generate, and the daemons and targets that receive it.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Daemons that accept calls.
    pub daemons: Vec<Endpoint>,
    /// Share of calls that are sent directly to a target, in percent.
    pub direct_percent: u32,
    /// File that the callers' records are written to; none if absent.
    pub history: Option<PathBuf>,
    /// Share of calls that are `POST`s, in percent. Half of those sent to daemons have an
    /// idempotency key.
    pub post_percent: u32,
    /// Mean arrival rate, in calls per second.
    pub rate: f64,
    /// Share of calls with a key that are repeated through another daemon, in percent. Unless this
    /// is 0, calls with a key that received no answer are repeated as well.
    pub repeat_percent: u32,
    /// Number of calls, not counting repeats.
    pub requests: u64,
    /// Seed of the random arrivals, routes and sizes.
    pub seed: u64,
    /// Services under load.
    pub services: Vec<ServiceLoad>,
    /// Time after which a call without an answer is given up.
    pub timeout: Duration,
    /// Number of connections opened to each daemon and called target before the first call.
    pub initial_connections: usize,
}

impl LoadOptions {
    /// A moderate load on all services of a deployment: 10,000 calls, 30% of them `POST`s.
    pub fn for_cluster(cluster: &Cluster) -> Self {
        let daemon = |n: &hawthornwall_testkit::launcher::Node| Endpoint {
            address: n.addresses.caller,
            domain: n.plan.domain.clone(),
            name: n.plan.name.clone(),
        };
        let running = cluster.nodes.iter().filter(|n| n.daemon.is_some());
        let service = |name: &String| ServiceLoad {
            name: name.clone(),
            targets: targets_of(cluster, name),
        };
        let names = cluster.plan().services.iter().map(|s| &s.name);
        Self {
            daemons: running.map(daemon).collect(),
            direct_percent: 0,
            history: Some(cluster.folder().join("callers.history")),
            post_percent: 30,
            rate: 500.0,
            repeat_percent: 0,
            requests: 10_000,
            seed: 1,
            services: names.map(service).collect(),
            // Longer than any deadline in the system.
            timeout: Duration::from_secs(30),
            initial_connections: 4,
        }
    }
}

fn targets_of(cluster: &Cluster, service: &str) -> Vec<Endpoint> {
    let nodes = cluster.nodes.iter().filter(|n| n.service == service);
    let endpoint = |n: &hawthornwall_testkit::launcher::Node| Endpoint {
        address: n.addresses.target,
        domain: n.plan.domain.clone(),
        name: n.plan.name.clone(),
    };
    nodes.map(endpoint).collect()
}
