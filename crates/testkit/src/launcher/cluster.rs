//! Runs a deployment as child processes.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hawthornwall_core::config::Rules;
use hawthornwall_wire::instances::{Instance, InstanceList, InstanceState};
use serde_json::{Value, json};

use super::child::{Child, LaunchError};
use super::deployment::{Deployment, Plan, TargetPlan};
use super::resources::{Folder, Network, NodeAddresses, free_address};
use super::shared::start_platform;
use crate::history::{Change, Writer};
use crate::http1::json_once;

/// Maximum time for a child to become ready.
pub(super) const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Options for starting a deployment.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// Changes to the default behaviour of the targets, in the format of `POST /control`.
    pub behaviour: Value,
    /// Whether to start a daemon for each target.
    pub daemons: bool,
    /// Whether to keep the folder with settings, histories and logs when the cluster is dropped.
    pub keep: bool,
    /// One-way delay between failure domains in microseconds; `None` for the deployment's default.
    pub delay_us: Option<u64>,
    /// Changes to the settings of the daemons in a failure domain, keyed by domain name. They are
    /// applied after `settings` and have the same format.
    pub domain_settings: Value,
    /// Whether daemons communicate through the relay.
    pub relay: bool,
    /// Rules applied to every service.
    pub rules: Rules,
    /// Seed of the first target; each further target uses the next number.
    pub seed: u64,
    /// Changes to the settings of all daemons: a JSON object that maps sections to their changed
    /// fields.
    pub settings: Value,
    /// Address of a running target that all daemons share; `None` starts a target for each daemon.
    pub shared_target: Option<SocketAddr>,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            behaviour: json!({}),
            daemons: true,
            delay_us: None,
            domain_settings: json!({}),
            keep: false,
            relay: true,
            rules: Rules::default(),
            seed: 1,
            settings: json!({}),
            shared_target: None,
        }
    }
}

/// One instance: a daemon and its target.
#[derive(Debug)]
pub struct Node {
    /// The daemon process, if it is running.
    pub daemon: Option<Child>,
    /// Name and failure domain of the target.
    pub plan: TargetPlan,
    /// Addresses of the daemon and the target.
    pub addresses: NodeAddresses,
    /// Name of the service that the target belongs to.
    pub service: String,
    /// The target process, if it is running.
    pub target: Option<Child>,
}

/// A running deployment. The fields are declared in drop order: the processes are killed before the
/// folder is removed.
#[derive(Debug)]
pub struct Cluster {
    /// All instances, in the order of the plan.
    pub nodes: Vec<Node>,
    pub(super) options: ClusterOptions,
    pub(super) plan: Plan,
    /// The platform fake.
    pub platform: Child,
    platform_address: SocketAddr,
    /// The relay process, if it is running.
    pub relay: Option<Child>,
    relay_control: SocketAddr,
    pub(super) presence: Writer,
    pub(super) folder: Folder,
}

impl Cluster {
    /// Starts a predefined deployment and waits until all of its processes are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or doesn't become ready.
    pub fn start(deployment: Deployment, options: ClusterOptions) -> Result<Self, LaunchError> {
        Self::start_plan(deployment.plan(), options)
    }

    /// Starts the instances of a plan and waits until all processes are ready. The rules of the
    /// plan are replaced by those of `options`.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or doesn't become ready.
    pub fn start_plan(plan: Plan, options: ClusterOptions) -> Result<Self, LaunchError> {
        let folder = Folder::create(options.keep).map_err(LaunchError::io("temporary folder"))?;
        let plan = Plan {
            rules: options.rules.clone(),
            ..plan
        };
        let nodes = allocate_nodes(&plan).map_err(LaunchError::io("free ports"))?;
        let address = || free_address().map_err(LaunchError::io("free ports"));
        let (platform_address, relay_control) = (address()?, address()?);
        let platform = start_platform(&folder, platform_address)?;
        let presence = Writer::open(Some(&folder.file("presence.history")), "launcher");
        let presence = presence.map_err(LaunchError::io("presence.history"))?;
        let mut cluster = Self {
            folder,
            nodes,
            options,
            plan,
            platform,
            platform_address,
            relay: None,
            relay_control,
            presence,
        };
        cluster.publish_initial_state()?;
        if cluster.options.relay && cluster.options.daemons {
            cluster.start_relay()?;
        }
        if cluster.options.shared_target.is_none() {
            for index in 0..cluster.nodes.len() {
                cluster.start_target(index)?;
            }
        }
        if cluster.options.daemons {
            let all: Vec<usize> = (0..cluster.nodes.len()).collect();
            cluster.restart_daemons(&all)?;
        }
        Ok(cluster)
    }

    /// Folder with settings (`*.json`), histories (`*.history`) and logs (`*.log`).
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// The plan of the running deployment.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Address of the platform fake.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform_address
    }

    /// Control address of the relay, also if the relay was not started.
    pub fn relay_control(&self) -> SocketAddr {
        self.relay_control
    }

    /// The daemon of the instance with this index, if it is running.
    pub fn daemon(&mut self, index: usize) -> Option<&mut Child> {
        self.nodes[index].daemon.as_mut()
    }

    /// Sets the behaviour of targets that are started later; running targets are unaffected.
    pub fn set_behaviour(&mut self, behaviour: Value) {
        self.options.behaviour = behaviour;
    }

    /// Starts or restarts the target of an instance and waits until it is ready. A running target
    /// is killed first.
    ///
    /// # Errors
    ///
    /// Returns an error if the target can't be started or doesn't become ready.
    pub fn start_target(&mut self, index: usize) -> Result<(), LaunchError> {
        let node = &mut self.nodes[index];
        node.target = None;
        let name = &node.plan.name;
        let mut behaviour = json!({ "slots": self.plan.slots });
        if let (Some(all), Value::Object(changes)) =
            (behaviour.as_object_mut(), self.options.behaviour.clone())
        {
            all.extend(changes);
        }
        let history = self.folder.file(&format!("{name}.history"));
        let arguments = [
            ("--name", name.clone()),
            ("--listen", node.addresses.target.to_string()),
            ("--control", node.addresses.control.to_string()),
            ("--history", history.display().to_string()),
            ("--seed", (self.options.seed + index as u64).to_string()),
            ("--behaviour", behaviour.to_string()),
        ];
        let log = self.folder.file(&format!("{name}.target.log"));
        let mut child = Child::start(name, "target-fake", &flatten(&arguments), &log)?;
        let control = node.addresses.control;
        child.wait_ready(READY_TIMEOUT, || {
            json_once(control, "GET", "/stats", "").is_ok()
        })?;
        node.target = Some(child);
        Ok(())
    }

    /// Instance list in which every instance is live.
    pub fn instances(&self) -> InstanceList {
        let instance = |node: &Node| Instance {
            domain: node.plan.domain.clone(),
            peer: self.peer_address(node),
            state: InstanceState::Live,
            target: node.plan.name.clone(),
        };
        InstanceList {
            instances: self.nodes.iter().map(instance).collect(),
            revision: 0,
        }
    }

    pub(super) fn peer_address(&self, node: &Node) -> SocketAddr {
        if self.options.relay {
            node.addresses.public
        } else {
            node.addresses.peer
        }
    }

    pub(super) fn spawn_daemon(&mut self, index: usize) -> Result<(), LaunchError> {
        let name = self.nodes[index].plan.name.clone();
        let settings = self.daemon_settings(index)?;
        let path = self.write_file(&format!("{name}.json"), &settings)?;
        let log = self.folder.file(&format!("{name}.daemon.log"));
        let arguments = flatten(&[("--settings", path)]);
        self.record_daemon(index, Change::Started);
        let child = Child::start(&name, "hawthornwalld", &arguments, &log)?;
        self.nodes[index].daemon = Some(child);
        Ok(())
    }

    pub(super) fn wait_daemon(&mut self, index: usize) -> Result<(), LaunchError> {
        let admin = self.nodes[index].addresses.admin;
        let ready = || json_once(admin, "GET", "/status", "").is_ok();
        if let Some(child) = self.daemon(index) {
            child.wait_ready(READY_TIMEOUT, ready)?;
        }
        Ok(())
    }

    pub(super) fn write_file(&self, name: &str, text: &str) -> Result<String, LaunchError> {
        let path = self.folder.file(name);
        std::fs::write(&path, text).map_err(LaunchError::io(name))?;
        Ok(path.display().to_string())
    }
}

fn allocate_nodes(plan: &Plan) -> io::Result<Vec<Node>> {
    let targets = plan
        .services
        .iter()
        .flat_map(|s| s.targets.iter().map(move |t| (s, t)));
    let network = Network::next();
    let node = |(index, (service, target)): (u8, (&super::ServicePlan, &TargetPlan))| {
        Ok(Node {
            daemon: None,
            addresses: NodeAddresses::allocate(network, index)?,
            plan: target.clone(),
            service: service.name.clone(),
            target: None,
        })
    };
    (0u8..).zip(targets).map(node).collect()
}

pub(super) fn flatten(arguments: &[(&str, String)]) -> Vec<String> {
    let pair = |(name, value): &(&str, String)| [(*name).to_owned(), value.clone()];
    arguments.iter().flat_map(pair).collect()
}
