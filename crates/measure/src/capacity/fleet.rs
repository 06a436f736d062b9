//! A running fleet of daemons in two regions, with one platform endpoint for each region.

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

/// Time within which a shared process must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Options of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    /// Number of daemons.
    pub count: usize,
    /// Probe budget of each daemon per 100 seconds; `None` keeps the default of the settings.
    pub probes: Option<u32>,
    /// Whether daemons reach each other through the relay, which [`Fleet::partition`] requires.
    pub relay: bool,
}

/// Daemons in 2 regions. Each region reads its own platform endpoint; all daemons probe one shared
/// target.
#[derive(Debug)]
pub struct Fleet {
    /// The daemons, the first region's platform and the relay.
    pub cluster: Cluster,
    /// The last published document.
    pub document: Document,
    /// Time before the publication of each version, in microseconds since the Unix epoch.
    pub published: BTreeMap<u64, u64>,
    /// Address of the second region's platform endpoint.
    second_region: SocketAddr,
    _second_platform: Child,
    _target: Child,
    _folder: Folder,
}

impl Fleet {
    /// Starts all processes and, when they are ready, publishes a configuration with all targets.
    ///
    /// # Errors
    ///
    /// A process can't be started or doesn't become ready.
    pub fn start(options: FleetOptions) -> Result<Self, CapacityError> {
        let folder = Folder::create(false)?;
        let (target, second_region) = (free_address()?, free_address()?);
        let target_process = start_target(&folder, target)?;
        let second_process = start_platform(&folder, second_region)?;
        let plan = fleet_plan(options.count);
        let mut document = plan.document();
        let settings =
            json!({ "platform": { "config": second_region, "instances": second_region } });
        let domains = DOMAINS.iter().filter(|d| is_second_region(d));
        let domains: BTreeMap<_, _> = domains.map(|d| (*d, settings.clone())).collect();
        // The second region's platform endpoint must have its values before the daemons that read
        // it start.
        put(second_region, "/config", &json!(document))?;
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
        put(second_region, "/instances", &json!(cluster.instances()))?;
        if options.count < TARGETS {
            document = full_document(&plan, options.count);
        }
        let mut fleet = Self {
            cluster,
            document,
            published: BTreeMap::new(),
            second_region,
            _second_platform: second_process,
            _target: target_process,
            _folder: folder,
        };
        fleet.publish(&[true, true])?;
        Ok(fleet)
    }

    /// Adds a patch that changes one rule, publishes the document and returns the new version.
    ///
    /// # Errors
    ///
    /// A platform endpoint rejects the document.
    pub fn publish_patch(&mut self, regions: &[bool; 2]) -> Result<u64, CapacityError> {
        let base = self.version();
        let patch = rules_patch("service-00", base, "operator");
        self.document.patches.push(patch);
        self.publish(regions)
    }

    /// Publishes the document to the platform endpoints of the regions whose flag is set, and
    /// returns its version.
    ///
    /// # Errors
    ///
    /// A platform endpoint rejects the document.
    pub fn publish(&mut self, regions: &[bool; 2]) -> Result<u64, CapacityError> {
        let version = self.version().0;
        let body = json!(self.document);
        self.published.entry(version).or_insert_with(wall_micros);
        for (address, selected) in self.platforms().into_iter().zip(regions) {
            if *selected {
                put(address, "/config", &body)?;
            }
        }
        Ok(version)
    }

    /// Version of the configuration after all patches of the document.
    pub fn version(&self) -> Version {
        self.document.replay().configuration.version
    }

    /// Length of the document as JSON, in bytes.
    pub fn document_bytes(&self) -> usize {
        json!(self.document).to_string().len()
    }

    /// Replaces the faults of one region's platform endpoint.
    ///
    /// # Errors
    ///
    /// The endpoint rejects the faults.
    pub fn platform_fault(&self, region: usize, fault: &Value) -> Result<(), CapacityError> {
        request(
            self.platforms()[region],
            "POST",
            "/fault",
            &fault.to_string(),
        )?;
        Ok(())
    }

    /// Separates the second region from the first and from its own platform endpoint.
    ///
    /// # Errors
    ///
    /// The relay or the platform endpoint rejects the command.
    pub fn partition(&self) -> Result<(), CapacityError> {
        let names = |second_region: bool| -> Vec<String> {
            let nodes = self.cluster.nodes.iter();
            let selected = nodes.filter(|n| is_second_region(&n.plan.domain) == second_region);
            selected.map(|n| n.plan.name.clone()).collect()
        };
        let command = json!({ "command": "partition", "groups": [names(false), names(true)] });
        self.cluster.control_relay(&command)?;
        self.platform_fault(1, &json!({ "down": true }))
    }

    /// Ends the effect of [`Fleet::partition`].
    ///
    /// # Errors
    ///
    /// The relay or the platform endpoint rejects the command.
    pub fn heal(&self) -> Result<(), CapacityError> {
        self.cluster.control_relay(&json!({ "command": "heal" }))?;
        self.platform_fault(1, &json!({}))
    }

    /// Sum of the read counters of both platform endpoints.
    pub fn platform_stats(&self) -> Stats {
        platform_stats(self.platforms())
    }

    /// Addresses of the platform endpoints, in the order of the regions.
    pub fn platforms(&self) -> [SocketAddr; 2] {
        [self.cluster.platform_address(), self.second_region]
    }
}

/// The limit on the share of slot time is raised so far that only the count limits the probes.
fn probe_settings(probes: Option<u32>) -> Value {
    probes.map_or_else(
        || json!({}),
        |count| json!({ "probe": { "per_100s": count, "slot_share": 10_000 } }),
    )
}

/// Sums the read counters of both platform endpoints.
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

/// Whether a failure domain is in the second region, whose domains have names that start with `r2`.
pub(super) fn is_second_region(domain: &str) -> bool {
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
    child.wait_ready(READY_TIMEOUT, || {
        json_once(control, "GET", "/stats", "").is_ok()
    })?;
    Ok(child)
}
