//! What load is generated.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hawthornwall_testkit::launcher::Cluster;

/// An address that takes requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// TCP address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Name of the target there.
    pub name: String,
}

/// A service and the targets that direct calls may go to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceLoad {
    /// Its name.
    pub name: String,
    /// Its targets. Its share of the calls is proportional to their number.
    pub targets: Vec<Endpoint>,
}

/// What load is generated, and on what.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Daemons that take callers.
    pub daemons: Vec<Endpoint>,
    /// Share of calls that go straight to a target, in percent.
    pub direct_percent: u32,
    /// File for the callers' records.
    pub history: Option<PathBuf>,
    /// Share of calls that are `POST`s, in percent; every second one has an idempotency key.
    pub post_percent: u32,
    /// Calls a second.
    pub rate: f64,
    /// Share of calls with a key that are repeated through another daemon, in percent. Unless it is 0,
    /// those without an answer are repeated too.
    pub repeat_percent: u32,
    /// Number of calls, without repeats.
    pub requests: u64,
    /// Seed of arrivals, routes and sizes.
    pub seed: u64,
    /// Services that are called.
    pub services: Vec<ServiceLoad>,
    /// Longest wait of a caller for an answer.
    pub timeout: Duration,
    /// Connections opened to each daemon and target before the first call.
    pub warm: usize,
}

impl LoadOptions {
    /// A moderate load on all of a deployment: 10,000 calls, 30% of them `POST`s.
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
            // Well above every deadline of the system.
            timeout: Duration::from_secs(30),
            warm: 4,
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
