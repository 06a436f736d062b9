//! A running fleet with one platform endpoint for each region.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hawthornwall_core::config::Document;
use hawthornwall_core::ids::Version;
use serde_json::{Value, json};

use super::CapacityError;
use super::plan::{DOMAINS, TARGETS, fleet_plan, full_document, rules_patch};
use hawthornwall_testkit::http1::json_once;
use hawthornwall_testkit::launcher::{
    Child, Cluster, ClusterOptions, Folder, LaunchError, free_address,
};
use hawthornwall_testkit::platform::Stats;
use hawthornwall_testkit::wall_micros;

/// Longest wait for a shared process.
const READY: Duration = Duration::from_secs(10);

/// What is started.
#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    /// Number of daemons.
    pub count: usize,
    /// Probes of the shared target by each daemon in 100 seconds; the settings' default if absent.
    pub probes: Option<u32>,
    /// Whether daemons reach each other through the relay, as cutting off a region needs.
    pub relay: bool,
}

/// Daemons in 2 regions; each region reads a platform endpoint of its own, and all of them probe one
/// shared target.
#[derive(Debug)]
pub struct Fleet {
    /// The daemons, the first region's platform and the relay.
    pub cluster: Cluster,
    /// What was published last.
    pub document: Document,
    /// Versions published, with the wall clock before the publication.
    pub published: BTreeMap<u64, u64>,
    second: SocketAddr,
    _second: Child,
    _target: Child,
    _folder: Folder,
}

impl Fleet {
    /// Starts everything, waits until all are ready and publishes the configuration of the full size.
    ///
    /// # Errors
    ///
    /// A process can't be started or doesn't become ready.
    pub fn start(options: FleetOptions) -> Result<Self, CapacityError> {
        let folder = Folder::create(false)?;
        let (target, second) = (free_address()?, free_address()?);
        let target_process = start_target(&folder, target)?;
        let second_process = start_platform(&folder, second)?;
        let plan = fleet_plan(options.count);
        let mut document = plan.document();
        let settings = json!({ "platform": { "config": second, "instances": second } });
        let domains = DOMAINS.iter().filter(|d| is_second(d));
        let domains: BTreeMap<_, _> = domains.map(|d| (*d, settings.clone())).collect();
        // The second region's platform must have its values before its readers start.
        put(second, "/config", &json!(document))?;
        let cluster = Cluster::start_plan(
            plan.clone(),
            ClusterOptions {
                domain_settings: json!(domains),
                relay: options.relay,
                settings: probe_settings(options.probes),
                shared_target: Some(target),
                ..ClusterOptions::default()
            },
        )?;
        put(second, "/instances", &json!(cluster.instances()))?;
        if options.count < TARGETS {
            document = full_document(&plan, options.count);
        }
        let mut fleet = Self {
            cluster,
            document,
            published: BTreeMap::new(),
            second,
            _second: second_process,
            _target: target_process,
            _folder: folder,
        };
        fleet.publish(&[true, true])?;
        Ok(fleet)
    }

    /// Adds a patch of one rule and publishes the document.
    ///
    /// # Errors
    ///
    /// A platform endpoint doesn't accept it.
    pub fn publish_patch(&mut self, regions: &[bool; 2]) -> Result<u64, CapacityError> {
        let base = self.version();
        let patch = rules_patch("service-00", base, "operator");
        self.document.patches.push(patch);
        self.publish(regions)
    }

    /// Publishes the document to the platform endpoints of the chosen regions.
    ///
    /// # Errors
    ///
    /// A platform endpoint doesn't accept it.
    pub fn publish(&mut self, regions: &[bool; 2]) -> Result<u64, CapacityError> {
        let version = self.version().0;
        let body = json!(self.document);
        self.published.entry(version).or_insert_with(wall_micros);
        for (address, chosen) in self.platforms().into_iter().zip(regions) {
            if *chosen {
                put(address, "/config", &body)?;
            }
        }
        Ok(version)
    }

    /// The version that the document reaches.
    pub fn version(&self) -> Version {
        self.document.replay().configuration.version
    }

    /// Length of the document in bytes.
    pub fn document_bytes(&self) -> usize {
        json!(self.document).to_string().len()
    }

    /// Sets the faults of one region's platform endpoint.
    ///
    /// # Errors
    ///
    /// It doesn't accept them.
    pub fn platform_fault(&self, region: usize, fault: &Value) -> Result<(), CapacityError> {
        request(
            self.platforms()[region],
            "POST",
            "/fault",
            &fault.to_string(),
        )?;
        Ok(())
    }

    /// Cuts the second region off from the first and from its platform endpoint.
    ///
    /// # Errors
    ///
    /// Relay or platform don't accept it.
    pub fn cut(&self) -> Result<(), CapacityError> {
        let names = |second: bool| -> Vec<String> {
            let nodes = self.cluster.nodes.iter();
            let chosen = nodes.filter(|n| is_second(&n.plan.domain) == second);
            chosen.map(|n| n.plan.name.clone()).collect()
        };
        let command = json!({ "command": "partition", "groups": [names(false), names(true)] });
        self.cluster.control_relay(&command)?;
        self.platform_fault(1, &json!({ "down": true }))
    }

    /// Ends [`Fleet::cut`].
    ///
    /// # Errors
    ///
    /// Relay or platform don't accept it.
    pub fn heal(&self) -> Result<(), CapacityError> {
        self.cluster.control_relay(&json!({ "command": "heal" }))?;
        self.platform_fault(1, &json!({}))
    }

    /// Reads of both platform endpoints.
    pub fn platform_stats(&self) -> Stats {
        platform_stats(self.platforms())
    }

    /// Addresses of both platform endpoints.
    pub fn platforms(&self) -> [SocketAddr; 2] {
        [self.cluster.platform_address(), self.second]
    }
}

/// The share of slot time is opened wide, so that only the count limits the probes.
fn probe_settings(probes: Option<u32>) -> Value {
    probes.map_or_else(
        || json!({}),
        |count| json!({ "probe": { "per_100s": count, "slot_share": 10_000 } }),
    )
}

/// Reads of several platform endpoints together.
pub(super) fn platform_stats(platforms: [SocketAddr; 2]) -> Stats {
    let mut all = Stats::default();
    for address in platforms {
        let stats = json_once(address, "GET", "/stats", "").unwrap_or_default();
        let one: Stats = serde_json::from_value(stats).unwrap_or_default();
        all.config += one.config;
        all.instances += one.instances;
        all.total += one.total;
        all.waiting += one.waiting;
    }
    all
}

/// Whether a failure domain is in the second region.
pub(super) fn is_second(domain: &str) -> bool {
    domain.starts_with("r2")
}

fn put(address: SocketAddr, path: &str, body: &Value) -> Result<(), LaunchError> {
    request(address, "PUT", path, &body.to_string()).map(drop)
}

fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<Value, LaunchError> {
    let refused = |e| LaunchError::Failed(format!("{method} {path}: {e}"));
    json_once(address, method, path, body).map_err(refused)
}

fn start_target(folder: &Folder, address: SocketAddr) -> Result<Child, CapacityError> {
    let control = free_address()?;
    let arguments = [
        ("--name", "shared".to_owned()),
        ("--listen", address.to_string()),
        ("--control", control.to_string()),
    ];
    start_shared("target-fake", folder, &arguments, control)
}

fn start_platform(folder: &Folder, address: SocketAddr) -> Result<Child, CapacityError> {
    start_shared(
        "platform-fake",
        folder,
        &[("--listen", address.to_string())],
        address,
    )
}

fn start_shared(
    program: &str,
    folder: &Folder,
    arguments: &[(&str, String)],
    control: SocketAddr,
) -> Result<Child, CapacityError> {
    let pair = |(name, value): &(&str, String)| [(*name).to_owned(), value.clone()];
    let arguments: Vec<String> = arguments.iter().flat_map(pair).collect();
    let log = folder.file(&format!("{program}.log"));
    let mut child = Child::start(program, program, &arguments, &log)?;
    child.wait_ready(READY, || json_once(control, "GET", "/stats", "").is_ok())?;
    Ok(child)
}
